package site

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/jobmemory"
	"auburnstack/io/decoding"
	"auburnstack/io/relay"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

const (
	// registrationTTL is the time after which a registration expires unless the VM renews it.
	registrationTTL = 8 * time.Second
	// registrationInterval is the time between two renewals of the registration.
	registrationInterval = 2 * time.Second
	// registrationRetryPause is the pause after a failed attempt to register the VM or to renew its registration.
	registrationRetryPause = 300 * time.Millisecond
	// registrationTimeout is the timeout of one attempt to create, renew or remove the registration.
	registrationTimeout = time.Second
)

// vmPrefix is the prefix of the store keys under which the VMs of the site register.
const vmPrefix = "auburnstack/vm/"

// registration is what a VM stores about itself for the leader.
type registration struct {
	relay.Member
	// JobMemory is the largest memory that the jobs may take if this VM leads; 0 means that there is no limit.
	JobMemory jobmemory.Limit `json:",omitempty"`
}

func (r registration) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.WithStack(err)
}

func decodeRegistration(item store.Item) (registration, error) {
	var r registration
	err := decoding.Unmarshal(item.Value, &r, decoding.Dense)
	return r, errors.WithMessagef(err, "decode VM registration %s", item.Key)
}

// registrar registers the VM in the store under a lease, and renews the lease.
type registrar struct {
	store  store.Store
	self   registration
	log    hclog.Logger
	lease  store.LeaseID
	cancel context.CancelFunc
	done   chan struct{}
}

func newRegistrar(s store.Store, self registration, log hclog.Logger) *registrar {
	ctx, cancel := context.WithCancel(context.Background())
	r := &registrar{store: s, self: self, log: log, cancel: cancel, done: make(chan struct{})}
	go r.run(ctx)
	return r
}

// Close stops renewing the registration, and removes it from the store.
func (r *registrar) Close() {
	r.cancel()
	<-r.done
	if r.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	if err := r.store.End(ctx, r.lease); err != nil {
		r.log.Debug("removing the VM registration failed", "error", err.Error())
	}
}

func (r *registrar) run(ctx context.Context) {
	defer close(r.done)
	for ctx.Err() == nil {
		if err := r.ensureRegistered(ctx); err != nil {
			r.log.Debug("renewing the VM registration failed", "error", err.Error())
			wait.For(ctx, registrationRetryPause)
			continue
		}
		wait.For(ctx, registrationInterval)
	}
}

// ensureRegistered renews the lease of the registration, or registers the VM under a new lease if the VM has no lease
// or its lease has ended.
func (r *registrar) ensureRegistered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, registrationTimeout)
	defer cancel()
	if r.lease != 0 {
		err := r.store.Renew(ctx, r.lease)
		if !errors.Is(err, store.ErrLeaseEnded) {
			return err
		}
		r.lease = 0
	}
	value, err := r.self.encode()
	if err != nil {
		return err
	}
	lease, err := r.store.Grant(ctx, registrationTTL)
	if err != nil {
		return err
	}
	_, err = r.store.Commit(ctx, store.Transaction{
		Puts: []store.Put{{Key: vmPrefix + string(r.self.Name), Value: value, Lease: lease}},
	})
	if err == nil {
		r.lease = lease
	}
	return err
}
