// Package drain stops an instance without interrupting requests. The instance reports not ready, waits until the balancer has
// noticed, accepts no new connections, lets open requests finish, and gives up its share by leaving the roster.
package drain

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/port"
)

// Phase is a step of a planned stop.
type Phase string

// Phases, in their order.
const (
	PhaseServing   Phase = "serving"
	PhaseNotice    Phase = "notice"
	PhaseFinishing Phase = "finishing"
	PhaseLeaving   Phase = "leaving"
	PhaseDone      Phase = "done"
)

const (
	// openCheckInterval is the time between two checks for open requests.
	openCheckInterval = 100 * time.Millisecond
	// lastEventGrace is how long ended requests have to write their last event before their connections are closed.
	lastEventGrace = 5 * time.Second
	// leaveTimeout bounds the attempts to leave the roster. If the platform is down, the roster drops the instance later.
	leaveTimeout       = 10 * time.Second
	leaveRetryInterval = time.Second
	// waitDivisor gives the time for which requests may stay queued as a fraction of the finish timeout. The rest is for their answers.
	waitDivisor = 2
)

// Clock provides timers. Tests inject their own.
type Clock interface {
	After(d time.Duration) <-chan time.Time
}

// Announcer marks the instance as draining in its heartbeats, so that it owns no endpoints any more.
type Announcer interface {
	AnnounceDraining()
}

// HTTPServer is the callers' HTTP server; *http.Server implements it.
type HTTPServer interface {
	// Shutdown stops accepting connections and returns once the open ones are idle.
	Shutdown(ctx context.Context) error
	// Close closes the connections that are still open.
	Close() error
}

// OpenRequests gives access to the queued and open requests of this instance.
type OpenRequests interface {
	Open() int
	// EndWaits refuses the queued requests, which no endpoint has received, and ends the reads of bodies.
	EndWaits()
	// EndAll ends each request with its last event and outcome partial, or not_run if nothing was sent.
	EndAll()
}

// RosterLeaver removes the instance from the roster.
type RosterLeaver interface {
	Leave(ctx context.Context) error
}

// Options configures a Controller.
type Options struct {
	// NoticePeriod is how long the server keeps accepting connections after the instance reports not ready.
	NoticePeriod time.Duration
	// FinishTimeout is how long queued and open requests may take to finish.
	FinishTimeout time.Duration
	Clock         Clock
	Announcer     Announcer
	Server        HTTPServer
	Requests      OpenRequests
	Roster        RosterLeaver
	Events        port.EventLog
}

// Controller runs the phases of one planned stop.
type Controller struct {
	options   Options
	phase     atomic.Value
	startOnce sync.Once
	done      chan struct{}
}

// New returns a controller in phase PhaseServing.
func New(o Options) *Controller {
	if o.Clock == nil {
		o.Clock = systemClock{}
	}
	m := &Controller{options: o, done: make(chan struct{})}
	m.phase.Store(PhaseServing)
	return m
}

// Start begins the stop in the background. Further calls have no effect.
func (m *Controller) Start() {
	m.startOnce.Do(func() {
		m.enterPhase(PhaseNotice, "")
		m.options.Announcer.AnnounceDraining()
		go m.run()
	})
}

// Phase returns the current phase. The instance is ready only in PhaseServing.
func (m *Controller) Phase() Phase { return m.phase.Load().(Phase) }

// Done is closed when the process may exit with status 0.
func (m *Controller) Done() <-chan struct{} { return m.done }

// DisableKeepAlives wraps the callers' handler. From PhaseNotice on, each response asks the caller to open a new connection, so
// that few idle connections are left to which a caller might write just as they are closed.
func (m *Controller) DisableKeepAlives(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.Phase() != PhaseServing {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (m *Controller) run() {
	defer close(m.done)
	<-m.options.Clock.After(m.options.NoticePeriod)
	m.enterPhase(PhaseFinishing, fmt.Sprintf("%d open requests", m.options.Requests.Open()))
	m.finishRequests()
	m.enterPhase(PhaseLeaving, "")
	detail := m.leaveRoster()
	m.enterPhase(PhaseDone, detail)
}

// finishRequests waits for the open requests and ends those that exceed the timeout.
func (m *Controller) finishRequests() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		_ = m.options.Server.Shutdown(ctx) // fails only if the context ends
	}()
	waits := m.options.FinishTimeout / waitDivisor
	if m.waitIdle(idle, waits) {
		return
	}
	m.options.Requests.EndWaits()
	if m.waitIdle(idle, m.options.FinishTimeout-waits) {
		return
	}
	m.recordPhase(PhaseFinishing, fmt.Sprintf("drain timeout; ending %d open requests", m.options.Requests.Open()))
	m.options.Requests.EndAll()
	if !m.waitIdle(idle, lastEventGrace) {
		_ = m.options.Server.Close() // the connections are given up in any case
	}
}

// waitIdle waits until all connections are idle and no request is open. It returns false after the limit.
func (m *Controller) waitIdle(idle <-chan struct{}, limit time.Duration) bool {
	timeout := m.options.Clock.After(limit)
	for {
		select {
		case <-idle:
			if m.options.Requests.Open() == 0 {
				return true
			}
			idle = nil // from now on only open requests are checked
		case <-m.options.Clock.After(openCheckInterval):
			if idle == nil && m.options.Requests.Open() == 0 {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// leaveRoster leaves the roster and so gives up the instance's share, which no request uses any more.
func (m *Controller) leaveRoster() string {
	timeout := m.options.Clock.After(leaveTimeout)
	for {
		err := m.tryLeaveRoster()
		if err == nil {
			return "left the roster"
		}
		select {
		case <-m.options.Clock.After(leaveRetryInterval):
		case <-timeout:
			return "still in the roster, which drops the instance later: " + err.Error()
		}
	}
}

func (m *Controller) tryLeaveRoster() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return m.options.Roster.Leave(ctx)
}

func (m *Controller) enterPhase(p Phase, detail string) {
	m.phase.Store(p)
	m.recordPhase(p, detail)
}

func (m *Controller) recordPhase(p Phase, detail string) {
	text := "drain: " + string(p)
	if detail != "" {
		text += ", " + detail
	}
	m.options.Events.Record(event.Event{Kind: event.ProcessStopping, Detail: text})
}

type systemClock struct{}

func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
