package site

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/vm"
	"auburnstack/io/platform"
)

// Site describes the size and the configuration of one small installation for demos and tests.
type Site struct {
	Name           string
	FailureDomains []domain.Name
	// VMsPerDomain is the number of VMs in each failure domain, in the order of FailureDomains.
	VMsPerDomain []int
	// Workers is the number of workers in each failure domain.
	Workers        int
	WorkersPerRack int
	// Accelerators is the number of accelerators of each worker.
	Accelerators int
	Accounts     []AccountPlan
	// Port is the first port that the site uses on this machine.
	Port int
}

// AccountPlan describes one client account: its weight, its guaranteed blocks and its kinds of work.
type AccountPlan struct {
	Name   account.Name
	Weight int
	// Blocks is the number of guaranteed blocks of two whole workers each.
	Blocks int
	// Urgent, Long and Batch are the kinds of work that the account sends in the classes of the same names.
	Urgent string
	Long   string
	Batch  string
}

// Kingston returns the first example site: four failure domains with 48 workers in total.
func Kingston() Site {
	return Site{
		Name: "kingston", Port: DefaultPort,
		FailureDomains: []domain.Name{"North", "East", "South", "West"},
		VMsPerDomain:   []int{2, 2, 2, 2}, Workers: 12, WorkersPerRack: 6, Accelerators: 8,
		Accounts: []AccountPlan{
			{Name: "BullionDesks", Weight: 4, Blocks: 4, Urgent: "SpectralCheck", Long: "AssayModel", Batch: "Purity"},
			{Name: "GoldRefiners", Weight: 4, Blocks: 4, Urgent: "Reconcile", Long: "MeltModel", Batch: "Recalculate"},
			{Name: "SilverRefiners", Weight: 2, Blocks: 2, Urgent: "Reconcile", Long: "MeltModel", Batch: "Recalculate"},
			{Name: "Auditors", Weight: 1, Blocks: 1, Urgent: "Lookup", Long: "Audit", Batch: "Sample"},
		},
	}
}

// Association returns the second example site: three failure domains with 48 workers in total.
func Association() Site {
	return Site{
		Name: "association", Port: DefaultPort,
		FailureDomains: []domain.Name{"Suva", "Lautoka", "Labasa"},
		VMsPerDomain:   []int{3, 2, 2}, Workers: 16, WorkersPerRack: 8, Accelerators: 8,
		Accounts: []AccountPlan{
			{Name: "SuvaWorkshops", Weight: 4, Blocks: 4, Urgent: "PartsLookup", Long: "Diagnosis", Batch: "Warranty"},
			{Name: "LautokaWorkshops", Weight: 3, Blocks: 3, Urgent: "PartsLookup", Long: "Diagnosis", Batch: "Warranty"},
			{Name: "LabasaWorkshops", Weight: 2, Blocks: 2, Urgent: "PartsLookup", Long: "Diagnosis", Batch: "Warranty"},
			{Name: "Office", Weight: 1, Blocks: 1, Urgent: "Lookup", Long: "Report", Batch: "Claims"},
		},
	}
}

// DefaultPort is the first port of a site unless another port is set.
const DefaultPort = 7000

// Port numbers of a site, relative to its first port. The ports of one kind are numbered upward from their offset.
const (
	peerPortOffset     = 100
	operatorPortOffset = 200
	callerPortOffset   = 300
	workerPortOffset   = 400
)

// OperatorCredential is the operators' credential in the settings of a site.
const OperatorCredential = "operator-secret"

// address returns the address of a port on this machine. The parameter port is relative to the first port of the site.
func (s Site) address(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(s.Port+port))
}

// PlatformAddress returns the address of the simulated platform.
func (s Site) PlatformAddress() netip.AddrPort {
	return s.address(0)
}

// CallerAddress returns the address at which the VM with the given number answers callers.
func (s Site) CallerAddress(number int) netip.AddrPort {
	return s.address(callerPortOffset + number)
}

