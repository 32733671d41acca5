package planner

import (
	"time"

	"auburnstack/core/speed"
)

// SpeedCounts holds the numbers of registered workers by what is known of their speed.
type SpeedCounts struct {
	Slow, Unknown, Normal, Fast int
}

// SpeedCounts counts the registered workers by their learned speeds. The second result is false if speeds are not
// learned.
func (p *Planner) SpeedCounts(now time.Time) (SpeedCounts, bool) {
	var c SpeedCounts
	if p.speeds == nil {
		return c, false
	}
	for _, w := range p.workersByName {
		if !w.registered {
			continue
		}
		switch p.speedOf(w, now).level {
		case slowLevel:
			c.Slow++
		case unknownLevel:
			c.Unknown++
		case normalLevel:
			c.Normal++
		case fastLevel:
			c.Fast++
		}
	}
	return c, true
}

// SpeedChanges returns the number of noticeable changes of the learned speeds so far.
func (p *Planner) SpeedChanges() uint64 {
	if p.speeds == nil {
		return 0
	}
	return p.speeds.Changes()
}

// SpeedSummary returns the learned speeds of at most the given number of workers, for the next leader.
func (p *Planner) SpeedSummary(limit int, now time.Time) speed.Summary {
	if p.speeds == nil {
		return speed.Summary{}
	}
	return p.speeds.Summary(limit, now)
}

// RestoreSpeeds replaces the learned speeds by those of an earlier leader. It changes nothing if the summary is invalid
// or if speeds are not learned.
func (p *Planner) RestoreSpeeds(s speed.Summary, now time.Time) error {
	if p.speeds == nil {
		return nil
	}
	restored, err := speed.Restore(s, now)
	if err != nil {
		return err
	}
	p.speeds = restored
	return nil
}
