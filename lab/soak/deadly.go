package soak

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

const (
	// deadlyPartID is the part of prompts that crashes engines.
	deadlyPartID = "dead"
	// deadlyShare is the share of the plans with such a part, and minDeadlyRequests and maxDeadlyRequests bound the share of the
	// streams that have it.
	deadlyPlanShare                      = 0.4
	minDeadlyRequests, maxDeadlyRequests = 0.03, 0.2
	// deadlyPause is how long a crashed engine is away.
	deadlyPause = time.Second
	// minSoundStreams is the number of streams from which their share of success is judged.
	minSoundStreams = 20
)

// deadlyActions draws whether and when a part of prompts becomes deadly. It is drawn apart from the other faults, which are the same
// with and without it.
func deadlyActions(seed uint64, length time.Duration) []Action {
	random := rand.New(rand.NewPCG(seed, 3))
	if random.Float64() >= deadlyPlanShare {
		return nil
	}
	at := warmUp + time.Duration(random.Float64()*float64(length-warmUp)/2)
	return []Action{{At: at, Fault: DeadlyPart, Duration: length - at, Variant: random.IntN(1 << 16)}}
}

// deadlyPart is a part of prompts that crashes each decode engine that begins to answer one, while it is in play.
type deadlyPart struct {
	faults *timeline

	mu sync.Mutex
	// share is the share of the streams that have the part; zero while it is not in play.
	share   float64
	crashes []time.Time
	stopped bool
	// restarts counts the engines that are about to start again.
	restarts sync.WaitGroup
}

// play has callers send prompts with the part for the time of the action.
func (d *deadlyPart) play(a Action) {
	d.setShare(minDeadlyRequests + float64(a.Variant)/(1<<16)*(maxDeadlyRequests-minDeadlyRequests))
	time.Sleep(a.Duration)
	d.setShare(0)
}

func (d *deadlyPart) setShare(share float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.share = share
}

// promptParts returns the parts of the prompt of a stream, and whether the deadly one is among them. Prompts share their first part and
// one of a few others, whether they have the deadly part or not.
func (d *deadlyPart) promptParts(id string) (parts []string, deadly bool) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash takes all
	n := h.Sum64()
	d.mu.Lock()
	deadly = float64(n%1000)/1000 < d.share
	d.mu.Unlock()
	parts = []string{"sys:200", fmt.Sprintf("doc%d:50", n/1000%5)}
	if deadly {
		parts = append(parts, deadlyPartID+":70")
	}
	return append(parts, id+":50"), deadly
}

// crash ends the server, which another one replaces after deadlyPause. A server that is leaving is not replaced and does not crash.
func (d *deadlyPart) crash(m *machine, b *serverBoot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped || !m.claimIf(b) {
		return
	}
	d.crashes = append(d.crashes, time.Now())
	end := d.faults.begin(deadlyScope, false)
	_ = m.end(b) // a server that is ended while it writes cannot report more than that
	d.restarts.Go(func() {
		time.Sleep(deadlyPause)
		m.store.RemoveServer(b.server.ID)
		_ = m.start() // without it the run has one engine less
		end()
	})
}

// stop waits until all crashed engines have started again.
func (d *deadlyPart) stop() {
	d.mu.Lock()
	d.stopped = true
	d.mu.Unlock()
	d.restarts.Wait()
}

// deadlyObservations holds the crashes by the deadly part, and the requests with it that reached servers.
type deadlyObservations struct {
	crashes  []time.Time
	arrivals []standin.Arrival
}

func (d *deadlyPart) observations() deadlyObservations {
	d.mu.Lock()
	defer d.mu.Unlock()
	return deadlyObservations{crashes: d.crashes}
}

// checkDeadlyRequests checks that instances without a fault send no more requests with the deadly part than the bound once it is known.
func (e *execution) checkDeadlyRequests() {
	if len(e.deadly.crashes) < e.bounds.LearningCrashes {
		return
	}
	known := e.deadly.crashes[e.bounds.LearningCrashes-1].Add(e.bounds.LearningTime)
	sentBy := map[string]string{}
	for _, s := range e.sent {
		sentBy[s.id] = s.instance
	}
	var late []standin.Arrival
	for _, a := range e.deadly.arrivals {
		if a.At.After(known) && e.faults.undisturbed(sentBy[a.ID], e.bounds.Stable, a.At, a.At) {
			late = append(late, a)
		}
	}
	if len(late) > e.bounds.DeadlyRequests {
		slices.SortFunc(late, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		e.add("deadly prompts", late[e.bounds.DeadlyRequests].ID, "%d requests with the part that has crashed %d engines reached servers later than %v after the fifth crash",
			len(late), len(e.deadly.crashes), e.bounds.LearningTime)
	}
}

// checkSoundStreams checks that streams without the deadly part begin about as often as before the first crash.
func (e *execution) checkSoundStreams() {
	crashes := e.deadly.crashes
	if len(crashes) == 0 {
		return
	}
	known := crashes[min(len(crashes), e.bounds.LearningCrashes)-1].Add(e.bounds.SoundTime)
	var before, after struct{ sent, begun float64 }
	for _, s := range e.sent {
		otherFault := func(v interval) bool { return !v.planned && v.scope != deadlyScope }
		if !s.kind.stream() || s.deadly || !s.canceledAt.IsZero() || e.faults.overlaps(s.began.Add(-e.bounds.Stable), s.done, otherFault) {
			continue
		}
		c := &before
		if s.began.After(known) {
			c = &after
		} else if s.began.After(crashes[0]) {
			continue
		}
		c.sent++
		if s.response.Status == http.StatusOK {
			c.begun++
		}
	}
	if before.sent >= minSoundStreams && after.sent >= minSoundStreams && after.begun/after.sent < e.bounds.SoundShare*before.begun/before.sent {
		e.add("sound prompts", "", "%.0f of %.0f streams without the deadly part began after it was known, %.0f of %.0f before", after.begun, after.sent, before.begun, before.sent)
	}
}
