package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begin: time.Now()}, err
}

// Add writes a line with the seconds since the beginning.
func (r *record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.begin).Seconds()}, values...)...)
}

// site is a small deployment: stand-ins in this process and the project's program in processes of their own.
type site struct {
	folder, root string
	log          *record
	store        *store
	cloud        *cloud
	gangs        *gangs
	vms          []*vm
	servers      []*http.Server

	mu      sync.Mutex
	workers []*worker
}

// vm is an entry VM, with its process.
type vm struct {
	site       *site
	name, zone string
	ip         netip.Addr
	settings   string
	output     *os.File
	command    *exec.Cmd
	ended      chan struct{}
}

// at returns the address of the VM with a port.
func (v *vm) at(port uint16) netip.AddrPort { return netip.AddrPortFrom(v.ip, port) }

// The ports of each VM. Every VM has its own IP address.
const (
	frontPort, readyPort, controlPort = 8521, 8523, 8526
	firstPort                         = 7000
)

// newSite returns a site without workers and VMs. root is the folder of the repository.
func newSite(root string, log *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{folder: folder, root: root, log: log, store: newStore(), gangs: &gangs{known: map[string]*gang{}}}
	s.cloud = &cloud{site: s, fences: map[string]int64{}, done: map[string]bool{}, states: map[string]string{}}
	return s, nil
}

// listen serves a handler on a free port of 127.0.0.1 and returns its address.
func (s *site) listen(handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

// front is the handler at the address of a worker: of the life that is there, if any.
type front struct {
	mu      sync.Mutex
	current *worker
}

func (f *front) set(w *worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = w
}

// ServeHTTP implements http.Handler.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	current := f.current
	f.mu.Unlock()
	if current == nil {
		panic(http.ErrAbortHandler)
	}
	current.ServeHTTP(w, r)
}

// addWorker starts a worker behind a front.
func (s *site) addWorker(f *front, address netip.AddrPort, w *worker) {
	w.address = address
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	f.set(w)
	w.Begin()
}

// configure writes the configuration. Each queue has the route's name as its prefix.
func (s *site) configure(routes ...map[string]any) {
	for _, r := range routes {
		r["host"], r["service"], r["kind"], r["timeoutMs"] = "desk.example", "svc", "non_idempotent", 3000
		r["prefix"] = fmt.Sprintf("/%s/", r["name"])
		r["targetLatencyMs"], r["maxAttempts"], r["stretchFactor"] = 1000, 3, 3.0
	}
	s.store.Put("op/config", map[string]any{
		"version": 3, "routes": routes,
		"services": []map[string]any{{
			"name": "svc", "healthPath": "/healthz", "maxConnections": 64, "protocol": "h1", "admissionCheck": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "refiner", "apiKeys": []string{"refiner-key"}, "guaranteed": map[string]int{"gpu": 8}},
			{"name": "desk", "apiKeys": []string{"desk-key"}, "guaranteed": map[string]int{"gpu": 8}},
		},
	})
}

// placeholder matches a value in the template of the settings.
var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)

// startVMs starts the given number of VMs and waits until all are ready.
func (s *site) startVMs(count int) error {
	storeAddress, err := s.listen(s.store)
	if err != nil {
		return err
	}
	cloudAddress, err := s.listen(s.cloud)
	if err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.ini"))
	if err != nil {
		return err
	}
	var seeds []string
	for i := range count {
		v := &vm{site: s, name: fmt.Sprintf("edge-%d", i), zone: fmt.Sprintf("zone-%d", i)}
		v.ip = netip.AddrFrom4([4]byte{127, byte(20 + os.Getpid()%200), byte(1 + os.Getpid()/200%250), byte(1 + i)})
		s.vms = append(s.vms, v)
		seeds = append(seeds, v.at(controlPort).String())
	}
	for _, v := range s.vms {
		values := map[string]any{
			"nodeName": v.name, "zone": v.zone, "bindAddresses.front": v.at(frontPort),
			"bindAddresses.ready":        v.at(readyPort),
			"bindAddresses.controlPlane": v.at(controlPort), "portRange.0": firstPort,
			"limits.linkMbps": 1000.0, "limits.cpuShare": 0.4, "limits.memoryMb": 284, "limits.maxFds": 4100,
			"bounds.graceS": 6, "seeds": strings.Join(seeds[:min(len(seeds), 3)], ","), "platform.address": storeAddress,
			"platform.valueBytes": 1048576, "bounds.configApplyMs": 2000, "bounds.evacuateMs": 5000, "advice": "",
			"cloudApi.address": cloudAddress, "bounds.holdMaxMs": maxLease.Milliseconds(),
			"heartbeatMs": heartbeatInterval.Milliseconds(), "bounds.stopMs": 400, "bounds.early_ms": 250,
			"bounds.remoteFactor": 3, "bounds.status_s": 120,
		}
		text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string {
			value, known := values[strings.Trim(p, "{}")]
			if !known {
				err = fmt.Errorf("the template asks for %s", p)
			}
			return fmt.Sprint(value)
		})
		if err != nil {
			return err
		}
		v.settings = filepath.Join(s.folder, v.name+".ini")
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if v.output, err = os.Create(filepath.Join(s.folder, v.name+".log")); err != nil {
			return err
		}
		if err := v.start(); err != nil {
			return err
		}
	}
	return s.awaitReady()
}

