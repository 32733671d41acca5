package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/domain"
	"auburnstack/platform/stub"
	"auburnstack/standin/platform"
	"auburnstack/standin/site"
	"auburnstack/standin/worker"
)

const (
	// reloadInterval is the time between two reads of the file that lists VMs and endpoints.
	reloadInterval = time.Second
	// leaseCheckInterval is the time between two checks for expired leases.
	leaseCheckInterval = 50 * time.Millisecond
)

type platformCommand struct {
	Listen netip.AddrPort `arg:"required" help:"IP:PORT to listen on"`
	List   string         `arg:"required" help:"INI file with VMs and endpoints; read again when it changes"`
}

func (c *platformCommand) run(ctx context.Context) error {
	engine := platform.New()
	if err := c.load(engine); err != nil {
		return err
	}
	go func() {
		for ctx.Err() == nil {
			time.Sleep(reloadInterval)
			_ = c.load(engine)
		}
	}()
	mux := http.NewServeMux()
	mux.Handle("/", stub.NewStore(engine.Service().Client()))
	mux.HandleFunc("POST /control/fault", func(w http.ResponseWriter, r *http.Request) {
		var message struct{ Fault platform.Fault }
		if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		engine.SetFault(message.Fault)
	})
	return serve(ctx, c.Listen, mux)
}

// load reads the list file and replaces the list of VMs and endpoints of the engine.
func (c *platformCommand) load(engine *platform.Engine) error {
	list, err := site.ReadList(c.List)
	if err != nil {
		return err
	}
	engine.SetList(list)
	return nil
}

type workerCommand struct {
	List          string `arg:"required" help:"INI file with VMs and endpoints"`
	FailureDomain string `arg:"--failure-domain,required" help:"run the endpoints of this failure domain"`
}

func (c *workerCommand) run(ctx context.Context) error {
	list, err := site.ReadList(c.List)
	if err != nil {
		return err
	}
	checkpoints := worker.NewCheckpoints()
	failures := make(chan error)
	count := 0
	for _, e := range list.Endpoints {
		if e.FailureDomain != domain.Name(c.FailureDomain) {
			continue
		}
		engine := worker.New(e, uint64(time.Now().UnixNano()), checkpoints)
		go expireLeases(ctx, engine)
		go func() { failures <- serve(ctx, e.Address, worker.NewHandler(engine)) }()
		count++
	}
	for range count {
		if err := <-failures; err != nil {
			return err
		}
	}
	return nil
}

// expireLeases periodically ends the tasks whose lease has expired, until the context ends.
func expireLeases(ctx context.Context, engine *worker.Engine) {
	for ctx.Err() == nil {
		time.Sleep(leaseCheckInterval)
		engine.ExpireLeases()
	}
}

type siteCommand struct {
	Name string `arg:"positional,required" help:"kingston or association"`
	Out  string `arg:"required" help:"folder to write the files to"`

	Load    time.Duration `default:"30s" help:"length of the load plan"`
	Port    int           `default:"7000" help:"first port that the site uses on this machine"`
	Workers int           `help:"workers in each failure domain; 0 for the default of the site"`
}

func (c *siteCommand) run() error {
	var chosen site.Site
	switch c.Name {
	case "kingston":
		chosen = site.Kingston()
	case "association":
		chosen = site.Association()
	default:
		return errors.Errorf("there is no site %q", c.Name)
	}
	if c.Workers > 0 {
		chosen.Workers = c.Workers
	}
	chosen.Port = c.Port
	list := chosen.List()
	files := []file{
		{"list.ini", site.FormatList(list)},
		{"routes.ini", chosen.Routes()},
		{"pools.ini", chosen.Pools()},
		{"load.ini", chosen.LoadPlan(c.Load)},
	}
	for number, v := range list.VMs {
		files = append(files, file{fmt.Sprintf("%s.ini", v.Name), chosen.Settings(v, number)})
	}
	return writeFiles(c.Out, files)
}

type file struct {
	name string
	text string
}

// writeFiles writes the files to a folder and creates the folder if it does not exist.
func writeFiles(folder string, files []file) error {
	if err := os.MkdirAll(folder, 0o750); err != nil {
		return errors.WithStack(err)
	}
	for _, f := range files {
		if err := os.WriteFile(filepath.Join(folder, f.name), []byte(f.text), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// serve runs an HTTP server until the context ends.
func serve(ctx context.Context, address netip.AddrPort, handler http.Handler) error {
	server := &http.Server{Addr: address.String(), Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}
