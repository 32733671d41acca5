package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"auburnstack/core/table"
	"auburnstack/io/operator"
)

// operatorAccess holds the address and the credential with which an operator calls a VM.
type operatorAccess struct {
	Operator   netip.AddrPort `arg:"env:AUBURNSTACK_OPERATOR,required" help:"IP:PORT of any VM's operator address"`
	Credential string         `arg:"env:AUBURNSTACK_OPERATOR_CREDENTIAL,required" help:"the operators' credential"`
}

func (a operatorAccess) client() *client {
	return newClient(a.Operator, a.Credential)
}

type tablesCommand struct {
	Get     *tablesGetCommand     `arg:"subcommand:get" help:"write the accepted tables to files"`
	Check   *tablesFilesCommand   `arg:"subcommand:check" help:"check tables without changing anything"`
	Diff    *tablesFilesCommand   `arg:"subcommand:diff" help:"show the rows that a put would change"`
	Put     *tablesPutCommand     `arg:"subcommand:put" help:"submit tables as the next revision"`
	Wait    *tablesWaitCommand    `arg:"subcommand:wait" help:"wait until a revision is in force everywhere"`
	History *tablesHistoryCommand `arg:"subcommand:history" help:"list recent edits"`
}

func (c *tablesCommand) run(ctx context.Context, parser *arg.Parser) error {
	switch {
	case c.Get != nil:
		return c.Get.run(ctx)
	case c.Check != nil:
		return c.Check.check(ctx)
	case c.Diff != nil:
		return c.Diff.diff(ctx)
	case c.Put != nil:
		return c.Put.run(ctx)
	case c.Wait != nil:
		return c.Wait.run(ctx)
	case c.History != nil:
		return c.History.run(ctx)
	default:
		return parser.FailSubcommand("a subcommand is required", "tables")
	}
}

const (
	routesFile   = "routes.ini"
	poolsFile    = "pools.ini"
	revisionFile = "revision"
)

type tablesGetCommand struct {
	operatorAccess
	Folder string `arg:"positional" default:"." help:"folder for routes.ini, pools.ini and revision"`
}

