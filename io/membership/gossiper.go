package membership

import (
	"context"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"auburnstack/core/domain"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/io/peer"
	"auburnstack/io/tables"
)

const (
	// Interval is the time between a VM's gossip rounds.
	Interval = 500 * time.Millisecond
	// fanout is the number of peers that a VM contacts in one round. It does not depend on the size of the fleet.
	fanout = 2
	// maxOthers is the maximum number of other members that one heartbeat describes.
	maxOthers = 8
	// gossipTimeout is the timeout for the exchange of heartbeats with one peer, including the call for newer tables.
	gossipTimeout = 400 * time.Millisecond
)

// Gossiper exchanges heartbeats, table revisions and capacity summaries with the other entry VMs.
type Gossiper struct {
	directory *Directory
	follower  *tables.Follower
	dialer    peer.Dialer
	clock     *timeline.Clock
	mu        sync.Mutex
	random    *rand.Rand
	rounds    int
	// trigger receives a signal to start the next round before the interval has passed.
	trigger chan struct{}
}

// NewGossiper returns a gossiper that sends nothing until Run or Round is called.
func NewGossiper(
	directory *Directory, follower *tables.Follower, dialer peer.Dialer, clock *timeline.Clock, random *rand.Rand,
) *Gossiper {
	return &Gossiper{
		directory: directory, follower: follower, dialer: dialer, clock: clock, random: random,
		trigger: make(chan struct{}, 1),
	}
}

// TriggerRound makes Run start the next round at once, instead of at the end of the interval.
func (g *Gossiper) TriggerRound() {
	select {
	case g.trigger <- struct{}{}:
	default:
	}
}

// Run makes a gossip round at each interval or trigger, until the context ends.
func (g *Gossiper) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		g.Round(ctx)
		select {
		case <-ticker.C:
		case <-g.trigger:
		case <-ctx.Done():
			return
		}
	}
}

// Round marks VMs without recent heartbeats as dead, then exchanges heartbeats with up to fanout peers concurrently.
func (g *Gossiper) Round(ctx context.Context) {
	now := time.Now()
	g.directory.Sweep(now)
	self := g.directory.NextHeartbeat(g.follower.Current().Revision)
	var group sync.WaitGroup
	for _, target := range g.targets() {
		heartbeat := g.newHeartbeat(self, target.FailureDomain, now)
		group.Go(func() { g.exchange(ctx, target, heartbeat) })
	}
	group.Wait()
}

func (g *Gossiper) exchange(ctx context.Context, target peer.Member, heartbeat peer.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, gossipTimeout)
	defer cancel()
	reply, err := g.dialer.Peer(target.VM).Gossip(ctx, heartbeat)
	if err != nil {
		return
	}
	g.merge(ctx, reply)
}

// HandleHeartbeat merges a peer's heartbeat and returns this VM's own heartbeat as the reply.
func (g *Gossiper) HandleHeartbeat(ctx context.Context, heartbeat peer.Heartbeat) peer.Heartbeat {
	g.merge(ctx, heartbeat)
	self := g.directory.NextHeartbeat(g.follower.Current().Revision)
	return g.newHeartbeat(self, heartbeat.Self.FailureDomain, time.Now())
}

// merge applies a received heartbeat. It updates the tables before the directory: when a failure domain that was cut
// off is connected again, this VM must know of newer tables before it sees the other VMs alive. Otherwise this VM would
// mistake the partition for an outage of the store and continue with outdated tables.
func (g *Gossiper) merge(ctx context.Context, heartbeat peer.Heartbeat) {
	now := time.Now()
	g.clock.Observe(heartbeat.Clock)
	g.follower.NoteRevision(heartbeat.Revision)
	if heartbeat.Revision > g.follower.Current().Revision {
		g.fetch(ctx, heartbeat.Self)
	}
	g.follower.ConfirmRevision(heartbeat.Revision, now.Add(-heartbeat.RevisionAge))
	g.directory.MergeMember(heartbeat.Self, now)
	for _, other := range heartbeat.Others {
		g.directory.MergeMember(other, now)
	}
	for _, summary := range heartbeat.Summaries {
		g.directory.MergeSummary(summary)
	}
}

// fetch gets newer tables from a peer, so that only a few VMs have to read them from the store.
func (g *Gossiper) fetch(ctx context.Context, source peer.Member) {
	current := g.follower.Current()
	reply, err := g.dialer.Peer(source.VM).FetchTables(ctx, current.Revision)
	if err != nil {
		return
	}
	fetched, err := tablesFromReply(current, reply)
	if err != nil {
		return
	}
	if g.follower.Adopt(fetched) {
		g.TriggerRound()
	}
}

