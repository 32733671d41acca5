package memworker

import (
	"sync"
	"time"

	"auburnstack/core/endpoint"
)

// StartBeats calls write for each worker that names returns every RegistrationInterval, and for each worker that is
// back after a task has crashed it, until the returned function is called, which waits for the last call.
func (f *Fleet) StartBeats(names func() []endpoint.Name, write func(endpoint.Name)) (stop func()) {
	f.SetOnReturn(write)
	ended := make(chan struct{})
	var beats sync.WaitGroup
	beats.Go(func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(RegistrationInterval):
			}
			for _, name := range names() {
				write(name)
			}
		}
	})
	return func() {
		close(ended)
		beats.Wait()
	}
}
