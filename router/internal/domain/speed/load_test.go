package speed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/speed"
)

// tick is the step of the simulated clock.
const tick = time.Millisecond

// job is a request at a simulated endpoint. It needs work on a machine of usual speed.
type job struct {
	instance, tokens     int
	left                 float64
	queued               int64
	arrived, sent, dueIn time.Duration
}

// machine is a simulated endpoint that works on one request at a time.
type machine struct {
	ep        routing.Endpoint
	factor    float64
	jobs      []*job
	slow      bool
	changesAt time.Duration
}

// simulation plays requests of several instances at the endpoints of one service.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	machines  []*machine
	trackers  []*speed.Tracker
	period    time.Duration
	local     [][]int // requests by instance and machine
	reported  [][]int // local as last reported
	viewed    [][]int // requests of the others by instance, as it last learnt them
	onTime    int
	completed int
}

func newSimulation(instances int, factors []float64, slots int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(uint64(instances), 7)), now: time.Second, period: min(max(150*time.Millisecond, time.Duration(instances)*6*time.Millisecond), time.Second)}
	for i, f := range factors {
		s.machines = append(s.machines, &machine{ep: routing.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Domain: fmt.Sprint(i % 3), Slots: slots, StartedMS: 1}, factor: f})
	}
	for range instances {
		s.trackers = append(s.trackers, speed.New(func(string) bool { return true }))
		s.local, s.reported, s.viewed = append(s.local, make([]int, len(factors))), append(s.reported, make([]int, len(factors))), append(s.viewed, make([]int, len(factors)))
	}
	return s
}

// exchange has each instance report once in a period to the first one, or to all in a small fleet, and read a view of it.
func (s *simulation) exchange() {
	n := len(s.trackers)
	for i := range n {
		if (s.now/tick+time.Duration(i)*s.period/tick/time.Duration(n))%(s.period/tick) != 0 {
			continue
		}
		copy(s.reported[i], s.local[i])
		report := s.trackers[i].LocalReport(s.now)
		name := fmt.Sprint(i)
		for j := range n {
			if j != i && (n <= 10 || j == 0) {
				s.trackers[j].ApplyReport(name, report, s.now)
			}
		}
		if n > 10 && i > 0 {
			s.trackers[i].ApplyReport("", s.trackers[0].ReportExcluding(name, s.now), s.now)
		}
		for j := range n {
			if j == i || n <= 10 {
				s.view(j)
			}
		}
	}
}

func (s *simulation) view(instance int) {
	for m := range s.machines {
		sum := 0
		for i := range s.reported {
			if i != instance {
				sum += s.reported[i][m]
			}
		}
		s.viewed[instance][m] = sum
	}
}

// spells has each machine be 2.5 times slower for 600 ms at a time, and for 15% of the time.
func (s *simulation) spells() {
	const spell, slowness, share = 600 * time.Millisecond, 2.5, 0.15
	for _, m := range s.machines {
		if s.now < m.changesAt {
			continue
		}
		m.slow, m.factor = !m.slow, 1
		if m.slow {
			m.factor, m.changesAt = slowness, s.now+spell
		} else {
			m.changesAt = s.now + time.Duration(s.random.ExpFloat64()*float64(spell)*(1-share)/share)
		}
	}
}

// work advances the machines by a tick.
func (s *simulation) work(done func(m *machine, j *job)) {
	for i, m := range s.machines {
		budget := tick.Seconds() / m.factor
		for budget > 0 && len(m.jobs) > 0 {
			j := m.jobs[0]
			used := min(budget, j.left)
			j.left, budget = j.left-used, budget-used
			if j.left > 1e-12 {
				break
			}
			m.jobs = m.jobs[1:]
			s.local[j.instance][i]--
			s.completed++
			if s.now-j.arrived <= j.dueIn {
				s.onTime++
			}
			done(m, j)
		}
	}
}

// run plays requests at a rate per second, and returns the share that was on time.
func (s *simulation) run(length time.Duration, rate float64, spells bool, send func(instance int) (*job, int), done func(*machine, *job)) float64 {
	end := s.now + length
	next := s.now
	for s.now < end {
		s.now += tick
		if spells {
			s.spells()
		}
		for ; next < s.now; next += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)) {
			j, to := send(s.random.IntN(len(s.trackers)))
			j.arrived, j.sent = s.now, s.now
			s.machines[to].jobs = append(s.machines[to].jobs, j)
			s.local[j.instance][to]++
		}
		s.work(done)
		s.exchange()
	}
	return float64(s.onTime) / float64(s.completed)
}

