// Package lease defines permissions that expire. The holder must check its lease right before each action that needs
// the permission.
package lease

import "time"

// Lease is a permission that expires at a point in time.
type Lease struct {
	// Expires is the time at which the lease ends. It includes a monotonic clock reading, so that setting the wall clock
	// does not extend the lease.
	Expires time.Time
}

// Grant returns a lease that starts now and lasts for the given duration.
func Grant(now time.Time, duration time.Duration) Lease {
	return Lease{Expires: now.Add(duration)}
}

// Valid reports whether the lease has not yet expired.
func (l Lease) Valid(now time.Time) bool {
	return now.Before(l.Expires)
}
