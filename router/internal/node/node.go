// Package node wires up and runs a router instance that reads its configuration and endpoints from the platform's store.
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

	"tanagerwood.dev/api/deadpeer"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/platform"
	"tanagerwood.dev/router/internal/adapter/clientlimit"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/adapter/peerudp"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/gossip"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/domain/speed"
	"tanagerwood.dev/router/internal/settings"
)

const (
	// deadConnectionTimeout is the time after which unresponsive connections to callers, endpoints, the store and peers are closed.
	deadConnectionTimeout = 2 * time.Second
	// endpointDialTimeout limits connection setup to an endpoint, which normally takes a few milliseconds.
	endpointDialTimeout = 400 * time.Millisecond
	// maxIdleConnections is the maximum number of idle connections kept per endpoint.
	maxIdleConnections = 12
	// idleCheckInterval is the interval at which idle connections are checked.
	idleCheckInterval = time.Second
	// headerTimeout, idleTimeout and maxHeaderBytes apply to caller connections if the configuration sets no limit.
	headerTimeout  = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 64 << 10
	// heapMemoryFraction is the fraction of the process's memory that is set as the Go runtime's soft memory limit, above which
	// garbage collection runs more often. bodyMemoryFraction is the fraction available to buffered bodies of requests,
	// answerMemoryFraction that to what is buffered of answers of endpoints beyond answerAllowanceBytes for each, and
	// controlMemoryFraction that to answers of the store and of other instances beyond controlAllowanceBytes for each.
	heapMemoryFraction    = 0.7
	bodyMemoryFraction    = 0.25
	answerMemoryFraction  = 0.1
	controlMemoryFraction = 0.1
	// slowCallerMemoryFraction is the fraction of the memory that all requests whose callers have read nothing for slowreader.Grace may
	// hold together.
	slowCallerMemoryFraction = 0.1
	answerAllowanceBytes     = 16 << 10
	controlAllowanceBytes    = 64 << 10
	// maxStopNotice is how long at most a stopping instance still accepts connections. The platform removes an instance after two failed
	// readiness probes, which it sends once per second.
	maxStopNotice = 2500 * time.Millisecond
	// noticeDivisor gives the longest notice as a fraction of the stop grace period. The rest is for the requests taken until then.
	noticeDivisor = 3
	// stopMargin is how long before the end of the stop grace period the requests that are still open are ended. For finalAnswerTimeout
	// of it, their final answers may be written.
	stopMargin         = 300 * time.Millisecond
	finalAnswerTimeout = 150 * time.Millisecond
	drainPollInterval  = 20 * time.Millisecond
)

// Options configures a Node.
type Options struct {
	Settings *settings.Node
	Version  string
	Logger   *log.Logger
	// DroppedLines returns the number of dropped log lines; the metric is omitted if it is nil.
	DroppedLines func() int64
}

// Node is a router instance.
type Node struct {
	options  Options
	injector do.Injector
	// components is set by Run before any component starts.
	components atomic.Pointer[components]
	settings   atomic.Pointer[settings.Node]
	// transport is set by Run before any component starts.
	transport atomic.Pointer[peerudp.Transport]
	// stopStarted is the time since boot at which a planned stop began, or zero.
	stopStarted atomic.Int64
	stopSignals *plannedstop.Signals
	// controlMemory is the budget for answers of the store and of other instances.
	controlMemory *membudget.Budget
	stop          chan struct{}
	stopOnce      sync.Once
}

// New creates a node; Run starts it.
func New(o Options) *Node {
	n := &Node{options: o, stop: make(chan struct{}), stopSignals: plannedstop.New()}
	n.settings.Store(o.Settings)
	n.controlMemory = membudget.New(controlAllowanceBytes, memoryShare(o.Settings, controlMemoryFraction))
	n.injector = n.newInjector()
	return n
}

// Stop starts a planned stop; Run returns once it is complete.
func (n *Node) Stop() {
	n.stopOnce.Do(func() {
		n.stopStarted.Store(int64(clock.System{}.Boot()))
		n.options.Logger.Info().Str("event", "process.stopping").Msg("")
		close(n.stop)
	})
}

