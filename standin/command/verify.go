package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/domain"
	"auburnstack/standin/site"
	"auburnstack/standin/verify"
	"auburnstack/standin/worker"
)

type verifyCommand struct {
	List   string   `arg:"required" help:"INI file with VMs and endpoints"`
	Report string   `arg:"required" help:"report file of the load tool"`
	Out    []string `help:"DOMAIN,FROM,TO: a failure domain and when it was out, in seconds since 1970"`
}

func (c *verifyCommand) run() error {
	evidence, err := c.collect()
	if err != nil {
		return err
	}
	for _, window := range evidence.OutWindows {
		fmt.Printf("work done while %s was out: %.0f accelerator-seconds in %s\n",
			window.FailureDomain, evidence.WorkIn(window), window.To.Sub(window.From).Round(time.Second))
	}
	verify.MeasureFragmentation(evidence).Write(os.Stdout)
	checks := verify.All(evidence)
	failed := verify.Print(os.Stdout, checks)
	fmt.Printf("demo: %d checks held, %d failed\n", len(checks)-failed, failed)
	if failed > 0 {
		return errors.Errorf("%d checks failed", failed)
	}
	return nil
}

// collect reads the list of VMs and endpoints, the report of the load tool, and from each worker the journal of the
// requests and tasks that it ran.
func (c *verifyCommand) collect() (verify.Evidence, error) {
	var evidence verify.Evidence
	list, err := site.ReadList(c.List)
	if err != nil {
		return evidence, err
	}
	evidence.Endpoints = list.Endpoints
	text, err := os.ReadFile(c.Report)
	if err != nil {
		return evidence, errors.WithStack(err)
	}
	if err := json.Unmarshal(text, &evidence.Report); err != nil {
		return evidence, errors.WithStack(err)
	}
	for _, e := range list.Endpoints {
		journal, err := readJournal("http://" + e.Address.String() + worker.PathJournal)
		if err != nil {
			return evidence, err
		}
		evidence.Journal = append(evidence.Journal, journal...)
	}
	evidence.DropDirectCalls()
	evidence.OutWindows, err = c.windows()
	return evidence, err
}

// windows parses the values of the flag --out: the periods in which a failure domain was out of service.
func (c *verifyCommand) windows() ([]verify.Window, error) {
	var windows []verify.Window
	for _, text := range c.Out {
		var from, to int64
		name, times, _ := strings.Cut(text, ",")
		if _, err := fmt.Sscanf(times, "%d,%d", &from, &to); err != nil {
			return nil, errors.WithStack(err)
		}
		windows = append(windows, verify.Window{
			FailureDomain: domain.Name(name), From: time.Unix(from, 0), To: time.Unix(to, 0),
		})
	}
	return windows, nil
}

// readJournal fetches the journal of the requests and tasks that a worker ran.
func readJournal(url string) ([]worker.JournalEntry, error) {
	response, err := http.Get(url) //nolint:gosec,noctx // the address comes from the site's own list
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = response.Body.Close() }()
	var journal []worker.JournalEntry
	return journal, errors.WithStack(json.NewDecoder(response.Body).Decode(&journal))
}
