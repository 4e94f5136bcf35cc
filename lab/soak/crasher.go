package soak

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// crashPause is how long a server that a request has crashed is away.
const crashPause = time.Second

// crasher ends the servers that requests crash, and starts others in their place.
type crasher struct {
	faults *timeline

	mu      sync.Mutex
	crashes []time.Time
	stopped bool
	// restarts counts the servers that are about to start again.
	restarts sync.WaitGroup
}

// crashesServers reports whether the headers are those of a request that crashes servers in a run.
func crashesServers(header http.Header) bool {
	return hasPoisonPart(header) || standin.IsDeadly(header)
}

// crash ends the server, which another one replaces after crashPause. A server that is leaving is not replaced and does not crash.
func (c *crasher) crash(m *machine, b *serverBoot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped || !m.claimIf(b) {
		return
	}
	c.crashes = append(c.crashes, time.Now())
	end := c.faults.begin(poisonScope, false)
	_ = m.end(b) // a server that is ended while it writes cannot report more than that
	c.restarts.Go(func() {
		time.Sleep(crashPause)
		m.store.RemoveServer(b.server.ID)
		_ = m.start() // without it the run has one server less
		end()
	})
}

// stop waits until all crashed servers have started again.
func (c *crasher) stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.restarts.Wait()
}

// crashObservations holds the crashes by requests of one sort, and those of them that reached servers.
type crashObservations struct {
	crashes  []time.Time
	arrivals []standin.Arrival
}

func (c *crasher) observations() crashObservations {
	c.mu.Lock()
	defer c.mu.Unlock()
	return crashObservations{crashes: c.crashes}
}

// arrivedLate returns the requests, in order of time, that instances without a fault sent to servers later than LearningTime after the
// crash with the given number.
func (e *execution) arrivedLate(o crashObservations, crash int) (late []standin.Arrival) {
	known := o.crashes[crash-1].Add(e.bounds.LearningTime)
	sentBy := map[string]string{}
	for _, s := range e.sent {
		sentBy[s.id] = s.instance
	}
	for _, a := range o.arrivals {
		if a.At.After(known) && e.faults.undisturbed(sentBy[a.ID], e.bounds.Stable, a.At, a.At) {
			late = append(late, a)
		}
	}
	slices.SortFunc(late, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	return late
}