// plainShare plays plain requests of 15 ms at three endpoints of 6 slots and returns the share that was answered within 120 ms.
func plainShare(instances int, rate float64, useSpeed bool) float64 {
	const work, dueIn = 15 * time.Millisecond, 120 * time.Millisecond
	s := newSimulation(instances, []float64{1, 1, 1}, 6)
	kind := speed.Work{Service: "s", Route: "r", Step: speed.Plain}
	send := func(instance int) (*job, int) {
		j := &job{instance: instance, left: work.Seconds(), dueIn: dueIn}
		best, bestLoad := -1, 0.0
		var options []speed.Option
		for i, m := range s.machines {
			o := speed.Option{Endpoint: m.ep, Local: s.local[instance][i], Peers: s.viewed[instance][i], Penalty: s.random.Float64() * 0.02}
			if instance%3 != i {
				o.Penalty += 0.1
			}
			options = append(options, o)
			if load := float64(o.Local+o.Peers+1)/6 + o.Penalty; best < 0 || load < bestLoad {
				best, bestLoad = i, load
			}
		}
		if !useSpeed {
			return j, best
		}
		age := s.period
		if instances <= 10 {
			age /= 2
		}
		return j, s.trackers[instance].SelectSoonest(options, kind, age, s.random.Float64, s.now)
	}
	return s.run(120*time.Second, rate, true, send, func(m *machine, j *job) {
		t := s.trackers[j.instance]
		load := routing.Load{Running: min(len(m.jobs), 6), Waiting: max(0, len(m.jobs)-6), Slots: 6, SpeedPercent: 100 * m.factor}
		t.RecordLoad(m.ep, load, s.local[j.instance][slices.Index(s.machines, m)], s.now)
		t.Record(m.ep, kind, 1, s.now-j.sent, s.now)
	})
}

// prefillShare plays prompts at 72 engines, of which a third is slow, and returns the share that was prefilled within 350 ms.
func prefillShare(instances int, useSpeed bool) float64 {
	const perToken, dueIn, rate = 40 * time.Microsecond, 350 * time.Millisecond, 430
	var factors []float64
	for i := range 72 {
		factors = append(factors, []float64{0.7, 0.7, 1.7}[i%3])
	}
	s := newSimulation(instances, factors, 4)
	kind := speed.Work{Service: "s", Step: speed.Prefill}
	send := func(instance int) (*job, int) {
		tokens := 1000 + s.random.IntN(5000)
		order := s.random.Perm(len(s.machines))
		candidates := make([]engines.Candidate, len(order))
		for i, m := range order {
			load := inflight.Load{Requests: len(s.machines[m].jobs)}
			for _, j := range s.machines[m].jobs {
				if s.now-j.sent > 2*tick { // the requests of others are reported at once, but take some time
					load.Tokens += int64(j.tokens)
				}
			}
			candidates[i] = engines.Candidate{Endpoint: s.machines[m].ep, Load: load}
			if useSpeed {
				candidates[i].SpeedFactor = s.trackers[instance].Factor(s.machines[m].ep, s.now)
			}
		}
		best := engines.SelectPrefill(candidates, int64(tokens), fmt.Sprint(instance%3))
		return &job{instance: instance, tokens: tokens, left: perToken.Seconds() * float64(tokens), queued: candidates[best].Load.Tokens, dueIn: dueIn}, order[best]
	}
	return s.run(20*time.Second, rate, false, send, func(m *machine, j *job) {
		s.trackers[j.instance].Record(m.ep, kind, j.queued+int64(j.tokens), s.now-j.sent, s.now)
	})
}

// Guards against plain requests that are late because they are sent to an endpoint that is slow at the moment, or because many instances
// choose by the same old counts.
func TestPlainRequestsOnTime(t *testing.T) {
	for _, c := range []struct {
		instances int
		rate      float64
		least     float64
	}{{8, 55, 0.99}, {8, 138, 0.93}, {73, 55, 0.985}, {73, 138, 0.75}} {
		before, now := plainShare(c.instances, c.rate, false), plainShare(c.instances, c.rate, true)
		t.Logf("%d instances, %.0f/s: %.1f%% on time by counts, %.1f%% by speed", c.instances, c.rate, 100*before, 100*now)
		if now < before || now < c.least {
			t.Errorf("%d instances, %.0f/s: %.1f%% on time, and %.1f%% by counts", c.instances, c.rate, 100*now, 100*before)
		}
	}
}

// Guards against prompts that are late because slow engines get as many as fast ones.
func TestPrefillsOnTime(t *testing.T) {
	for _, instances := range []int{8, 73} {
		before, now := prefillShare(instances, false), prefillShare(instances, true)
		t.Logf("%d instances: %.1f%% on time by tokens, %.1f%% by speed", instances, 100*before, 100*now)
		if now < before || now < 0.96 {
			t.Errorf("%d instances: %.1f%% on time, and %.1f%% by tokens", instances, 100*now, 100*before)
		}
	}
}