// tablesFromReply returns the tables of a reply, which holds either edits of the current tables or the complete tables.
func tablesFromReply(current *table.Tables, reply peer.TablesReply) (*table.Tables, error) {
	if len(reply.Edits) > 0 {
		return tables.ApplyAll(current, reply.Edits)
	}
	return table.Parse(reply.Revision, reply.Routes, reply.Pools)
}

// newHeartbeat returns the heartbeat to send to a VM of the recipient domain.
func (g *Gossiper) newHeartbeat(self peer.Member, recipientDomain domain.Name, now time.Time) peer.Heartbeat {
	return peer.Heartbeat{
		Self:        self,
		Others:      g.sample(recipientDomain),
		Summaries:   g.directory.Summaries(),
		Revision:    self.Revision,
		RevisionAge: g.follower.Age(now),
		Clock:       g.clock.Now(now),
	}
}

// sample selects the members to describe to a VM of the recipient domain, at most maxOthers. Members that are shutting
// down come first, so that this fact spreads fastest. If the recipient is in this VM's own failure domain, the members
// of that domain come next, because the domain's scheduler relies on their liveness. If the recipient is in another
// domain, the members of the recipient's domain come last, because the recipient gets heartbeats from them directly.
// The order is otherwise random.
func (g *Gossiper) sample(recipientDomain domain.Name) []peer.Member {
	others := g.directory.Others(true)
	g.shuffle(others)
	others = slices.DeleteFunc(others, func(m peer.Member) bool { return m.Counter == 0 })
	ownDomain := g.directory.Self().FailureDomain
	rank := func(m peer.Member) int {
		switch {
		case m.Leaving:
			return 0
		case m.FailureDomain == recipientDomain && recipientDomain == ownDomain:
			return 1
		case m.FailureDomain != recipientDomain:
			return 2
		default:
			return 3
		}
	}
	slices.SortStableFunc(others, func(a, b peer.Member) int { return rank(a) - rank(b) })
	return others[:min(maxOthers, len(others))]
}

// targets selects the peers for one round: the peer that sameDomainTarget returns, if any, and other members chosen at
// random, fanout peers in total. Dead members are candidates too, so that the two sides of a healed partition find each
// other again.
func (g *Gossiper) targets() []peer.Member {
	live := g.directory.Others(true)
	others := append(slices.Clone(live), g.directory.Dead()...)
	g.shuffle(others)
	if sameDomain, found := g.sameDomainTarget(live); found {
		others = slices.DeleteFunc(others, func(m peer.Member) bool { return m.Name == sameDomain.Name })
		others = append([]peer.Member{sameDomain}, others...)
	}
	return others[:min(fanout, len(others))]
}

// sameDomainTarget selects a peer of this VM's own failure domain, at a distance of 1, 2, 4 and so on in the order of
// names; the distance doubles each round and then starts again at 1. Information from each of the n VMs of a domain
// then reaches all others after about log2(n) rounds, whereas random selection leaves long gaps. This is the
// dissemination pattern of Hensgen, Finkel and Manber.
func (g *Gossiper) sameDomainTarget(live []peer.Member) (peer.Member, bool) {
	self := g.directory.Self()
	domainMembers := []peer.Member{{VM: self}}
	for _, m := range live {
		if m.FailureDomain == self.FailureDomain {
			domainMembers = append(domainMembers, m)
		}
	}
	if len(domainMembers) == 1 {
		return peer.Member{}, false
	}
	slices.SortFunc(domainMembers, func(a, b peer.Member) int { return strings.Compare(string(a.Name), string(b.Name)) })
	ownIndex := slices.IndexFunc(domainMembers, func(m peer.Member) bool { return m.Name == self.Name })
	distance := 1 << (g.nextRound() % bits.Len(uint(len(domainMembers)-1)))
	return domainMembers[(ownIndex+distance)%len(domainMembers)], true
}

// nextRound increments the number of gossip rounds and returns the new number.
func (g *Gossiper) nextRound() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	return g.rounds
}

func (g *Gossiper) shuffle(members []peer.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
}

// FetchTables returns the edits after a revision, or the complete tables if this VM no longer has all of the edits.
func (g *Gossiper) FetchTables(since table.Revision) peer.TablesReply {
	current := g.follower.Current()
	if edits, ok := g.follower.EditsSince(since); ok {
		return peer.TablesReply{Revision: current.Revision, Edits: edits}
	}
	return peer.TablesReply{
		Revision: current.Revision, Routes: current.Text(table.Routes), Pools: current.Text(table.Pools),
	}
}
