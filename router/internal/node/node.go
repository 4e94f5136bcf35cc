// Package node assembles an instance whose configuration and endpoints are in the platform's store, and runs it until it is
// asked to stop.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/do/v2"

	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/platform"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/adapter/peerudp"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/settings"
)

const (
	// silence is after how long connections to callers, endpoints, the store and peers that are dead are given up.
	silence = 2 * time.Second
	// endpointDial bounds the establishment of a connection to an endpoint, which takes a few milliseconds.
	endpointDial = 400 * time.Millisecond
	// maxIdle is the number of idle connections that are kept to an endpoint.
	maxIdle = 12
	// idleCheck is how often idle connections are checked.
	idleCheck = time.Second
	// headerTimeout and idleTimeout bound callers; both exceed what configurations allow.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
	// maxHeader bounds the headers of callers.
	maxHeader = 64 << 10
	// heapPart is the part of the process's memory that the Go runtime may use before it collects more often, and bodyPart
	// the part that bodies may take.
	heapPart = 0.7
	bodyPart = 0.25
	// notice is how long a stopping instance goes on taking connections: the platform needs two misses, one a second.
	notice = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace a stop cuts what is still open.
	stopMargin = 300 * time.Millisecond
	stopPoll   = 20 * time.Millisecond
)

// Options configure a Node.
type Options struct {
	Settings *settings.Node
	Version  string
	Logger   *log.Logger
	// DroppedLines is the number of log lines that were dropped.
	DroppedLines func() int64
}

// Node is one router process.
type Node struct {
	options  Options
	injector do.Injector
	// parts is set before anything runs.
	parts    atomic.Pointer[parts]
	settings atomic.Pointer[settings.Node]
	// transport is set before anything runs.
	transport atomic.Pointer[peerudp.Transport]
	// stopBegan is the time since boot at which a planned stop began; zero if there is none.
	stopBegan atomic.Int64
	stop      chan struct{}
	stopOnce  sync.Once
}

// New assembles a node. Nothing runs before Run.
func New(o Options) *Node {
	n := &Node{options: o, stop: make(chan struct{})}
	n.settings.Store(o.Settings)
	n.injector = n.newInjector()
	return n
}

// Stop begins a planned stop; Run returns when it is complete.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		n.stopBegan.Store(int64(clock.System{}.Boot()))
		n.options.Logger.Info().Str("event", "process.stopping").Msg("")
		close(n.stop)
	})
}

// Ready reports whether the instance takes new connections.
func (n *Node) Ready() bool {
	p := n.parts.Load()
	return p != nil && n.phase() == frontend.Serving && p.mirror.Table() != nil && p.peers.Joined()
}

// phase tells how far a planned stop is.
func (n *Node) phase() frontend.StopPhase {
	began := time.Duration(n.stopBegan.Load())
	switch {
	case began == 0:
		return frontend.Serving
	case clock.System{}.Boot()-began < notice:
		return frontend.ClosingConnections
	default:
		return frontend.RefusingRequests
	}
}

// Run serves until a planned stop is complete or ctx ends.
func (n *Node) Run(ctx context.Context) error {
	s := n.options.Settings
	debug.SetMemoryLimit(memoryLimit(s))
	n.options.Logger.Info().Str("event", "process.started").Str("version", n.options.Version).Str("domain", s.Domain).
		Int("memory_mb", s.MemoryMB).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	transport, err := peerudp.Listen(ctx, s.PeerListen, silence, n.options.Logger)
	if err != nil {
		return err
	}
	transport.SetSecrets(s.PeerSecrets)
	if len(s.PeerSecrets) == 0 {
		n.options.Logger.Warn().Str("event", "peers.not_authenticated").Msg("set -peer-secrets, or let only instances reach -peer-listen")
	}
	n.transport.Store(transport)
	do.ProvideValue[gossip.Transport](n.injector, transport)
	p := n.resolve()
	n.parts.Store(p)
	failed := make(chan error, 3)
	var servers []*http.Server
	for _, l := range n.listeners() {
		server, err := n.serve(ctx, l, failed)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	go transport.Serve(p.peers.HandleMessage, p.peers.State)
	n.startLoops(ctx, p)
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-n.stop:
		n.drain(ctx, servers[0])
		p.peers.Leave()
	}
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	n.options.Logger.Info().Str("event", "process.stopped").Msg("")
	return errors.Join(err, transport.Close())
}

// drain waits until the platform sends nothing more and all requests are answered, or the grace is nearly over.
func (n *Node) drain(ctx context.Context, callers *http.Server) {
	handler := n.parts.Load().handler
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for {
		since := clock.System{}.Boot() - time.Duration(n.stopBegan.Load())
		if n.phase() == frontend.RefusingRequests {
			callers.SetKeepAlivesEnabled(false) // closes idle connections
		}
		if since > n.settings.Load().StopGrace-stopMargin || since > notice && handler.OpenRequests() == 0 {
			n.options.Logger.Info().Str("event", "process.drained").Int("cut", handler.OpenRequests()).Dur("took", since).Msg("")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func memoryLimit(s *settings.Node) int64 { return int64(heapPart * float64(s.MemoryMB) * (1 << 20)) }

func (n *Node) startLoops(ctx context.Context, p *parts) {
	for name, loop := range map[string]func(context.Context){
		"mirror": p.mirror.Run, "peers": p.peers.Run, "dispatcher": p.dispatcher.Run, "rebalancer": p.rebalancer.Run, "settings": n.watchSettings,
		"connections": func(ctx context.Context) {
			background.RunEvery(ctx, idleCheck, func(context.Context) {
				p.endpoints.CloseIdle()
				p.forgetEndpoints()
			})
		},
	} {
		go background.Supervise(ctx, n.options.Logger, name, loop)
	}
}

// forgetEndpoints drops what is known of endpoints that are gone.
func (p *parts) forgetEndpoints() {
	listed := p.mirror.Endpoints().ByID
	p.available.Prune(func(id string) (routing.Endpoint, bool) {
		ep, known := listed[id]
		return ep, known
	}, clock.System{}.Boot())
	known := func(id string) bool {
		_, ok := listed[id]
		return ok
	}
	p.health.RetainListed(len(listed), known)
	p.dispatcher.PruneEndpoints(known)
}

type listener struct {
	address string
	handler http.Handler
}

func (n *Node) listeners() []listener {
	s := n.options.Settings
	out := []listener{
		{s.CallerListen, n.parts.Load().handler},
		{s.ReadyListen, http.HandlerFunc(n.serveReadiness)},
	}
	if s.MetricsListen != "" {
		out = append(out, listener{s.MetricsListen, http.HandlerFunc(n.serveMetrics)})
	}
	return out
}

func (n *Node) serve(ctx context.Context, l listener, failed chan<- error) (*http.Server, error) {
	config := h1.ListenConfig(silence)
	tcp, err := config.Listen(ctx, "tcp", l.address)
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w; choose a free address", err)
	}
	server := &http.Server{
		Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		BaseContext: func(net.Listener) context.Context { return ctx },
	}
	go func() {
		if err := server.Serve(tcp); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return server, nil
}

func (n *Node) serveReadiness(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadinessPath:
		w.WriteHeader(http.StatusNotFound)
	case !n.Ready():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if _, err := operators.WriteMetrics(w, n.parts.Load().metrics); err != nil {
		n.options.Logger.Warn().Str("event", "metrics.not_sent").Err(err).Msg("")
	}
}
