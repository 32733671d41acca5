package coordinator

import "time"

// shrinkGrace is the time, in addition to one registration interval, for which a start may ignore that its worker has
// shrunk. It is the shortest that the platform guarantees.
const shrinkGrace = 3 * time.Second

// maxRegistrationAge is the age of a worker's registration from which on no start is sent to the worker: an attempt to
// start a task that takes as long as it may still arrives before a smaller capacity counts.
func (t *term) maxRegistrationAge() time.Duration {
	return shrinkGrace + t.config.Settings.RegistrationInterval - orderTimeout
}

// registeredRecently reports whether a worker has written its registration recently, by its own clock. That the
// registrations were read recently does not show it: a worker could not write while the store was away. The
// registration of an earlier life of the worker counts as old, also while only the link knows of the new life.
func (t *term) registeredRecently(l *link) bool {
	if t.planner.RegistrationOutdated(l.info.Name) {
		return false
	}
	registration := t.planner.Registration(l.info.Name)
	age, known := t.writeAge(&registration, time.Now())
	return registration.Clock == 0 || known && age < t.maxRegistrationAge()
}
