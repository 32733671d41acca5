// Package policy describes what the operators have configured: queues, client accounts, services and limits.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/upkeep"
)

// Version numbers the operators' configurations.
type Version int64

// Policy is one configuration in full. It is not changed once it was built.
type Policy struct {
	Version  Version
	Queues   []Queue
	Services []Service
	Accounts []Account
	Limits   Limits
	// Out lists the failure domains in which nothing may start.
	Out []domain.Name `json:",omitempty"`
	// Waves lists the upkeep that the operators ask for.
	Waves []upkeep.Wave `json:",omitempty"`
	// Unread says which parts could not be read. They are left out, and the rest holds.
	Unread []string `json:",omitempty"`
}

// Queue accepts jobs under a host and a path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority 0 is served first and may stop work of others.
	Priority int
	// MaxAttempts is the number of failed runs of a task or gang after which its job fails.
	MaxAttempts int
	// Stretch times a job's longest chain, plus Target, is the objective of its completion time.
	Stretch float64
	Target  time.Duration
	// Timeout bounds the handling of one call.
	Timeout time.Duration
	// Anonymous queues need no key.
	Anonymous bool `json:",omitempty"`
	// Advice is nil for queues whose tasks may start on any worker.
	Advice *Advice `json:",omitempty"`
}

// Advice tells how long the adviser takes, which alone knows on which workers the steps of a queue may run. A start
// needs its ticket.
type Advice struct {
	// Decision is the time of one question, and Period that for each worker in it.
	Decision time.Duration
	Period   time.Duration
	// Validity is how long a ticket holds.
	Validity time.Duration
}

// AnswerTime returns how long a question about a number of workers takes.
func (a *Advice) AnswerTime(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.Period
}

// Service is a set of workers.
type Service struct {
	Name string
	// Standby services have workers that are switched off.
	Standby bool `json:",omitempty"`
}

// Account is a client account as the operators configured it.
type Account struct {
	Name account.Name
	// Keys holds digests, so that credentials are not kept or passed on as text.
	Keys []Key
	// Guaranteed is the number of accelerators that belong to the account's jobs of priority 0 at any time.
	Guaranteed int64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Key is the digest of a credential.
type Key string

// Digest returns the form in which a credential is kept.
func Digest(credential string) Key {
	sum := sha256.Sum256([]byte(credential))
	return Key(hex.EncodeToString(sum[:]))
}

// Route returns the queue with the longest prefix that the path begins with.
func (p *Policy) Route(host, path string) (Queue, bool) {
	best := -1
	for i := range p.Queues {
		q := &p.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best < 0 || len(q.Prefix) > len(p.Queues[best].Prefix) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return p.Queues[best], true
}

// Queue returns the queue of a name.
func (p *Policy) Queue(name string) (Queue, bool) {
	for i := range p.Queues {
		if p.Queues[i].Name == name {
			return p.Queues[i], true
		}
	}
	return Queue{}, false
}

// Authenticate returns the account that a key belongs to.
func (p *Policy) Authenticate(key string) (account.Name, bool) {
	digest := Digest(key)
	for i := range p.Accounts {
		for _, known := range p.Accounts[i].Keys {
			if known == digest {
				return p.Accounts[i].Name, true
			}
		}
	}
	return "", false
}

// Guaranteed returns the accelerators that belong to an account at any time.
func (p *Policy) Guaranteed(name account.Name) int64 {
	for i := range p.Accounts {
		if p.Accounts[i].Name == name {
			return p.Accounts[i].Guaranteed
		}
	}
	return 0
}

// HasAdvice tells whether any queue needs tickets.
func (p *Policy) HasAdvice() bool {
	for i := range p.Queues {
		if p.Queues[i].Advice != nil {
			return true
		}
	}
	return false
}

// IsOut tells whether nothing may start in a failure domain.
func (p *Policy) IsOut(name domain.Name) bool {
	for _, out := range p.Out {
		if out == name {
			return true
		}
	}
	return false
}
