package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployments.
const (
	configApply  = 2 * time.Second
	visible      = 3 * time.Second
	finishAfter  = 14 * time.Second
	cancelBound  = 3 * time.Second
	stopBound    = 400 * time.Millisecond
	lossWindow   = 3 * time.Second
	reclaimBound = 2900 * time.Millisecond
	callDeadline = 3 * time.Second
)

const (
	zoneNorth = "jm-south-kin"
	zoneSouth = "jm-south-spt"
	// host is the host of all routes.
	host = "nony24.example"
	// apiKey is the key of the first tenant, otherKey that of the second one.
	apiKey, otherKey = "d4a3hwrr6x73d3zji9n7", "3hh2b9wu3fexd9dnn2ct"
	// graceful is the time from SIGTERM to SIGKILL.
	graceful = 6 * time.Second
)

// zoneOf returns the zone of a rack.
func zoneOf(rack string) string {
	if rack == "r2" {
		return zoneSouth
	}
	return zoneNorth
}

// route is a route of the configuration.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	Prefix          string  `json:"prefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       int     `json:"timeoutMs"`
	TargetLatencyMs int     `json:"targetLatencyMs"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	StretchFactor   float64 `json:"stretchFactor"`
	Anonymous       bool    `json:"anonymous"`
}

// newRoute returns a route with the figures of the small deployments.
func newRoute(name, prefix, service string, priority int) route {
	return route{
		Name: name, Host: host, Prefix: prefix, Kind: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 1000,
		Priority: priority, Service: service, MaxAttempts: 4, StretchFactor: 3,
	}
}

// site is a deployment: a store and workers in this process, and the entry VMs as processes.
type site struct {
	store   *store
	fleet   *fleet
	record  *record
	folder  string
	binary  string
	version int
	vms     []*vmProcess
	// statusSeconds is the time for which the state of an ended job must be shown, status_s of the settings.
	statusSeconds int
	// template is the template of the VMs' settings.
	template string
	// storeAddress is the address of the store.
	storeAddress string
}

// vmProcess is an entry VM.
type vmProcess struct {
	name, zone, front, ready, peers string
	settings                        string

	// mu guards the process.
	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// newSite starts a store. The folder receives the settings and the logs of the VMs.
func newSite(binary, folder string, r *record) (*site, error) {
	s := &site{store: newStore(), record: r, folder: folder, binary: binary, statusSeconds: 120}
	s.fleet = newFleet(s.store, r)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAddress = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store.Handler()) }()
	return s, nil
}

// Configure writes a new version of the configuration.
func (s *site) Configure(note string, services []string, routes ...route) error {
	s.version += 3
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "admissionCheck": false,
		})
	}
	value, err := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": list,
		"limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "kaje80", "apiKeys": []string{apiKey}, "guaranteed": map[string]int{"gpu": 8}},
			{"name": "moru12", "apiKeys": []string{otherKey}, "guaranteed": map[string]int{"gpu": 0}},
		},
	})
	if err != nil {
		return err
	}
	s.store.Put("op/config", value, 0)
	var text []string
	for _, r := range routes {
		text = append(text, fmt.Sprintf("%s at %s to %s, %d ms", r.Name, r.Prefix, r.Service, r.TimeoutMs))
	}
	s.record.Add("config version %d is acknowledged (%s): %s", s.version, note, strings.Join(text, "; "))
	return nil
}

// Ports of each VM. Every VM has a loopback address of its own.
const (
	frontPort, readyPort, peersPort, firstPort = 8521, 8523, 8526, 7000
	// addressTries is the number of loopback networks that are tried.
	addressTries = 200
)

// freeNetwork returns the first three bytes of a loopback network in which nothing listens on the VMs' ports.
func freeNetwork(vms int) (string, error) {
	for try := range addressTries {
		number := os.Getpid() + try
		network := fmt.Sprintf("127.%d.%d", 64+number/250%64, 1+number%250)
		if isFree(network, vms) {
			return network, nil
		}
	}
	return "", errors.New("no loopback network is free")
}

// isFree reports whether nothing listens on the VMs' ports in a network.
func isFree(network string, vms int) bool {
	for i := range vms {
		for _, port := range []int{frontPort, readyPort, peersPort, firstPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, i+1, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// StartVMs writes the settings of the entry VMs by the template of the deploy file, and starts them.
func (s *site) StartVMs(n int) error {
	text, err := os.ReadFile(s.template)
	if err != nil {
		return err
	}
	network, err := freeNetwork(n)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range n {
		v := &vmProcess{
			name: fmt.Sprintf("edge-%d", i+1), zone: []string{zoneNorth, zoneSouth}[i%2],
			front: address(network, i, frontPort), ready: address(network, i, readyPort), peers: address(network, i, peersPort),
		}
		v.settings = filepath.Join(s.folder, v.name+".ini")
		s.vms = append(s.vms, v)
		seeds = append(seeds, v.peers)
	}
	for _, v := range s.vms {
		filled := strings.NewReplacer(
			"{{nodeName}}", v.name, "{{zone}}", v.zone, "{{bindAddresses.front}}", v.front,
			"{{bindAddresses.ready}}", v.ready, "{{bindAddresses.controlPlane}}", v.peers,
			"{{portRange.0}}", strconv.Itoa(firstPort), "{{limits.linkMbps}}", "1000", "{{limits.cpuShare}}", "0.4",
			"{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{bounds.graceS}}", "6",
			"{{seeds}}", strings.Join(seeds, ","), "{{platform.address}}", s.storeAddress,
			"{{platform.valueBytes}}", "1048576", "{{bounds.configApplyMs}}", "2000", "{{bounds.evacuateMs}}", "5000",
			"{{advice}}", "", "{{cloudApi.address}}", "", "{{bounds.holdMaxMs}}", "10000", "{{heartbeatMs}}", "1500",
			"{{bounds.stopMs}}", "400", "{{bounds.early_ms}}", "250", "{{bounds.remoteFactor}}", "3",
			"{{bounds.status_s}}", strconv.Itoa(s.statusSeconds),
		).Replace(string(text))
		if strings.Contains(filled, "{{") {
			return fmt.Errorf("a placeholder of %s is not known", s.template)
		}
		if err := os.WriteFile(v.settings, []byte(filled), 0o600); err != nil {
			return err
		}
		if err := s.startVM(v); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

// address returns an address of the VM with the given index.
func address(network string, index, port int) string {
	return fmt.Sprintf("%s.%d:%d", network, index+1, port)
}

// startVM starts the process of a VM with the command of the deploy file.
func (s *site) startVM(v *vmProcess) error {
	logs, err := os.OpenFile(filepath.Join(s.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.command = exec.Command(s.binary, "entry")
	v.command.Env = append(os.Environ(), "AUBURNSTACK_SETTINGS="+v.settings)
	v.command.Stdout, v.command.Stderr = logs, logs
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = logs.Close()
		close(ended)
	}(v.command, v.ended)
	s.record.Add("process of %s starts", v.name)
	return nil
}

// awaitReady waits until all VMs report that they are ready.
func (s *site) awaitReady() error {
	end := time.Now().Add(20 * time.Second)
	for _, v := range s.vms {
		for {
			response, err := http.Get("http://" + v.ready + "/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", v.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.record.Add("all VMs are ready")
	return nil
}

// Close ends the processes of all VMs.
func (s *site) Close() {
	for _, v := range s.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
			<-v.ended
		}
	}
	s.record.Add("all processes have ended")
}
