package pace_test

import (
	"fmt"
	"testing"
	"time"

	"tanagerwood.dev/router/internal/domain/pace"
)

// seeds is the number of plays over which a share is averaged.
const seeds = 3

// meanShare returns the mean share of the answers on time over some plays.
func meanShare(play func(seed uint64) float64) (mean float64) {
	for seed := range uint64(seeds) {
		mean += play(seed) / seeds
	}
	return mean
}

// Guards against plain requests that are late because they are sent to an endpoint that is slow at the moment, or because many instances
// choose by the same old counts.
func TestPlainRequestsOnTime(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      float64
		// herds is set if the choice by counts sends most requests to one endpoint at a time, since the counts are older than the
		// requests. The choice by speed must then reach at least half of what perfect knowledge adds to it.
		herds bool
	}{{8, 55, false}, {8, 138, false}, {73, 55, false}, {73, 138, true}} {
		share := func(by choice) float64 {
			return meanShare(func(seed uint64) float64 {
				s := newSimulation(c.instances, 3, 6, seed, false)
				s.rate = c.rate
				return s.run(40*time.Second, s.spells, s.plain(by, 15*time.Millisecond, 120*time.Millisecond), s.recordPlain(true))
			})
		}
		before, now, best := share(byCounts), share(bySpeed), share(byKnowledge)
		t.Logf("%d instances, %.0f/s: on time %.1f%% by counts, %.1f%% by speed, %.1f%% with perfect knowledge", c.instances, c.rate, 100*before, 100*now, 100*best)
		if now < before || c.herds && now < (before+best)/2 {
			t.Errorf("%d instances, %.0f/s: %.2f%% on time by speed; %.2f%% by counts, %.2f%% with perfect knowledge", c.instances, c.rate, 100*now, 100*before, 100*best)
		}
	}
}

// scenario plays endpoints that come while 12 of them, of 4 slots and 20 ms per request, get requests that are due in 120 ms. They can answer
// 2,400 requests per second and get usualRate.
type scenario struct {
	name string
	// count is the number of endpoints that stop at each of the stops, for the given time.
	count int
	stops []time.Duration
	down  time.Duration
	// factor is that of these endpoints when they are warm, and cold how long they are cold.
	factor float64
	cold   time.Duration
	// burst is the number of requests per second in the second after they have come.
	burst float64
	// restarts is set if they come as new starts.
	restarts bool
}

const (
	endpoints, usualRate = 12, 1300.0
	coldTime             = 400 * time.Millisecond
)

var scenarios = []scenario{
	{"release of a third in a burst", endpoints / 3, []time.Duration{tick}, 2 * time.Second, 1, coldTime, 1.4 * usualRate, false},
	{"flapping", 1, []time.Duration{1000 * tick, 2500 * tick, 4000 * tick, 5500 * tick, 7000 * tick}, 700 * time.Millisecond, 1, coldTime, usualRate, false},
	{"crash of a quarter", endpoints / 4, []time.Duration{time.Second}, 1500 * time.Millisecond, 1, coldTime, usualRate, true},
	{"an endpoint twice as slow", 1, []time.Duration{tick}, 2 * time.Second, 2, 0, usualRate, false},
}

// play plays a scenario until ten seconds after the endpoints have come.
func (c scenario) play(instances int, seed uint64, paced bool) *simulation {
	s := newSimulation(instances, endpoints, 4, seed, paced)
	for i, m := range s.machines {
		m.parallel, m.queueLimit = m.ep.Slots, 3*m.ep.Slots
		if i < c.count {
			m.factor, m.cold = c.factor, c.cold
		}
	}
	begin := s.now
	change := func() {
		s.rate = usualRate
		for _, stop := range c.stops {
			since := s.now - begin - stop
			if since > c.down && since < c.down+time.Second {
				s.rate = c.burst
			}
			for _, m := range s.machines[:c.count] {
				if since == 0 {
					s.stop(m)
				}
				if since == c.down {
					s.start(m, c.restarts)
				}
			}
		}
	}
	s.run(c.stops[len(c.stops)-1]+c.down+newcomerTime, change, s.plain(bySpeed, 20*time.Millisecond, 120*time.Millisecond), s.recordPlain(false))
	return s
}

// differenceByChance is the number of requests of which one may get another answer by chance, if limits do not matter.
const differenceByChance = 1000

// Guards against endpoints that are flooded when they come, and against ones that are left idle after that.
func TestComingEndpoints(t *testing.T) {
	for _, c := range scenarios {
		for _, instances := range []int{8, 300} {
			name := fmt.Sprintf("%s, %d instances", c.name, instances)
			without, with := c.play(instances, 1, false), c.play(instances, 1, true)
			t.Logf("%s: %+v of %+v without, %+v of %+v with; %d and %d at first; full use within %v", name, without.newcomers, without.all, with.newcomers, with.all,
				without.mostAtFirst, with.mostAtFirst, with.slowestFullUse)
			if with.newcomers.bad() > without.newcomers.bad() || with.all.bad() > without.all.bad()+without.all.answered/differenceByChance {
				t.Errorf("%s: late, refused or failed: %+v of %+v, and %+v of %+v without limits", name, with.newcomers, with.all, without.newcomers, without.all)
			}
			if sound := c.factor == 1 && len(c.stops) == 1; sound && with.newcomers.answered < without.newcomers.answered/2 {
				t.Errorf("%s: sound endpoints answered %d requests, and %d without limits", name, with.newcomers.answered, without.newcomers.answered)
			}
			if with.slowestFullUse == 0 || with.slowestFullUse > pace.MaxUnderuse+observeInterval {
				t.Errorf("%s: full use after %v", name, with.slowestFullUse)
			}
			if with.mostAtFirst > aFew {
				t.Errorf("%s: %d requests in flight in the first %v", name, with.mostAtFirst, firstTime)
			}
		}
	}
}