func (c *tablesGetCommand) run(ctx context.Context) error {
	var current operator.Tables
	if err := c.client().get(ctx, "/v1/tables", &current); err != nil {
		return err
	}
	revision := fmt.Sprintf("%d\n", current.Revision)
	for _, f := range [][2]string{{routesFile, current.Routes}, {poolsFile, current.Pools}, {revisionFile, revision}} {
		if err := os.WriteFile(filepath.Join(c.Folder, f[0]), []byte(f[1]), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	fmt.Printf("revision %d\n", current.Revision)
	return nil
}

type tablesFilesCommand struct {
	operatorAccess
	Routes string `default:"routes.ini" help:"file with the routes table"`
	Pools  string `default:"pools.ini" help:"file with the pools table"`
}

func (c *tablesFilesCommand) read() (operator.Tables, error) {
	routes, err := os.ReadFile(c.Routes)
	if err != nil {
		return operator.Tables{}, errors.WithStack(err)
	}
	pools, err := os.ReadFile(c.Pools)
	return operator.Tables{Routes: string(routes), Pools: string(pools)}, errors.WithStack(err)
}

func (c *tablesFilesCommand) check(ctx context.Context) error {
	edit, err := c.read()
	if err != nil {
		return err
	}
	return sendTables(ctx, c.client(), http.MethodPost, "/v1/tables/check", edit, "checked")
}

func (c *tablesFilesCommand) diff(ctx context.Context) error {
	edit, err := c.read()
	if err != nil {
		return err
	}
	var current operator.Tables
	if err := c.client().get(ctx, "/v1/tables", &current); err != nil {
		return err
	}
	before, err := table.Parse(current.Revision, current.Routes, current.Pools)
	if err != nil {
		return err
	}
	after, err := table.Parse(current.Revision+1, edit.Routes, edit.Pools)
	if err != nil {
		return &exitError{code: exitInvalidInput, cause: err.Error()}
	}
	for _, line := range table.Diff("", before, after).RowChanges() {
		fmt.Println(line)
	}
	return nil
}

type tablesPutCommand struct {
	tablesFilesCommand
	Revision *uint64 `help:"revision that the edit was made against; default: the number in the file revision"`
	EditID   string  `arg:"--edit-id" help:"ID of the edit; to repeat an edit whose effect is unknown, give its ID"`
}

func (c *tablesPutCommand) run(ctx context.Context) error {
	edit, err := c.read()
	if err != nil {
		return err
	}
	if edit.Revision, err = c.baseRevision(); err != nil {
		return err
	}
	edit.EditID = table.EditID(c.EditID)
	if edit.EditID == "" {
		edit.EditID = table.EditID(rand.Text())
	}
	err = sendTables(ctx, c.client(), http.MethodPut, "/v1/tables", edit, "accepted")
	if exitCode(err) == exitUnknown {
		return errors.WithMessage(err, "repeat with --edit-id "+string(edit.EditID))
	}
	return err
}

// baseRevision returns the revision of the tables on which the operator's edit is based: the value of the flag
// --revision or, without this flag, the number in revisionFile.
func (c *tablesPutCommand) baseRevision() (table.Revision, error) {
	if c.Revision != nil {
		return table.Revision(*c.Revision), nil
	}
	text, err := os.ReadFile(revisionFile)
	if err != nil {
		return 0, errors.WithMessage(err, "no --revision given")
	}
	var revision table.Revision
	_, err = fmt.Sscan(string(text), &revision)
	return revision, errors.WithStack(err)
}

// sendTables sends tables to a VM. It prints the warnings in the reply and then the parameter verb, followed by the new
// revision of the tables.
func sendTables(ctx context.Context, c *client, method, path string, edit operator.Tables, verb string) error {
	body, err := json.Marshal(edit)
	if err != nil {
		return errors.WithStack(err)
	}
	got, err := c.call(ctx, method, path, nil, body)
	if err != nil {
		return &exitError{code: exitUnknown, cause: err.Error()}
	}
	if got.status != http.StatusOK {
		return problemError(got)
	}
	var accepted operator.PutReply
	if err := json.Unmarshal(got.body, &accepted); err != nil {
		return errors.WithStack(err)
	}
	for _, warning := range accepted.Warnings {
		fmt.Println("warning:", warning)
	}
	fmt.Printf("%s revision %d\n", verb, accepted.Revision)
	return nil
}

type tablesWaitCommand struct {
	operatorAccess
	Revision uint64        `arg:"positional,required" help:"revision to wait for"`
	Limit    time.Duration `default:"10s" help:"maximum time to wait"`
}

// waitInterval is the time between two checks of whether a revision of the tables is in force on all VMs.
const waitInterval = 200 * time.Millisecond

func (c *tablesWaitCommand) run(ctx context.Context) error {
	deadline := time.Now().Add(c.Limit)
	for {
		var force operator.RolloutReply
		if err := c.client().get(ctx, fmt.Sprintf("/v1/tables/force?revision=%d", c.Revision), &force); err != nil {
			return err
		}
		if force.Everywhere || time.Now().After(deadline) {
			return printForce(force)
		}
		time.Sleep(waitInterval)
	}
}

// printForce prints for each failure domain the number of VMs on which a revision of the tables is in force. It returns
// an error unless the revision is in force everywhere.
func printForce(force operator.RolloutReply) error {
	for _, entry := range force.Domains {
		fmt.Printf("%-12s %-4s in force on %d of %d VMs", entry.FailureDomain, entry.State, entry.InForce, entry.VMs)
		if len(entry.Unreachable) > 0 {
			fmt.Printf(", unreachable: %v", entry.Unreachable)
		}
		fmt.Println()
	}
	if !force.Everywhere {
		return &exitError{code: exitNotInForce, cause: fmt.Sprintf("revision %d is not in force everywhere", force.Revision)}
	}
	return nil
}

type tablesHistoryCommand struct {
	operatorAccess
}

func (c *tablesHistoryCommand) run(ctx context.Context) error {
	var history operator.HistoryReply
	if err := c.client().get(ctx, "/v1/tables/history", &history); err != nil {
		return err
	}
	for _, edit := range history.Edits {
		fmt.Printf("revision %d, edit %s\n", edit.Revision, edit.ID)
		for _, change := range edit.Changes {
			fmt.Println("  " + change)
		}
	}
	return nil
}
