// Package load sends a mixed, open-loop load of requests and jobs as callers would, and records the result of each
// call.
package load

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"auburnstack/core/account"
	"auburnstack/core/document"
	"auburnstack/core/route"
	"auburnstack/core/shape"
)

// maxDuration and maxRate limit the durations and the rates (in calls per second) of a plan, so that a load always
// ends.
const (
	maxDuration = time.Hour
	maxRate     = 10000
)

// Plan describes the load to send.
type Plan struct {
	// Duration is the time during which new work is sent.
	Duration time.Duration
	// Settle is added to Duration: an accepted job is polled until it ends, for at most the sum of both times.
	Settle time.Duration
	// Seed is the seed of the random intervals between calls.
	Seed int
	// Callers holds the addresses at which the VMs serve callers.
	Callers []netip.AddrPort
	Direct  DirectPlan
	// Accounts holds one load per client account.
	Accounts []AccountPlan
}

// AccountPlan is the load of one client account: idempotent urgent requests, requests that must not run more than once
// (OnceOnly), gang jobs and batch jobs. Each of these four has a kind and a rate in calls per second. The fields whose
// names end in Time are the durations of the work at the endpoint; UrgentTime is the duration for both sorts of
// requests.
type AccountPlan struct {
	Name         account.Name
	Credential   string
	Urgent       route.Kind
	UrgentRate   float64
	UrgentTime   time.Duration
	OnceOnly     route.Kind
	OnceOnlyRate float64
	Gang         route.Kind
	GangRate     float64
	GangShape    shape.Shape
	GangTime     time.Duration
	Batch        route.Kind
	BatchRate    float64
	BatchTime    time.Duration
}

// ReadPlan reads a plan from an INI file. It returns document.Mistakes if the contents are invalid.
func ReadPlan(file string) (Plan, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Plan{}, errors.WithStack(err)
	}
	parsed, err := document.Parse(file, text)
	if err != nil {
		return Plan{}, err
	}
	var plan Plan
	var mistakes document.Mistakes
	for _, row := range parsed.Rows() {
		section := parsed.Section(row)
		if name, found := strings.CutPrefix(row.Section, "ClientAccount."); found {
			plan.Accounts = append(plan.Accounts, readAccount(account.Name(name), section))
		} else {
			plan.readLoad(section)
		}
		mistakes = append(mistakes, section.Finish()...)
	}
	return plan, mistakes.ErrorOrNil()
}

func (p *Plan) readLoad(section *document.Section) {
	p.Duration = section.Duration("Duration", 10*time.Second, time.Second, maxDuration)
	p.Settle = section.Duration("Settle", 30*time.Second, 0, maxDuration)
	p.Seed = section.Int("Seed", 1, 0, 1<<30)
	p.Callers = readAddresses(section, "Callers", section.Text("Callers"))
	if text := section.TextOr("DirectEndpoints", ""); text != "" {
		p.Direct.Endpoints = readAddresses(section, "DirectEndpoints", text)
	}
	p.Direct.Rate = section.Float("DirectRate", 0, 0, maxRate)
	p.Direct.Time = section.Duration("DirectTime", 0, 0, time.Minute)
}

func readAddresses(section *document.Section, key, text string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			section.Reject(key, "not a list of IP:PORT")
		}
		addresses = append(addresses, address)
	}
	return addresses
}

func readAccount(name account.Name, section *document.Section) AccountPlan {
	a := AccountPlan{
		Name: name, Credential: section.Text("Credential"),
		Urgent: route.Kind(section.Name("Urgent")), UrgentRate: section.Float("UrgentRate", 0, 0, maxRate),
		UrgentTime: section.Duration("UrgentTime", 0, 0, time.Minute),
		OnceOnly:   route.Kind(section.Name("OnceOnly")), OnceOnlyRate: section.Float("OnceOnlyRate", 0, 0, maxRate),
		Gang: route.Kind(section.Name("Gang")), GangRate: section.Float("GangRate", 0, 0, maxRate),
		GangTime: section.Duration("GangTime", 0, 0, time.Hour),
		Batch:    route.Kind(section.Name("Batch")), BatchRate: section.Float("BatchRate", 0, 0, maxRate),
		BatchTime: section.Duration("BatchTime", 0, 0, time.Hour),
	}
	wanted, err := shape.Parse(section.TextOr("GangShape", "1x1"))
	if err != nil {
		section.Reject("GangShape", err.Error())
	}
	a.GangShape = wanted
	return a
}