// Ready reports whether the instance accepts new connections.
func (n *Node) Ready() bool {
	p := n.components.Load()
	return p != nil && n.stopPhase() == frontend.Serving && p.routingCache.IsComplete() && p.peers.Joined()
}

// stopPhase returns the current phase of a planned stop.
func (n *Node) stopPhase() frontend.StopPhase {
	startedAt := time.Duration(n.stopStarted.Load())
	switch {
	case startedAt == 0:
		return frontend.Serving
	case clock.System{}.Boot()-startedAt < n.stopNotice():
		return frontend.ClosingConnections
	default:
		return frontend.RefusingRequests
	}
}

// stopNotice is how long after the beginning of a planned stop requests are still passed on.
func (n *Node) stopNotice() time.Duration {
	return min(maxStopNotice, (n.settings.Load().StopGrace-stopMargin)/noticeDivisor)
}

// Run serves requests until a planned stop is complete, ctx is canceled or a server fails.
func (n *Node) Run(ctx context.Context) error {
	s := n.options.Settings
	debug.SetMemoryLimit(memoryShare(s, heapMemoryFraction))
	n.options.Logger.Info().Str("event", "process.started").Str("version", n.options.Version).Str("domain", s.Domain).
		Int("memory_mb", s.MemoryMB).Msg("")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, n.stopSignals.Abort)()
	transport, err := peerudp.Listen(ctx, s.PeerListen, deadConnectionTimeout, n.options.Logger)
	if err != nil {
		return err
	}
	transport.SetSecrets(s.PeerSecrets)
	transport.LimitMemory(n.controlMemory)
	if len(s.PeerSecrets) == 0 {
		n.options.Logger.Warn().Str("event", "peers.not_authenticated").Msg("set -peer-secrets, or let only instances reach -peer-listen")
	}
	n.transport.Store(transport)
	do.ProvideValue[gossip.Transport](n.injector, transport)
	p := n.resolveComponents()
	n.components.Store(p)
	failed := make(chan error, 3)
	var servers []*http.Server
	limits := n.newClientLimits(s)
	transport.LimitClients(limits.sideOptions("peers", peerConnectionDivisor, peerLimits))
	for _, l := range n.listeners(limits) {
		server, err := n.serve(ctx, l, failed)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	go transport.Serve(p.peers.HandleMessage, p.peers.State, p.peers.StateSince)
	n.startLoops(ctx, p)
	select {
	case <-ctx.Done():
	case err = <-failed:
	case <-n.stop:
		n.drain(ctx, servers[0])
		p.peers.Leave()
		n.endRequests(ctx, servers[0])
	}
	for _, server := range servers {
		err = errors.Join(err, server.Close())
	}
	n.options.Logger.Info().Str("event", "process.stopped").Msg("")
	return errors.Join(err, transport.Close())
}