// List returns the VMs and endpoints of the site.
func (s Site) List() platform.List {
	var list platform.List
	for i, name := range s.FailureDomains {
		for range s.VMsPerDomain[i] {
			number := len(list.VMs)
			list.VMs = append(list.VMs, vm.VM{
				Name: vm.Name(fmt.Sprintf("entry-%d", number)), FailureDomain: name,
				PeerAddress: s.address(peerPortOffset + number), OperatorAddress: s.address(operatorPortOffset + number),
			})
		}
		for w := range s.Workers {
			list.Endpoints = append(list.Endpoints, endpoint.Endpoint{
				Name: endpoint.Name(fmt.Sprintf("%s-%02d", name, w)), FailureDomain: name,
				Rack:    endpoint.Rack(fmt.Sprintf("%s-rack-%d", name, w/s.WorkersPerRack)),
				Address: s.address(workerPortOffset + len(list.Endpoints)),
				Slots:   8, Connections: 64, Accelerators: s.Accelerators,
			})
		}
	}
	return list
}

// Settings returns the settings of one VM as INI text.
func (s Site) Settings(v vm.VM, number int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[Vm]\nName = %s\nFailureDomain = %s\nCallerAddress = %s\nOperatorAddress = %s\n"+
		"PeerAddress = %s\n\n",
		v.Name, v.FailureDomain, s.CallerAddress(number), v.OperatorAddress, v.PeerAddress)
	fmt.Fprintf(&text, "[Platform]\nAddress = %s\nCallsPerSecond = 100\n\n[Log]\nLevel = info\n\n", s.PlatformAddress())
	fmt.Fprintf(&text, "[Operators]\nCredential = %s\n\n", OperatorCredential)
	for _, a := range s.Accounts {
		fmt.Fprintf(&text, "[ClientAccount.%s]\nCredential = %s\nWeight = %d\n\n", a.Name, Credential(a.Name), a.Weight)
	}
	return text.String()
}

// Credential returns the credential of a client account.
func Credential(name account.Name) string {
	return string(name) + "-secret"
}

// Routes returns the routes table as INI text.
func (s Site) Routes() string {
	var text strings.Builder
	for _, a := range s.Accounts {
		row := func(kind, class, deadline string, idempotent bool) {
			fmt.Fprintf(&text, "[Route.%s%s]\nClientAccount = %s\nKind = %s\nClass = %s\nPool = %s\nDeadline = %s\n"+
				"Idempotent = %t\n\n", a.Name, kind, a.Name, kind, class, a.Name, deadline, idempotent)
		}
		row(a.Urgent, "Urgent", "2s", true)
		row(a.Long, "Long", "1h", true)
		row(a.Batch, "Batch", "10s", false)
	}
	return text.String()
}

// Pools returns the pools table as INI text.
func (s Site) Pools() string {
	var text strings.Builder
	names := make([]string, 0, len(s.FailureDomains))
	for _, name := range s.FailureDomains {
		names = append(names, string(name))
	}
	for _, a := range s.Accounts {
		fmt.Fprintf(&text, "[Pool.%s]\nClientAccount = %s\nShape = 2x%d\nCount = %d\nFailureDomains = %s\n\n",
			a.Name, a.Name, s.Accelerators, a.Blocks, strings.Join(names, ", "))
	}
	return text.String()
}

// LoadPlan returns a plan of mixed load for the load tool as INI text.
func (s Site) LoadPlan(duration time.Duration) string {
	var callers []string
	for number := range s.List().VMs {
		callers = append(callers, s.CallerAddress(number).String())
	}
	var endpoints []string
	for _, e := range s.List().Endpoints {
		endpoints = append(endpoints, e.Address.String())
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[Load]\nDuration = %s\nSettle = 25s\nSeed = 1\nCallers = %s\n"+
		"DirectEndpoints = %s\nDirectRate = 40\nDirectTime = 2ms\n\n",
		duration, strings.Join(callers, ", "), strings.Join(endpoints, ", "))
	for _, a := range s.Accounts {
		fmt.Fprintf(&text, "[ClientAccount.%s]\nCredential = %s\nUrgent = %s\nUrgentRate = 40\nUrgentTime = 2ms\n"+
			"OnceOnly = %s\nOnceOnlyRate = 10\nGang = %s\nGangRate = 0.5\nGangShape = 2x%d\nGangTime = 3s\n"+
			"Batch = %s\nBatchRate = 4\nBatchTime = 1s\n\n",
			a.Name, Credential(a.Name), a.Urgent, a.Batch, a.Long, s.Accelerators, a.Batch)
	}
	return text.String()
}
