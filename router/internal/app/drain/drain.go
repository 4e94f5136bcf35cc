// Package drain stops an instance without cutting a request: not ready, notice to the balancer, no new connections,
// open requests finish, the share is given up, done.
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
	// openInterval is how often the open requests are counted.
	openInterval = 100 * time.Millisecond
	// endGrace is how long ended requests have to write their last event before connections are closed.
	endGrace = 5 * time.Second
	// leaveTimeout bounds the attempts to leave the roster. If the platform is down, the roster drops the instance later.
	leaveTimeout = 10 * time.Second
	leaveRetry   = time.Second
)

// Clock gives timers. Tests inject their own.
type Clock interface {
	After(d time.Duration) <-chan time.Time
}

// Announcer makes the instance's heartbeats say that it drains, so that it owns no endpoints any more.
type Announcer interface {
	AnnounceDraining()
}

// HTTPServer is the callers' HTTP server; *http.Server implements it.
type HTTPServer interface {
	// Shutdown stops accepting connections and returns once the open ones are idle.
	Shutdown(ctx context.Context) error
	// Close cuts the connections that are still open.
	Close() error
}

// OpenRequests are the queued and open requests of this instance.
type OpenRequests interface {
	Open() int
	// EndAll ends each request with its last event and outcome partial, or not_run if nothing was sent.
	EndAll()
}

// RosterLeaver is the instance's place in the roster.
type RosterLeaver interface {
	Leave(ctx context.Context) error
}

// Options configures a Machine.
type Options struct {
	// NoticePeriod is how long the listener keeps serving after the instance reports not ready.
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

// Controller is the state machine of one planned stop.
type Controller struct {
	options Options
	phase   atomic.Value
	start   sync.Once
	done    chan struct{}
}

// New returns a machine in phase Serving.
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
	m.start.Do(func() {
		m.enter(PhaseNotice, "")
		m.options.Announcer.AnnounceDraining()
		go m.run()
	})
}

// Phase is the present phase. The instance is ready only in phase Serving.
func (m *Controller) Phase() Phase { return m.phase.Load().(Phase) }

// Done is closed when the process may exit with status 0.
func (m *Controller) Done() <-chan struct{} { return m.done }

// DisableKeepAlives wraps the callers' handler. From the notice on, each answer asks the caller to open a new connection,
// so that few idle connections are left that a caller might write to at the moment they are closed.
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
	m.enter(PhaseFinishing, fmt.Sprintf("%d open requests", m.options.Requests.Open()))
	m.finish()
	m.enter(PhaseLeaving, "")
	detail := m.leave()
	m.enter(PhaseDone, detail)
}

// finish waits for the open requests and ends those that exceed the timeout.
func (m *Controller) finish() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		_ = m.options.Server.Shutdown(ctx) // fails only if the context ends
	}()
	if m.waitIdle(idle, m.options.FinishTimeout) {
		return
	}
	m.record(PhaseFinishing, fmt.Sprintf("drain timeout; ending %d open requests", m.options.Requests.Open()))
	m.options.Requests.EndAll()
	if !m.waitIdle(idle, endGrace) {
		_ = m.options.Server.Close() // nothing is left to do for the connections
	}
}

// waitIdle waits until the listener is idle and no request is open.
func (m *Controller) waitIdle(idle <-chan struct{}, limit time.Duration) bool {
	timeout := m.options.Clock.After(limit)
	for {
		select {
		case <-idle:
			if m.options.Requests.Open() == 0 {
				return true
			}
			idle = nil // only the requests are still to be counted
		case <-m.options.Clock.After(openInterval):
			if idle == nil && m.options.Requests.Open() == 0 {
				return true
			}
		case <-timeout:
			return false
		}
	}
}

// leave gives up the share. No request uses it any more.
func (m *Controller) leave() string {
	timeout := m.options.Clock.After(leaveTimeout)
	for {
		err := m.leaveOnce()
		if err == nil {
			return "left the roster"
		}
		select {
		case <-m.options.Clock.After(leaveRetry):
		case <-timeout:
			return "still in the roster, which drops the instance later: " + err.Error()
		}
	}
}

func (m *Controller) leaveOnce() error {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	return m.options.Roster.Leave(ctx)
}

func (m *Controller) enter(p Phase, detail string) {
	m.phase.Store(p)
	m.record(p, detail)
}

func (m *Controller) record(p Phase, detail string) {
	text := "drain: " + string(p)
	if detail != "" {
		text += ", " + detail
	}
	m.options.Events.Record(event.Event{Kind: event.ProcessStopping, Detail: text})
}

type systemClock struct{}

func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
