package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// The servers of a run, and how they serve. A stream takes 600 ms, so that faults meet open streams.
const (
	counterService = "counter"
	otherService   = "other"
	modelService   = "model"

	streamEvents = 12
	eventPause   = 50 * time.Millisecond
	plainWork    = 60 * time.Millisecond
	plainSlots   = 12
	engineSlots  = 6
	lease        = time.Second
	switchTime   = time.Second
	// lapse is how long the entry of a crashed server stays in the store.
	lapse = 1500 * time.Millisecond
)

// machine is a place at which a server runs. A new server starts there when the old one has crashed or left.
type machine struct {
	name, service, stage, domain string
	store                        *standin.Store

	mu      sync.Mutex
	current *serverBoot
	boots   []*serverBoot
}

// serverBoot is one start of a server.
type serverBoot struct {
	server  *standin.Server
	service string
	// stage is what the server says of itself.
	stage string
	http  *http.Server
	path  *Proxy
	// leaving is when the store acknowledged that the server is leaving; zero if it did not say so.
	leaving time.Time
	// gone is when it crashed or exited.
	gone time.Time
}

func (m *machine) entry(b *serverBoot, leaving bool) standin.ServerEntry {
	return standin.ServerEntry{
		ID: b.server.ID, Service: m.service, Address: b.path.Address(), Domain: m.domain, Stage: b.stage, Slots: b.server.Slots, Leaving: leaving,
	}
}

// start starts a new server and enters it in the store.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := standin.NewServer(fmt.Sprint(m.name, "-", len(m.boots)+1), m.stage)
	server.Events, server.EventInterval, server.ServiceTime, server.Lease = streamEvents, eventPause, plainWork, lease
	server.Slots = plainSlots
	if m.stage != "" {
		server.Slots = engineSlots
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	path, err := NewProxy(l.Addr().String())
	if err != nil {
		return errors.Join(err, l.Close())
	}
	b := &serverBoot{server: server, service: m.service, stage: m.stage, http: &http.Server{Handler: server}, path: path}
	m.current, m.boots = b, append(m.boots, b)
	server.SwitchTime = switchTime
	server.OnStageChange = func(stage string) { m.switched(b, stage) }
	m.store.PutServer(m.entry(b, false))
	go b.http.Serve(l) //nolint:errcheck // ends when the server is closed
	return nil
}

// switched enters the new stage of a server, unless it has crashed or is leaving.
func (m *machine) switched(b *serverBoot, stage string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == b {
		b.stage = stage
		m.store.PutServer(m.entry(b, false))
	}
}

// rewrite enters the servers that run as they are, which the store may have lost, and removes those that are gone.
func (m *machine) rewrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.boots {
		switch {
		case b.gone.IsZero():
			m.store.PutServer(m.entry(b, b != m.current))
		default:
			m.store.RemoveServer(b.server.ID)
		}
	}
}

// now returns the current server, or nil while none runs.
func (m *machine) now() *serverBoot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// take makes the current server the caller's to end, so that two faults do not end the same one.
func (m *machine) take() *serverBoot {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.current
	m.current = nil
	return b
}

func (m *machine) end(b *serverBoot) error {
	m.mu.Lock()
	b.gone = time.Now()
	m.mu.Unlock()
	return errors.Join(b.path.Close(), b.http.Close())
}

// crash ends the server without notice; another one starts after the pause.
func (m *machine) crash(pause time.Duration) error {
	b := m.take()
	if b == nil {
		return nil
	}
	err := m.end(b)
	time.AfterFunc(lapse, func() { m.store.RemoveServer(b.server.ID) })
	time.Sleep(pause)
	return errors.Join(err, m.start())
}

// release replaces the server: a new one starts, the old one says that it is leaving and goes on for the drain time and
// the pause.
func (m *machine) release(drain, pause time.Duration) error {
	b := m.take()
	if b == nil {
		return nil
	}
	err := m.start()
	b.server.AnnounceShutdown()
	m.store.PutServer(m.entry(b, true))
	m.mu.Lock()
	b.leaving = time.Now()
	m.mu.Unlock()
	time.Sleep(drain + pause)
	m.store.RemoveServer(b.server.ID)
	return errors.Join(err, m.end(b))
}

// misbehaviors are the forms of Misbehave.
var misbehaviors = []standin.Fault{standin.DroppedResponses, standin.ServerErrors, standin.ExtraResponses, standin.TruncatedResponses, standin.Refusals}

const (
	// misbehaviorShare is the share of requests that a disturbed server treats badly.
	misbehaviorShare = 0.5
	// slowPath is the delay of a slow path, each way.
	slowPath = 60 * time.Millisecond
)

func disturb(b *serverBoot, variant int, pause time.Duration) {
	b.server.InjectFault(misbehaviors[variant%len(misbehaviors)], misbehaviorShare, rand.Float64)
	time.Sleep(pause)
	b.server.Intercept(nil)
}

// hold returns the silent forms of a cut: both ways, or one way.
func hold(variant int) Impairment {
	return Impairment{HoldToTarget: variant%3 != 1, HoldFromTarget: variant%3 != 2}
}
