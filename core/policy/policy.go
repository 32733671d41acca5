// Package policy defines the operators' configuration: queues, client accounts, services and limits.
package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"auburnstack/core/account"
	"auburnstack/core/domain"
	"auburnstack/core/resources"
	"auburnstack/core/upkeep"
)

// Version is the version number of a Policy.
type Version int64

// Policy is one complete version of the operators' configuration. It is immutable once built.
type Policy struct {
	Version  Version
	Queues   []Queue
	Services []Service
	Accounts []Account
	Limits   Limits
	// Out lists the failure domains that operators have taken out of service: nothing may start there.
	Out []domain.Name `json:",omitempty"`
	// Waves lists the waves, groups of machines that the operators want maintained.
	Waves []upkeep.Wave `json:",omitempty"`
	// Unread holds an error message for each part of the configuration that could not be read. Such parts are left out
	// of the policy; all other parts apply.
	Unread []string `json:",omitempty"`
	// Warnings holds a message for each part of the configuration that applies but is probably a mistake.
	Warnings []string `json:",omitempty"`
}

// Queue describes a queue, which accepts the jobs that callers submit under one host and path prefix.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	// Priority is the rank of the queue: tasks of a queue with priority 0 are scheduled first and may preempt running
	// tasks of other queues.
	Priority int
	// MaxAttempts is the number of failed runs of a task or gang after which the job fails, unless the tasks are
	// long-running; 0 means no limit.
	MaxAttempts int
	// Stretch and Target define the completion time objective of a job: Stretch times the expected duration of its
	// critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Timeout is the maximum time for handling one caller's request to the queue.
	Timeout time.Duration
	// Anonymous is set if callers need no API key.
	Anonymous bool `json:",omitempty"`
	// Advice is nil if the queue's tasks may start on any worker without a ticket, the adviser's permission to start a
	// task.
	Advice *Advice `json:",omitempty"`
}

// Address is the place under which callers reach a queue. It identifies the queue in all versions of the policy,
// while the queue's name may change.
type Address struct {
	Host   string
	Prefix string
}

// Known reports whether the address is one. Records of earlier builds have none.
func (a Address) Known() bool {
	return a != Address{}
}

// Address returns the address of the queue.
func (q *Queue) Address() Address {
	return Address{Host: q.Host, Prefix: q.Prefix}
}

// Key returns a text that identifies the queue in all versions of the policy: its address or, if it has none, its
// name.
func (q *Queue) Key() string {
	if !q.Address().Known() {
		return q.Name
	}
	return q.Host + q.Prefix
}

// SameScheduling reports whether two queues agree on all that decides where and when tasks run, and how often.
func (q *Queue) SameScheduling(other *Queue) bool {
	sameAdvice := q.Advice == other.Advice || q.Advice != nil && other.Advice != nil && *q.Advice == *other.Advice
	return sameAdvice && q.Service == other.Service && q.Priority == other.Priority &&
		q.MaxAttempts == other.MaxAttempts && q.Stretch == other.Stretch && q.Target == other.Target
}

// Advice holds the timing of the adviser, the service that alone knows on which workers the steps of a queue may run.
// A task of such a queue may only start with a ticket, a permission issued by the adviser.
type Advice struct {
	// Decision and Period define the time that the adviser takes to answer a question about n workers: Decision plus n
	// times Period.
	Decision time.Duration
	Period   time.Duration
	// Validity is the time for which a ticket is valid.
	Validity time.Duration
}

// AnswerTime returns the time that the adviser takes to answer a question about the given number of workers.
func (a *Advice) AnswerTime(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.Period
}

// Service is a named set of workers. Each queue uses the workers of one service.
type Service struct {
	Name string
	// Standby is set if the workers of the service are switched off.
	Standby bool `json:",omitempty"`
}

// Account is a client account as the operators configured it.
type Account struct {
	Name account.Name
	// Keys holds the digests of the API keys, so that credentials are never stored or transmitted as plain text.
	Keys []Key
	// Guaranteed is the number of accelerators that are guaranteed to the account's jobs of priority 0 at any time.
	Guaranteed int64
	// Weight is the account's share of a service when not everything fits, relative to the weights of other accounts. 0
	// means that none is configured.
	Weight float64 `json:",omitempty"`
	// Limit holds the largest amounts that all runs of the account may have together; 0 means no limit for that
	// resource.
	Limit resources.Amounts `json:",omitzero"`
}

// Shares reports whether the account has a limit or a weight.
func (a *Account) Shares() bool {
	return a.Weight != 0 || a.Limit != resources.Amounts{}
}

// Limits holds the maximum sizes and times of the requests that callers send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Key is the digest of a credential.
type Key string

// Digest returns the SHA-256 digest under which a credential is stored.
func Digest(credential string) Key {
	sum := sha256.Sum256([]byte(credential))
	return Key(hex.EncodeToString(sum[:]))
}

// Route returns the queue for a request: of the host's queues whose prefix the path starts with, the one with the
// longest prefix.
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

// QueueIndex finds the queues of a policy.
type QueueIndex struct {
	byAddress map[Address]*Queue
	byName    map[string]*Queue
}

// NewQueueIndex returns the index of a policy. Of several queues with the same address or name it has the first one.
func NewQueueIndex(p *Policy) *QueueIndex {
	x := &QueueIndex{byAddress: map[Address]*Queue{}, byName: map[string]*Queue{}}
	for i := range slices.Backward(p.Queues) {
		q := &p.Queues[i]
		x.byAddress[q.Address()] = q
		x.byName[q.Name] = q
	}
	return x
}

// Find returns the queue with the given address or, if the address is not known, with the given name.
func (x *QueueIndex) Find(address Address, name string) (Queue, bool) {
	q, found := x.byName[name]
	if address.Known() {
		q, found = x.byAddress[address]
	}
	if !found {
		return Queue{}, false
	}
	return *q, true
}

// Authenticate returns the account that an API key belongs to.
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

// Guaranteed returns the number of accelerators that are guaranteed to an account.
func (p *Policy) Guaranteed(name account.Name) int64 {
	for i := range p.Accounts {
		if p.Accounts[i].Name == name {
			return p.Accounts[i].Guaranteed
		}
	}
	return 0
}

// Limit returns the largest amounts that all runs of an account may have together; 0 means no limit for that
// resource.
func (p *Policy) Limit(name account.Name) resources.Amounts {
	for i := range p.Accounts {
		if p.Accounts[i].Name == name {
			return p.Accounts[i].Limit
		}
	}
	return resources.Amounts{}
}

// SharesService reports whether any account has a limit or a weight.
func (p *Policy) SharesService() bool {
	for i := range p.Accounts {
		if p.Accounts[i].Shares() {
			return true
		}
	}
	return false
}

// SameOperations reports whether two policies agree on what operators order besides the configuration itself: the
// failure domains that are out and the waves.
func (p *Policy) SameOperations(other *Policy) bool {
	return slices.Equal(slices.Sorted(slices.Values(p.Out)), slices.Sorted(slices.Values(other.Out))) &&
		slices.EqualFunc(p.Waves, other.Waves, func(a, b upkeep.Wave) bool {
			return a.Number == b.Number && a.Duration == b.Duration && a.MaxDown == b.MaxDown &&
				slices.Equal(a.Machines, b.Machines)
		})
}

// IsOut reports whether operators have taken a failure domain out of service, so that nothing may start there.
func (p *Policy) IsOut(name domain.Name) bool {
	for _, out := range p.Out {
		if out == name {
			return true
		}
	}
	return false
}
