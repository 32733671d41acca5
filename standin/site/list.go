// Package site describes small sites for demos and tests. It also reads the list of VMs and endpoints that the
// simulated services share.
package site

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"auburnstack/core/document"
	"auburnstack/core/domain"
	"auburnstack/core/endpoint"
	"auburnstack/core/vm"
	"auburnstack/io/platform"
)

// Prefixes of the section names in the list file.
const (
	vmPrefix       = "Vm."
	endpointPrefix = "Endpoint."
)

// ReadList reads the VMs and endpoints of a site from an INI file.
func ReadList(file string) (platform.List, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return platform.List{}, errors.WithStack(err)
	}
	parsed, err := document.Parse(file, text)
	if err != nil {
		return platform.List{}, err
	}
	var list platform.List
	var mistakes document.Mistakes
	for _, row := range parsed.Rows() {
		section := parsed.Section(row)
		switch {
		case strings.HasPrefix(row.Section, vmPrefix):
			list.VMs = append(list.VMs, readVM(strings.TrimPrefix(row.Section, vmPrefix), section))
		case strings.HasPrefix(row.Section, endpointPrefix):
			list.Endpoints = append(list.Endpoints, readEndpoint(strings.TrimPrefix(row.Section, endpointPrefix), section))
		}
		mistakes = append(mistakes, section.Finish()...)
	}
	return list, mistakes.ErrorOrNil()
}

func readVM(name string, section *document.Section) vm.VM {
	return vm.VM{
		Name: vm.Name(name), FailureDomain: domain.Name(section.Name("FailureDomain")),
		PeerAddress: section.AddrPort("PeerAddress"), OperatorAddress: section.AddrPort("OperatorAddress"),
		Leaving: section.Bool("Leaving", false),
	}
}

func readEndpoint(name string, section *document.Section) endpoint.Endpoint {
	return endpoint.Endpoint{
		Name: endpoint.Name(name), FailureDomain: domain.Name(section.Name("FailureDomain")),
		Rack: endpoint.Rack(section.Name("Rack")), Address: section.AddrPort("Address"),
		Slots: section.Int("Slots", 8, 0, 1<<16), Connections: section.Int("Connections", 64, 1, 1<<16),
		Accelerators: section.Int("Accelerators", 8, 0, 64), Leaving: section.Bool("Leaving", false),
	}
}

// FormatList returns a list as INI text that ReadList can read.
func FormatList(list platform.List) string {
	var text strings.Builder
	for _, v := range list.VMs {
		fmt.Fprintf(&text, "[%s%s]\nFailureDomain = %s\nPeerAddress = %s\nOperatorAddress = %s\nLeaving = %t\n\n",
			vmPrefix, v.Name, v.FailureDomain, v.PeerAddress, v.OperatorAddress, v.Leaving)
	}
	for _, e := range list.Endpoints {
		fmt.Fprintf(&text, "[%s%s]\nFailureDomain = %s\nRack = %s\nAddress = %s\nSlots = %d\nConnections = %d\n"+
			"Accelerators = %d\nLeaving = %t\n\n",
			endpointPrefix, e.Name, e.FailureDomain, e.Rack, e.Address, e.Slots, e.Connections, e.Accelerators, e.Leaving)
	}
	return text.String()
}
