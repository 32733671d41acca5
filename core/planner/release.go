package planner

import (
	"time"

	"auburnstack/core/roster"
)

const (
	// releaseTimeout is the time after the start of the last worker with the newest version after which a release counts
	// as over.
	releaseTimeout = 10 * time.Second
	// fragileDuration is the least expected duration of a gang that keeps away from workers which a release will replace.
	// Shorter gangs end within the time that leaving workers give.
	fragileDuration = 4 * time.Second
)

// release is the replacement of a service's workers, one after the other, by workers with a newer version of their
// software.
type release struct {
	// version is the newest version: the one whose first worker has started last.
	version string
	// mixed is set while workers of other versions are registered.
	mixed bool
	// lastStart is the last start of a worker with the newest version, and seenAt the time at which it was first seen.
	lastStart roster.Incarnation
	seenAt    time.Time
}

// trackReleases updates the releases from the list of registered workers.
func (p *Planner) trackReleases(now time.Time) {
	firstStarts, lastStarts := map[string]map[string]roster.Incarnation{}, map[string]map[string]roster.Incarnation{}
	for _, w := range p.workersByName {
		if !w.registered {
			continue
		}
		if firstStarts[w.Service] == nil {
			firstStarts[w.Service], lastStarts[w.Service] = map[string]roster.Incarnation{}, map[string]roster.Incarnation{}
		}
		first, known := firstStarts[w.Service][w.Version]
		if !known || w.Incarnation < first {
			firstStarts[w.Service][w.Version] = w.Incarnation
		}
		lastStarts[w.Service][w.Version] = max(lastStarts[w.Service][w.Version], w.Incarnation)
	}
	for service, starts := range firstStarts {
		p.updateRelease(service, newestVersion(starts), len(starts) > 1, lastStarts[service], now)
	}
}

// newestVersion returns the version whose first worker has started last.
func newestVersion(firstStarts map[string]roster.Incarnation) string {
	newest, found := "", false
	for version, start := range firstStarts {
		if !found || start > firstStarts[newest] || start == firstStarts[newest] && version > newest {
			newest, found = version, true
		}
	}
	return newest
}

func (p *Planner) updateRelease(
	service, version string, mixed bool, lastStarts map[string]roster.Incarnation, now time.Time,
) {
	r := p.releases[service]
	if r == nil {
		r = &release{}
		p.releases[service] = r
	}
	if r.version != version || lastStarts[version] > r.lastStart {
		r.seenAt = now
	}
	r.version, r.mixed, r.lastStart = version, mixed, lastStarts[version]
}

// inRelease reports whether workers of a service are being replaced.
func (p *Planner) inRelease(service string, now time.Time) bool {
	r := p.releases[service]
	return r != nil && r.mixed && now.Sub(r.seenAt) < releaseTimeout
}

// withNewestVersion returns the candidates that a release has replaced already. They stay, so that a gang loses no
// member.
func (p *Planner) withNewestVersion(candidates []candidate) []candidate {
	var replaced []candidate
	for _, c := range candidates {
		if c.worker.Version == p.releases[c.worker.Service].version {
			replaced = append(replaced, c)
		}
	}
	return replaced
}

// fragile reports whether a unit loses much if one of its workers leaves while it runs.
func (p *Planner) fragile(u *unit) bool {
	return u.spec().LongRunning || u.spec().Gang && p.estimator.expect(u.job.Queue, u.spec().Estimate) >= fragileDuration
}
