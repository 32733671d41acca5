package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"auburnstack/core/endpoint"
	"auburnstack/core/table"
	"auburnstack/core/timeline"
	"auburnstack/core/vm"
	"auburnstack/io/caller"
	worker "auburnstack/io/endpoint"
	"auburnstack/io/operator"
	"auburnstack/io/peer"
	"auburnstack/io/platform"
	"auburnstack/io/settings"
	"auburnstack/io/store"
	"auburnstack/io/wait"
)

// Daemon is a Node together with its servers for callers, operators and peers.
type Daemon struct {
	settings *settings.Settings
	log      hclog.Logger
	node     *Node
	peers    *peer.Pool
	workers  *worker.Pool

	callerServer   *caller.Server
	operatorServer *operator.Server
	peerServer     *peer.Server
}

// NewDaemon opens the listeners and starts the node on the given key-value store. The caller closes the store after
// closing the daemon.
func NewDaemon(s *settings.Settings, keyValues store.Store, log hclog.Logger) (*Daemon, error) {
	transport, err := peer.Credentials(s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s,
		log:      log,
		peers:    peer.NewPool(transport),
	}
	d.node = NewNode(Config{
		Self: vm.VM{
			Name: s.VM.Name, FailureDomain: s.VM.FailureDomain,
			PeerAddress: s.VM.PeerAddress, OperatorAddress: s.VM.OperatorAddress,
		},
		Accounts: s.Accounts, Store: platform.NewClient(keyValues, s.Platform.CallsPerSecond), Dialer: d.peers,
		Scheduler: s.Scheduler,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:       log,
		Observer:  d.logEvent,
		NewWorkers: func(list func() []endpoint.Endpoint) Workers {
			d.workers = worker.NewPool(list)
			return d.workers
		},
	})
	if err := d.listen(transport); err != nil {
		return nil, err
	}
	d.node.Start()
	return d, nil
}

func (d *Daemon) listen(transport peer.Transport) error {
	peerListener, err := listen(d.settings.VM.PeerAddress)
	if err != nil {
		return err
	}
	operatorListener, err := listen(d.settings.VM.OperatorAddress)
	if err != nil {
		return err
	}
	callerListener, err := listen(d.settings.VM.CallerAddress)
	if err != nil {
		return err
	}
	d.peerServer = peer.NewServer(peerListener, transport, NewPeerHandler(d.node), d.log)
	d.operatorServer, err = operator.New(operatorListener, operator.Dependencies{
		Credential: d.settings.Operators.Credential, Follower: d.node.Follower, Directory: d.node.Directory,
		Fleet: d.node.Fleet, Metrics: newMetrics(d.node), Accepted: d.editAccepted,
	})
	if err != nil {
		return err
	}
	d.callerServer, err = caller.New(
		callerListener, d.node.Accounts, d.node.Follower.Current, d.node.Dispatcher, d.node.Jobs, d.node)
	return err
}

func listen(address netip.AddrPort) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address.String())
	return listener, errors.WithStack(err)
}

func (d *Daemon) logEvent(event timeline.Event) {
	d.log.Info(string(event.Kind), "subject", event.Subject, "detail", event.Detail)
}

func (d *Daemon) editAccepted(revision table.Revision) {
	d.node.Recorder.Record(timeline.TablesAccepted, fmt.Sprintf("revision %d", revision), "")
}

// Close shuts the daemon down gracefully: it continues to serve for the time of the LeaveGrace setting, so that the
// load balancer and the peers notice the shutdown, then refuses new work, waits for in-flight requests and stops the
// servers and the node.
func (d *Daemon) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.VM.DrainTime)
	defer cancel()
	d.node.Leave()
	wait.For(ctx, d.settings.VM.LeaveGrace)
	d.node.Refuse()
	d.callerServer.Close(ctx)
	d.operatorServer.Close(ctx)
	d.node.Close()
	d.peerServer.Close()
	d.workers.Close()
	d.peers.Close()
}

// newMetrics returns the node's metrics. The path /metrics shows them in addition to the metrics of the process.
func newMetrics(n *Node) *metrics.Set {
	set := metrics.NewSet()
	gauge := func(name string, read func() float64) { set.NewGauge(name, read) }
	gauge("auburnstack_requests_running", func() float64 {
		running, _ := n.Dispatcher.InFlight()
		return float64(running)
	})
	gauge("auburnstack_requests_queued", func() float64 {
		_, queued := n.Dispatcher.InFlight()
		return float64(queued)
	})
	gauge("auburnstack_tables_revision", func() float64 { return float64(n.Follower.Current().Revision) })
	gauge("auburnstack_tables_age_seconds", func() float64 { return n.Follower.Age(time.Now()).Seconds() })
	gauge("auburnstack_vms_live", func() float64 { return float64(n.Directory.LiveCount()) })
	gauge("auburnstack_endpoints_listed", func() float64 { return float64(len(n.Directory.Endpoints())) })
	gauge("auburnstack_scheduler_jobs_waiting", func() float64 { return float64(n.Controller.Status().Summary.Waiting) })
	gauge("auburnstack_scheduler_jobs_running", func() float64 { return float64(n.Controller.Status().Summary.Running) })
	gauge("auburnstack_scheduler_accelerators_free", func() float64 { return float64(n.Controller.Status().Summary.Free) })
	gauge("auburnstack_scheduler_blocks_unbound", func() float64 {
		return float64(n.Controller.Status().Summary.UnboundBlocks)
	})
	gauge("auburnstack_scheduler_frozen", func() float64 {
		if n.Controller.Status().Frozen {
			return 1
		}
		return 0
	})
	return set
}