// drain waits until the platform no longer sends connections and callers have got the answers of all open requests, or until stopMargin
// before the end of the stop grace period. In between it ends the waits of requests that no endpoint has.
func (n *Node) drain(ctx context.Context, callers *http.Server) {
	handler, connections := n.components.Load().handler, n.components.Load().callers
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		elapsed := clock.System{}.Boot() - time.Duration(n.stopStarted.Load())
		if n.stopPhase() == frontend.RefusingRequests {
			n.stopSignals.EndWaits()
			callers.SetKeepAlivesEnabled(false) // closes idle connections
		}
		answered := handler.OpenRequests() == 0 && connections.Unread() == 0
		if elapsed > n.settings.Load().StopGrace-stopMargin || elapsed > n.stopNotice() && answered {
			n.options.Logger.Info().Str("event", "process.drained").Int("open", handler.OpenRequests()).Int("unread", connections.Unread()).
				Dur("took", elapsed).Msg("")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endRequests ends the requests that are still open and waits until their final answers are written. A response that was passed on in part
// is aborted.
func (n *Node) endRequests(ctx context.Context, callers *http.Server) {
	n.stopSignals.EndRequests()
	ctx, cancel := context.WithTimeout(ctx, finalAnswerTimeout)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.options.Logger.Warn().Str("event", "process.requests_cut").Int("open", n.components.Load().handler.OpenRequests()).Err(err).Msg("")
	}
}

// memoryShare returns a fraction of the instance's memory, in bytes.
func memoryShare(s *settings.Node, fraction float64) int64 {
	return int64(fraction * float64(s.MemoryMB) * (1 << 20))
}

func (n *Node) startLoops(ctx context.Context, p *components) {
	for name, loop := range map[string]func(context.Context){
		"mirror": p.routingCache.Run, "peers": p.peers.Run, "dispatcher": p.dispatcher.Run, "rebalancer": p.rebalancer.Run, "settings": n.watchSettings,
		"quarantine": p.crashStore.Run,
		"pace": func(ctx context.Context) {
			background.RunEvery(ctx, paceInterval, func(context.Context) { p.observeEndpoints() })
		},
		"connections": func(ctx context.Context) {
			background.RunEvery(ctx, idleCheckInterval, func(context.Context) {
				p.endpoints.CloseIdle()
				p.pruneEndpoints()
			})
		},
	} {
		go background.Supervise(ctx, n.options.Logger, name, loop)
	}
}

// pruneEndpoints discards the tracked state of endpoints that the platform no longer lists.
func (p *components) pruneEndpoints() {
	listed := p.routingCache.Endpoints().ByID
	known := func(id string) bool {
		_, ok := listed[id]
		return ok
	}
	p.availability.Prune(func(id string) (routing.Endpoint, bool) {
		ep, known := listed[id]
		return ep, known
	}, clock.System{}.Boot())
	p.cold.Prune(known)
	p.limits.Prune()
	p.quarantine.Prune(clock.System{}.Boot())
	p.health.RetainListed(len(listed), known)
	p.dispatcher.PruneEndpoints(known)
	listedStart := func(start speed.Start) bool {
		ep, ok := listed[start.ID]
		return ok && ep.StartedMS == start.StartedMS
	}
	p.speeds.Prune(listedStart, clock.System{}.Boot())
	p.paces.Prune(listedStart)
}

type listener struct {
	address  string
	handler  http.Handler
	clients  clientlimit.Options
	detector *deadpeer.Detector
}

func (n *Node) listeners(limits clientLimits) []listener {
	s := n.options.Settings
	side := deadpeer.New(deadpeer.Options{Silence: deadConnectionTimeout, MaxPause: frontend.DefaultWriteTimeout})
	out := []listener{
		{s.CallerListen, n.components.Load().handler, limits.callerOptions(), n.components.Load().callers},
		{s.ReadyListen, http.HandlerFunc(n.serveReadiness), limits.sideOptions("readiness", sideConnectionDivisor, sideLimits), side},
	}
	if s.MetricsListen != "" {
		out = append(out, listener{s.MetricsListen, http.HandlerFunc(n.serveMetrics), limits.sideOptions("metrics", sideConnectionDivisor, sideLimits), side})
	}
	return out
}

func (n *Node) serve(ctx context.Context, l listener, failed chan<- error) (*http.Server, error) {
	tcp, err := l.detector.Listen(ctx, "tcp", l.address)
	if err != nil {
		return nil, fmt.Errorf("cannot listen: %w; choose a free address", err)
	}
	server := &http.Server{
		Handler: l.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		BaseContext: func(net.Listener) context.Context { return n.stopSignals.Requests() },
	}
	limited := clientlimit.Listen(tcp, l.clients)
	limited.Configure(server)
	go func() {
		if err := server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
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
	if _, err := operators.WriteMetrics(w, n.components.Load().metrics); err != nil {
		n.options.Logger.Warn().Str("event", "metrics.not_sent").Err(err).Msg("")
	}
}
