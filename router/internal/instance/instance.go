// Package instance assembles one router process: it connects the decisions, the request paths and the background loops
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

// Limits of connections.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
)

// finishTimeout bounds the work that a stopping instance still does without callers. Endpoints' owners take over the
// cancels that remain.
const finishTimeout = 15 * time.Second

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
	options  Options
	injector do.Injector
	loops    sync.WaitGroup
	stop     context.CancelFunc
}

// New assembles an instance. Nothing runs before Run.
func New(o Options) *Instance {
	return &Instance{options: o, injector: newInjector(o)}
}

// Drain begins a planned stop; Run returns when it is complete.
func (i *Instance) Drain() { do.MustInvoke[*drain.Controller](i.injector).Start() }

// Run serves until a planned stop is complete or ctx ends. The end of ctx cuts open requests, as the death of the
// process would.
func (i *Instance) Run(ctx context.Context, l Listeners) error {
	loopContext, stop := context.WithCancel(ctx)
	i.stop = stop
	defer i.close()
	events := do.MustInvoke[*statelog.Recorder](i.injector)
	events.Record(event.Event{Kind: event.ProcessStarted, Detail: i.options.Version})
	failed := make(chan error, 3)
	// Peers and operators are answered before the first configuration is there: other instances may start at the same
	// time and need this one's answers.
	i.serve(failed, do.MustInvoke[*peerServer](i.injector).Server, l.Peers)
	i.serve(failed, do.MustInvoke[*operatorServer](i.injector).Server, l.Operators)
	i.startLoops(loopContext)
	i.serve(failed, do.MustInvoke[*callerServer](i.injector).Server, l.Callers)
	select {
	case <-ctx.Done():
		return nil
	case <-do.MustInvoke[*drain.Controller](i.injector).Done():
		events.Record(event.Event{Kind: event.ProcessStopping})
		return i.finish(ctx)
	case err := <-failed:
		return err
	}
}

// finish waits for the work that goes on without callers: claims to complete and cancels to be acknowledged. Then it gives
// up the order leases, so that the next holders need not wait for them to lapse.
func (i *Instance) finish(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	err := do.MustInvoke[*openRequests](i.injector).Wait(ctx)
	err = errors.Join(err, do.MustInvoke[*cleanup.Canceller](i.injector).WaitIdle(ctx))
	do.MustInvoke[*orders.Manager](i.injector).Close(ctx)
	return err
}

func (i *Instance) serve(failed chan<- error, server *http.Server, l net.Listener) {
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

// startLoops reads the configuration once and starts the background loops.
func (i *Instance) startLoops(ctx context.Context) {
	sync := do.MustInvoke[*configsync.Syncer](i.injector)
	sync.Subscribe(i.warnOfShortDrain)
	sync.LoadInitial(ctx)
	do.MustInvoke[*membership.Service](i.injector).Start(ctx)
	i.loop(func() { sync.Run(ctx) })
	i.loop(func() { i.followRevisions(ctx) })
	i.loop(func() { do.MustInvoke[*endpointload.Poller](i.injector).Run(ctx) })
	i.loop(func() { do.MustInvoke[*reservations.Service](i.injector).Run(ctx) })
	i.loop(func() { do.MustInvoke[*servicepath.Forwarder](i.injector).Run(ctx) })
	i.loop(func() { do.MustInvoke[*cleanup.Reaper](i.injector).Run(ctx) })
	i.loop(func() { do.MustInvoke[*orders.Reconciler](i.injector).Run(ctx) })
}

func (i *Instance) warnOfShortDrain(s *config.Snapshot) {
	if warning := i.options.Settings.DrainWarning(s.Catalogue); warning != "" {
		i.options.Logger.Warn().Msg(warning)
	}
}

// followRevisions tells the configuration loop of newer revisions that heartbeats have shown.
func (i *Instance) followRevisions(ctx context.Context) {
	members, sync := do.MustInvoke[*membership.Service](i.injector), do.MustInvoke[*configsync.Syncer](i.injector)
	background.RunEvery(ctx, membership.HeartbeatInterval, func(context.Context) {
		if revision, address := members.NewestPeerRevision(); revision > sync.Current().Revision {
			sync.NotifyPeerRevision(address, revision)
		}
	})
}

func (i *Instance) loop(run func()) {
	i.loops.Add(1)
	go func() {
		defer i.loops.Done()
		run()
	}()
}

// close ends the loops before the connections that they use.
func (i *Instance) close() {
	i.stop()
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
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
}
