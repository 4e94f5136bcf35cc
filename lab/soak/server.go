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

// The services of a run, and how their servers behave. A stream takes 600 ms, so that faults hit open streams.
const (
	counterService = "counter"
	otherService   = "other"
	modelService   = "model"

	streamEvents     = 12
	eventInterval    = 50 * time.Millisecond
	plainServiceTime = 60 * time.Millisecond
	plainSlots       = 12
	modelSlots       = 6
	lease            = time.Second
	switchTime       = time.Second
	// entryTTL is how long the entry of a crashed server stays in the store.
	entryTTL = 1500 * time.Millisecond
)

// machine is a place at which a server runs. A new server starts there after the previous one has crashed or left.
type machine struct {
	name, service, stage, domain string
	// run distinguishes the servers of a run from those of others on the same computer, which reuse the ports of crashed servers.
	run    string
	store  *standin.Store
	poison *poisonPart
	deadly *deadlyRequest

	mu      sync.Mutex
	current *serverBoot
	boots   []*serverBoot
}

// serverBoot is one start of a server.
type serverBoot struct {
	server  *standin.Server
	service string
	// stage is the stage that the server announces.
	stage  string
	domain string
	http   *http.Server
	path   *Proxy
	// leaving is when the store acknowledged that the server is leaving; zero if the server did not announce it.
	leaving time.Time
	// announcedAt is when the server began to say so in its answers; zero if it did not.
	announcedAt time.Time
	// unlisted is set if the server leaves without an entry in the store.
	unlisted bool
	// stoppedAt is when the server crashed or exited.
	stoppedAt time.Time
}

func (m *machine) entry(b *serverBoot, leaving bool) standin.ServerEntry {
	return standin.ServerEntry{
		ID: b.server.ID, Service: m.service, Address: b.path.Address(), Domain: m.domain, Stage: b.stage, Slots: b.server.Slots, Leaving: leaving,
	}
}

// start starts a new server and registers it in the store.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	server := standin.NewServer(fmt.Sprint(m.name, "-", len(m.boots)+1, "-", m.run), m.stage)
	server.Events, server.EventInterval, server.ServiceTime, server.Lease = streamEvents, eventInterval, plainServiceTime, lease
	server.Slots = plainSlots
	if m.stage != "" {
		server.Slots = modelSlots
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	path, err := NewProxy(l.Addr().String())
	if err != nil {
		return errors.Join(err, l.Close())
	}
	b := &serverBoot{server: server, service: m.service, stage: m.stage, domain: m.domain, http: &http.Server{Handler: server}, path: path}
	m.current, m.boots = b, append(m.boots, b)
	server.CrashOn(crashesServers, func(header http.Header) {
		if standin.IsDeadly(header) {
			m.deadly.crash(m, b)
			return
		}
		m.poison.crash(m, b)
	})
	server.SwitchTime = switchTime
	server.OnStageChange = func(stage string) { m.stageChanged(b, stage) }
	m.store.PutServer(m.entry(b, false))
	go b.http.Serve(l) //nolint:errcheck // ends when the server is closed
	return nil
}

// stageChanged registers the new stage of a server, unless it has crashed or is leaving.
func (m *machine) stageChanged(b *serverBoot, stage string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == b {
		b.stage = stage
		m.store.PutServer(m.entry(b, false))
	}
}

// rewrite registers the running servers again, because the store may have lost their entries, and removes those of stopped
// ones.
func (m *machine) rewrite() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, b := range m.boots {
		switch {
		case b.stoppedAt.IsZero() && !b.unlisted:
			m.store.PutServer(m.entry(b, b != m.current))
		default:
			m.store.RemoveServer(b.server.ID)
		}
	}
}

// currentServer returns the current server, or nil while none is running.
func (m *machine) currentServer() *serverBoot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.current
}

// claim hands the current server over to the caller, which then stops it, so that two faults do not stop the same one.
func (m *machine) claim() *serverBoot {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := m.current
	m.current = nil
	return b
}

// claimIf is like claim, but only if the given server is the current one.
func (m *machine) claimIf(b *serverBoot) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != b {
		return false
	}
	m.current = nil
	return true
}

func (m *machine) end(b *serverBoot) error {
	m.mu.Lock()
	b.stoppedAt = time.Now()
	m.mu.Unlock()
	return errors.Join(b.path.Close(), b.http.Close())
}

// crash stops the server without notice; another one starts after the pause.
func (m *machine) crash(pause time.Duration) error {
	b := m.claim()
	if b == nil {
		return nil
	}
	err := m.end(b)
	time.AfterFunc(entryTTL, func() { m.store.RemoveServer(b.server.ID) })
	time.Sleep(pause)
	return errors.Join(err, m.start())
}

// departure is how a server announces that it leaves.
type departure struct {
	// unlisted has its entry removed at once, in place of an announcement in the store.
	unlisted bool
	// silent leaves the announcement out of its answers.
	silent bool
}

// release replaces the server: a new one starts, and the old one announces that it is leaving and continues for the drain time
// and the pause.
func (m *machine) release(drain, pause time.Duration, how departure) error {
	b := m.claim()
	if b == nil {
		return nil
	}
	err := m.start()
	var announced time.Time
	if !how.silent {
		announced = time.Now()
		b.server.AnnounceShutdown()
	}
	if how.unlisted {
		m.store.RemoveServer(b.server.ID)
	} else {
		m.store.PutServer(m.entry(b, true))
	}
	m.mu.Lock()
	b.unlisted, b.announcedAt, b.leaving = how.unlisted, announced, time.Now()
	m.mu.Unlock()
	time.Sleep(drain + pause)
	m.store.RemoveServer(b.server.ID)
	return errors.Join(err, m.end(b))
}

// misbehaviors are the variants of ServerMisbehavior.
var misbehaviors = []standin.Fault{
	standin.DroppedResponses, standin.ServerErrors, standin.ExtraResponses, standin.TruncatedResponses, standin.Refusals, standin.CloseDelimitedResponses,
	standin.UnfinishedEvents, standin.EmptyStreams, standin.RepeatedRefusals,
}

const (
	// misbehaviorShare is the share of requests to which a faulty server applies the fault.
	misbehaviorShare = 0.5
	// slowPath is the delay of a slow network path, each way.
	slowPath = 60 * time.Millisecond
)

func injectFault(b *serverBoot, variant int, pause time.Duration) {
	b.server.InjectFault(misbehaviors[variant%len(misbehaviors)], misbehaviorShare, rand.Float64)
	time.Sleep(pause)
	b.server.Intercept(nil)
}

// limitPatterns are the variants of ServerLimit: the requests per second that a server announces in steps of equal length. Zero
// announces no limit.
var limitPatterns = [][]float64{{5}, {2, 10}, {10, 2}, {0.5}, {4, 0, 4}, {9, 6, 3}}

// limitLength is the least time for which limits are announced. It exceeds the time until a limit is binding and the window in
// which it is checked.
const limitLength = 8 * time.Second

func announceLimits(b *serverBoot, variant int, length time.Duration) {
	pattern := limitPatterns[variant%len(limitPatterns)]
	for _, perSecond := range pattern {
		if perSecond == 0 {
			b.server.EndLimit()
		} else {
			b.server.AnnounceLimit(perSecond)
		}
		time.Sleep(length / time.Duration(len(pattern)))
	}
	b.server.EndLimit()
}

// partition returns a silent network partition: both ways, or one way.
func partition(variant int) Impairment {
	return Impairment{HoldToTarget: variant%3 != 1, HoldFromTarget: variant%3 != 2}
}