func (s *site) awaitReady() error {
	const limit = 15 * time.Second
	for _, v := range s.vms {
		for begin := time.Now(); ; time.Sleep(50 * time.Millisecond) {
			response, err := http.Get(fmt.Sprintf("http://%s/readyz", v.at(readyPort)))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Since(begin) > limit {
				return fmt.Errorf("%s is not ready", v.name)
			}
		}
	}
	s.log.Add("%d VMs are ready", len(s.vms))
	return nil
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	v.command = exec.Command("target/auburnstack", "entry")
	v.command.Dir = v.site.root
	v.command.Env = append(os.Environ(), "AUBURNSTACK_SETTINGS="+v.settings)
	v.command.Stdout, v.command.Stderr = v.output, v.output
	if err := v.command.Start(); err != nil {
		return err
	}
	v.ended = make(chan struct{})
	command, ended := v.command, v.ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	v.site.log.Add("%s started", v.name)
	return nil
}

// kill kills the process and waits for its end.
func (v *vm) kill() {
	_ = v.command.Process.Kill()
	<-v.ended
	v.site.log.Add("%s killed", v.name)
}

// terminate sends SIGTERM and waits for the end, at most for the time of the platform (graceS).
func (v *vm) terminate() {
	const grace = 6 * time.Second
	v.site.log.Add("SIGTERM to %s", v.name)
	_ = v.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(grace):
		_ = v.command.Process.Kill()
		<-v.ended
	}
	v.site.log.Add("%s ended", v.name)
}

// Close ends all processes, keeps their output if REVIEW_LOGS names a folder, and removes the temporary folder.
func (s *site) Close() {
	for _, v := range s.vms {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
			<-v.ended
		}
		if v.output != nil {
			_ = v.output.Close()
		}
	}
	s.cloud.work.Wait()
	for _, w := range s.workers {
		w.Crash()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.store.Close()
	if kept := os.Getenv("REVIEW_LOGS"); kept != "" {
		_ = os.CopyFS(kept, os.DirFS(s.folder))
	}
	_ = os.RemoveAll(s.folder)
}

// call sends a request of a client to a VM and returns the status and the body; status 0 without an answer.
func (s *site) call(v *vm, method, path, key string, body any) (int, string) {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", v.at(frontPort), path), content)
	if err != nil {
		panic(err)
	}
	request.Host = "desk.example"
	request.Header.Set("X-Auburnstack-Deadline-Ms", "3000")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		s.log.Add("client: %s %s (key %q) at %s: no answer", method, path, key, v.name)
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	s.log.Add("client: %s %s (key %q) at %s: %d %s", method, path, key, v.name, response.StatusCode, text)
	return response.StatusCode, string(text)
}

// submit hands a job in at the VMs in turn, until one has accepted it, for at most 10 s.
func (s *site) submit(path, key string, job any) bool {
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, v := range s.vms {
			if status, _ := s.call(v, http.MethodPost, path, key, job); status/100 == 2 {
				return true
			}
		}
	}
	return false
}

// state asks the VMs in turn for the state of a job, until one has answered, for at most 10 s.
func (s *site) state(path, key string) string {
	for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(200 * time.Millisecond) {
		for _, v := range s.vms {
			status, body := s.call(v, http.MethodGet, path, key, nil)
			var answer struct {
				State string `json:"state"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
				return answer.State
			}
			if status == http.StatusGone {
				return "gone"
			}
		}
	}
	return ""
}
