// Package platform is a small deployment on loopback addresses: a store, workers, and entry VMs that run the program of
// the deploy file as separate processes.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"auburnstack/review/kvstore"
	"auburnstack/review/taskworker"
)

// Host is that of both queues. Prefix is that of the queue of priority 1, UrgentPrefix that of the queue of priority 0.
// Key is the only API key.
const (
	Host         = "nony24.example"
	Prefix       = "/lohu930/"
	UrgentPrefix = "/pufi791/"
	Key          = "d4a3hwrr6x73d3zji9n7"
)

const (
	// Service is the name of the workers' service.
	Service = "assay-svc"
	// MaxAttempts is that of both queues.
	MaxAttempts = 4
	// heartbeat is the interval at which workers write their entries. After three of them without a write an entry
	// expires.
	heartbeat = 1500 * time.Millisecond
	lapse     = 3 * heartbeat
)

var zones = []string{"jm-south-kin", "jm-south-spt", "jm-south-mby", "jm-south-mor"}

// Site is a running deployment.
type Site struct {
	Store   *kvstore.Store
	Workers []*taskworker.Worker
	VMs     []*VM
	Record  *Record

	folder  string
	servers []*http.Server
	stop    context.CancelFunc
	loops   sync.WaitGroup
}

// Start starts a site with the given numbers of VMs and workers, and waits until the VMs are ready. The function plan
// returns the plan for a task.
func Start(record *Record, vms, workers int, plan func(task string) taskworker.Plan) (*Site, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &Site{Store: kvstore.New(), Record: record, folder: folder, stop: stop}
	if err := s.start(ctx, vms, workers, plan); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context, vms, workers int, plan func(task string) taskworker.Plan) error {
	storeAddress, err := s.listen(s.Store.Handler())
	if err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	for i := range workers {
		w := taskworker.New(fmt.Sprintf("i-%08x", 0x7f3a91c2+i*7919), Service, zones[i%len(zones)],
			fmt.Sprintf("r%d-1", i%len(zones)), plan, s.Record.add)
		if w.Address, err = s.listen(w); err != nil {
			return err
		}
		s.Workers = append(s.Workers, w)
		s.loops.Go(func() { s.register(ctx, w) })
	}
	for i := range vms {
		v, err := newVM(i, s.folder)
		if err != nil {
			return err
		}
		s.VMs = append(s.VMs, v)
	}
	for _, v := range s.VMs {
		if err := v.start(storeAddress, s.VMs); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// listen serves a handler on a free loopback port and returns its address.
func (s *Site) listen(handler http.Handler) (string, error) {
	listener, err := listenTCP("127.0.0.1")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// listenTCP listens on a free port of a loopback address.
func listenTCP(ip string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", ip+":0")
}

// configure writes the first configuration.
func (s *Site) configure() error {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": "non_idempotent", "timeoutMs": 3000,
			"targetLatencyMs": 1000, "priority": priority, "service": Service, "maxAttempts": MaxAttempts,
			"stretchFactor": 3.0, "anonymous": false,
		}
	}
	value, err := json.Marshal(map[string]any{
		"version": 7,
		"routes":  []map[string]any{route("r-7ejsmzz", Prefix, 1), route("r-yyjsg3a", UrgentPrefix, 0)},
		"services": []map[string]any{{
			"name": Service, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "admissionCheck": false,
			"standby": false,
		}},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []map[string]any{{"name": "kaje80", "apiKeys": []string{Key}, "guaranteed": map[string]int{"gpu": 8}}},
	})
	s.Store.Put("op/config", value)
	return err
}

// register writes a worker's entry every heartbeat and when the worker is born again, and removes it when it has not
// been written for three of them.
func (s *Site) register(ctx context.Context, w *taskworker.Worker) {
	key := "servers/" + w.ID
	var written time.Time
	var life int64
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		born, up := w.Life()
		if up && (time.Since(written) >= heartbeat || born != life) {
			if entry, ok := w.Entry(); ok && s.Store.Put(key, entry) {
				written, life = time.Now(), born
			}
		}
		if !written.IsZero() && time.Since(written) >= lapse {
			s.Store.Remove(key)
			written = time.Time{}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// awaitReady waits until all VMs say that they are ready.
func (s *Site) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, v := range s.VMs {
		for !v.ready() {
			if time.Now().After(deadline) {
				return errors.New("the VMs are not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and servers that the site has started, and removes its folder. If REVIEW_LOGS names a
// folder, the VMs' logs are kept there.
func (s *Site) Close() {
	for _, v := range s.VMs {
		v.close()
	}
	s.stop()
	s.loops.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		logs, _ := filepath.Glob(filepath.Join(s.folder, "*.log"))
		for _, path := range logs {
			if content, err := os.ReadFile(path); err == nil {
				_ = os.WriteFile(filepath.Join(kept, filepath.Base(path)), content, 0o600)
			}
		}
	}
	_ = os.RemoveAll(s.folder)
}

// JobOf returns the ID in a task's name.
func JobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
