// Package instance assembles one router process: it connects the domain logic, the request paths and the background loops
// with their adapters, and runs them until the process is asked to stop.
package instance

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/do/v2"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/adapter/clientlimit"
	"tanagerwood.dev/router/internal/adapter/peerhttp"
	"tanagerwood.dev/router/internal/adapter/servicehttp"
	"tanagerwood.dev/router/internal/adapter/statelog"
	"tanagerwood.dev/router/internal/app/background"
	"tanagerwood.dev/router/internal/app/cleanup"
	"tanagerwood.dev/router/internal/app/configsync"
	"tanagerwood.dev/router/internal/app/drain"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/app/orders"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/settings"
)

// Limits of HTTP server connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// backgroundWorkTimeout bounds the work without callers that a stopping instance completes. The owners of the endpoints
// take over the remaining cancels.
const backgroundWorkTimeout = 15 * time.Second

// Options configures an Instance.
type Options struct {
	Settings *settings.Settings
	// Version is the version of the program.
	Version string
	Logger  *log.Logger
}

// Listeners are the open ports of an instance.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Listen opens the ports of the settings.
func Listen(s *settings.Settings) (Listeners, error) {
	var l Listeners
	var err error
	for _, port := range []struct {
		listener *net.Listener
		address  string
	}{{&l.Callers, s.CallerListen}, {&l.Peers, s.PeerListen}, {&l.Operators, s.OperatorListen}} {
		if *port.listener, err = net.Listen("tcp", port.address); err != nil {
			l.Close()
			return Listeners{}, err
		}
	}
	return l, nil
}

// Close closes the ports.
func (l Listeners) Close() {
	for _, listener := range []net.Listener{l.Callers, l.Peers, l.Operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// Instance is one router process.
type Instance struct {
	opts      Options
	injector  do.Injector
	loops     sync.WaitGroup
	stopLoops context.CancelFunc
}

// New assembles an instance. Nothing runs before Run.
func New(o Options) *Instance {
	return &Instance{opts: o, injector: newInjector(o)}
}

// Drain starts a planned stop; Run returns when the stop is complete.
func (i *Instance) Drain() { do.MustInvoke[*drain.Controller](i.injector).Start() }

// Run serves until a planned stop is complete, a server fails or ctx ends. The end of ctx aborts open requests, as a crash
// of the process would.
func (i *Instance) Run(ctx context.Context, l Listeners) error {
	limitHeap(i.opts.Settings.MemoryMB)
	loopCtx, stopLoops := context.WithCancel(ctx)
	i.stopLoops = stopLoops
	defer i.close()
	events := do.MustInvoke[*statelog.Recorder](i.injector)
	events.Record(event.Event{Kind: event.ProcessStarted, Detail: i.opts.Version})
	failed := make(chan error, 3)
	// The peer and operator ports are served before the first configuration is loaded: other instances may start at the
	// same time and need the replies of this one.
	clients := newClientLimits(i.injector, i.opts)
	i.serve(failed, do.MustInvoke[*peerServer](i.injector).Server, clients.listen("peers", peerConnectionDivisor, l.Peers))
	i.serve(failed, do.MustInvoke[*operatorServer](i.injector).Server, clients.listen("operators", operatorConnectionDivisor, l.Operators))
	i.startLoops(loopCtx)
	i.serve(failed, do.MustInvoke[*callerServer](i.injector).Server, clients.listen("callers", 1, l.Callers))
	select {
	case <-ctx.Done():
		return nil
	case <-do.MustInvoke[*drain.Controller](i.injector).Done():
		events.Record(event.Event{Kind: event.ProcessStopping})
		return i.finishBackgroundWork(ctx)
	case err := <-failed:
		return err
	}
}

// finishBackgroundWork waits for the work that continues without callers: claims to complete and cancels to be
// acknowledged. Then it releases the order leases, so that the next holders need not wait for them to expire.
func (i *Instance) finishBackgroundWork(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, backgroundWorkTimeout)
	defer cancel()
	err := do.MustInvoke[*openRequests](i.injector).Wait(ctx)
	err = errors.Join(err, do.MustInvoke[*cleanup.Canceller](i.injector).WaitIdle(ctx))
	do.MustInvoke[*orders.Manager](i.injector).Close(ctx)
	return err
}

func (i *Instance) serve(failed chan<- error, server *http.Server, l *clientlimit.Listener) {
	l.Configure(server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

// startLoops loads the configuration once and starts the background loops.
func (i *Instance) startLoops(ctx context.Context) {
	syncer := do.MustInvoke[*configsync.Syncer](i.injector)
	syncer.Subscribe(i.warnAboutDrainTimeout)
	syncer.LoadInitial(ctx)
	do.MustInvoke[*membership.Service](i.injector).Start(ctx)
	i.startLoop(func() { syncer.Run(ctx) })
	i.startLoop(func() { i.watchPeerRevisions(ctx) })
	i.startLoop(func() { do.MustInvoke[*endpointload.Poller](i.injector).Run(ctx) })
	i.startLoop(func() { do.MustInvoke[*reservations.Service](i.injector).Run(ctx) })
	i.startLoop(func() { do.MustInvoke[*servicepath.Forwarder](i.injector).Run(ctx) })
	i.startLoop(func() { do.MustInvoke[*cleanup.Reaper](i.injector).Run(ctx) })
	i.startLoop(func() { do.MustInvoke[*orders.Reconciler](i.injector).Run(ctx) })
}

func (i *Instance) warnAboutDrainTimeout(s *config.Snapshot) {
	if warning := i.opts.Settings.DrainWarning(s.Catalogue); warning != "" {
		i.opts.Logger.Warn().Msg(warning)
	}
}

// watchPeerRevisions notifies the configuration loop of newer revisions that peers report in heartbeats.
func (i *Instance) watchPeerRevisions(ctx context.Context) {
	members, syncer := do.MustInvoke[*membership.Service](i.injector), do.MustInvoke[*configsync.Syncer](i.injector)
	background.RunEvery(ctx, membership.HeartbeatInterval, func(context.Context) {
		if revision, address := members.NewestPeerRevision(); revision > syncer.Current().Revision {
			syncer.NotifyPeerRevision(address, revision)
		}
	})
}

func (i *Instance) startLoop(run func()) {
	i.loops.Add(1)
	go func() {
		defer i.loops.Done()
		run()
	}()
}

// close stops the loops before it closes the connections that they use.
func (i *Instance) close() {
	i.stopLoops()
	_ = do.MustInvoke[*callerServer](i.injector).Close()
	do.MustInvoke[*membership.Service](i.injector).Stop()
	do.MustInvoke[*quotasync.Admission](i.injector).Stop()
	do.MustInvoke[*cleanup.Canceller](i.injector).Close()
	i.loops.Wait()
	_ = do.MustInvoke[*peerServer](i.injector).Close()
	_ = do.MustInvoke[*operatorServer](i.injector).Close()
	do.MustInvoke[*peerhttp.Client](i.injector).Close()
	do.MustInvoke[*servicehttp.Client](i.injector).Close()
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}
