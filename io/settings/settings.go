// Package settings reads and validates the INI settings of an entry VM.
package settings

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/document"
	"auburnstack/core/domain"
	"auburnstack/core/scheduler"
	"auburnstack/core/vm"
)

// Settings holds the settings of one entry VM.
type Settings struct {
	VM       VM
	Platform Platform
	Log      Log
	TLS      TLS
	// Accounts holds the client accounts; there is at least one.
	Accounts  []account.Account
	Operators Operators
	Scheduler scheduler.Settings
}

// VM holds this VM's name, its failure domain, the addresses that it listens on, and the time limits for its shutdown.
type VM struct {
	Name            vm.Name
	FailureDomain   domain.Name
	CallerAddress   netip.AddrPort
	OperatorAddress netip.AddrPort
	PeerAddress     netip.AddrPort
	// DrainTime is the maximum time for which the VM waits for in-flight requests when it shuts down.
	DrainTime time.Duration
	// LeaveGrace is the time for which a VM that is shutting down continues to serve while it reports that it is not
	// ready.
	LeaveGrace time.Duration
}

// Platform holds the address of the platform and the maximum number of calls per second that this VM makes to it.
type Platform struct {
	Address netip.AddrPort
	// CallsPerSecond is the maximum number of calls per second that this VM makes to the platform.
	CallsPerSecond float64
}

// Log holds the log level and format.
type Log struct {
	Level string
	JSON  bool
}

// TLS names the files for mutual TLS between VMs. If the names are empty, the VMs use plain TCP.
type TLS struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
}

// Enabled reports whether the VMs use TLS between each other.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// Operators holds the credential for the operators' interface, through which the tables can be edited.
type Operators struct {
	Credential string
}

// Load reads a settings file. The error is document.Mistakes if the contents are invalid.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return Parse(file, text)
}

// Parse parses settings. The error is document.Mistakes and lists all mistakes, unless the text cannot be parsed at
// all.
func Parse(source string, text []byte) (*Settings, error) {
	parsed, err := document.Parse(source, text)
	if err != nil {
		return nil, err
	}
	r := &reader{settings: &Settings{Scheduler: scheduler.DefaultSettings()}, source: source, seen: map[string]bool{}}
	for _, row := range parsed.Rows() {
		section := parsed.Section(row)
		r.readSection(row, section)
		r.mistakes = append(r.mistakes, section.Finish()...)
	}
	r.checkPresence()
	if err := r.mistakes.ErrorOrNil(); err != nil {
		return nil, err
	}
	return r.settings, nil
}

const accountPrefix = "ClientAccount."

// reader collects settings and mistakes while it reads the sections.
type reader struct {
	settings *Settings
	source   string
	seen     map[string]bool
	mistakes document.Mistakes
}

func (r *reader) readSection(row document.Row, section *document.Section) {
	r.seen[row.Section] = true
	switch {
	case row.Section == "Vm":
		r.readVM(section)
	case row.Section == "Platform":
		r.settings.Platform = Platform{
			Address:        section.AddrPort("Address"),
			CallsPerSecond: section.Float("CallsPerSecond", 50, 1, 10000),
		}
	case row.Section == "Log":
		r.readLog(section)
	case row.Section == "Tls":
		r.settings.TLS = TLS{
			CertificateFile: section.Text("CertificateFile"),
			KeyFile:         section.Text("KeyFile"),
			AuthorityFile:   section.Text("AuthorityFile"),
		}
	case row.Section == "Operators":
		r.settings.Operators = Operators{Credential: section.Text("Credential")}
	case row.Section == "Scheduler":
		r.readScheduler(section)
	case strings.HasPrefix(row.Section, accountPrefix):
		r.readAccount(row, section)
	default:
		r.mistakes = append(r.mistakes, document.Mistake{
			Source: r.source, Section: row.Section, Line: row.Line, Message: "unknown section",
		})
	}
}

func (r *reader) readVM(section *document.Section) {
	r.settings.VM = VM{
		Name:            vm.Name(section.Name("Name")),
		FailureDomain:   domain.Name(section.Name("FailureDomain")),
		CallerAddress:   section.AddrPort("CallerAddress"),
		OperatorAddress: section.AddrPort("OperatorAddress"),
		PeerAddress:     section.AddrPort("PeerAddress"),
		DrainTime:       section.Duration("DrainTime", 30*time.Second, 0, time.Hour),
		LeaveGrace:      section.Duration("LeaveGrace", 2*time.Second, 0, time.Minute),
	}
}

func (r *reader) readLog(section *document.Section) {
	r.settings.Log = Log{Level: section.TextOr("Level", "info"), JSON: section.Bool("Json", false)}
	switch r.settings.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		section.Reject("Level", "a level is debug, info, warn or error")
	}
}

func (r *reader) readScheduler(section *document.Section) {
	s := &r.settings.Scheduler
	s.AgingAfter = section.Duration("AgingAfter", s.AgingAfter, time.Second, 24*time.Hour)
	s.PreemptAfter = section.Duration("PreemptAfter", s.PreemptAfter, 0, 24*time.Hour)
	s.MoveAfter = section.Duration("MoveAfter", s.MoveAfter, 0, 24*time.Hour)
	s.ReturnRamp = section.Duration("ReturnRamp", s.ReturnRamp, 0, time.Hour)
}

func (r *reader) readAccount(row document.Row, section *document.Section) {
	name := strings.TrimPrefix(row.Section, accountPrefix)
	if !document.ValidName(name) {
		section.Reject("", "the part after ClientAccount. is not a name")
	}
	a := account.Account{
		Name:          account.Name(name),
		Credential:    section.Text("Credential"),
		Weight:        section.Int("Weight", 1, 1, 1000),
		RatePerSecond: section.Float("RatePerSecond", 0, 0, 1e6),
	}
	for _, other := range r.settings.Accounts {
		if other.Credential == a.Credential {
			section.Reject("Credential", "another account has the same credential")
		}
	}
	r.settings.Accounts = append(r.settings.Accounts, a)
}

// checkPresence adds a mistake for each required section that is missing.
func (r *reader) checkPresence() {
	for _, name := range []string{"Vm", "Platform", "Operators"} {
		if !r.seen[name] {
			r.mistakes = append(r.mistakes, document.Mistake{
				Source: r.source, Section: name, Message: "this section is required",
			})
		}
	}
	if len(r.settings.Accounts) == 0 {
		r.mistakes = append(r.mistakes, document.Mistake{
			Source: r.source, Section: accountPrefix + "NAME", Message: "at least one account is required",
		})
	}
}
