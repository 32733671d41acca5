package platform

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// program and template are those of the deploy file, relative to the repository's root.
const (
	program  = "target/auburnstack"
	template = "deploy/settings.ini"
)

// VM is an entry VM.
type VM struct {
	Name    string
	Zone    string
	front   string
	readyAt string
	peers   string
	// firstPort is the first of the ports that are free for the process.
	firstPort int
	folder    string
	command   *exec.Cmd
	ended     chan struct{}
	log       *os.File
}

func newVM(i int, folder string) (*VM, error) {
	zone := zones[i%len(zones)]
	v := &VM{Name: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), Zone: zone, folder: folder}
	var err error
	ip := loopback(i)
	for _, address := range []*string{&v.front, &v.readyAt, &v.peers} {
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	v.firstPort, err = freePorts(ip)
	return v, err
}

// loopback returns the loopback address of a VM, which differs from those of other sites that run at the same time.
func loopback(i int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid%128, 1+pid/128%250, 1+i)
}

// freeAddress returns a loopback address with a port that is free.
func freeAddress(ip string) (string, error) {
	listener, err := listenTCP(ip)
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// freePorts returns the first of 16 ports of which the last one, that of the metrics, is free.
func freePorts(ip string) (int, error) {
	const ports = 16
	address, err := freeAddress(ip)
	if err != nil {
		return 0, err
	}
	_, text, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	last, err := strconv.Atoi(text)
	return last - ports + 1, err
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)\}\}`)

// settings fills in the template of the deploy file.
func (v *VM) settings(store string, all []*VM) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var seeds []string
	for _, other := range all[:min(len(all), 3)] {
		seeds = append(seeds, other.peers)
	}
	values := map[string]string{
		"nodeName": v.Name, "zone": v.Zone, "bindAddresses.front": v.front, "bindAddresses.ready": v.readyAt,
		"bindAddresses.controlPlane": v.peers, "portRange.0": fmt.Sprint(v.firstPort), "limits.linkMbps": "1000.0",
		"limits.cpuShare": "0.4", "limits.memoryMb": "284", "bounds.graceS": "6", "seeds": strings.Join(seeds, ","),
		"platform.address": store, "advice": "", "cloudApi.address": "", "bounds.holdMaxMs": "10000", "heartbeatMs": "1500",
		"bounds.stopMs": "400", "bounds.early_ms": "250", "bounds.remoteFactor": "3", "bounds.status_s": "120",
	}
	return placeholder.ReplaceAllStringFunc(string(text), func(field string) string {
		return values[strings.Trim(field, "{}")]
	}), nil
}

// start writes the settings and starts the process.
func (v *VM) start(store string, all []*VM) error {
	settings, err := v.settings(store, all)
	if err != nil {
		return err
	}
	path := filepath.Join(v.folder, v.Name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(v.folder, v.Name+".log")); err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), program, "entry")
	command.Env = append(os.Environ(), "AUBURNSTACK_SETTINGS="+path)
	command.Stdout, command.Stderr = v.log, v.log
	// The process ends with this one, however that ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	v.command, v.ended = command, make(chan struct{})
	go func() {
		_ = command.Wait()
		close(v.ended)
	}()
	return nil
}

func (v *VM) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.readyAt+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Exited reports whether the process has ended by itself.
func (v *VM) Exited() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// Signal sends a signal to the process.
func (v *VM) Signal(signal syscall.Signal) {
	_ = v.command.Process.Signal(signal)
}

func (v *VM) close() {
	if v.command != nil {
		_ = v.command.Process.Kill()
		<-v.ended
	}
	if v.log != nil {
		_ = v.log.Close()
	}
}
