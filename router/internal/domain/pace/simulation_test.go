package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/pace"
	"tanagerwood.dev/router/internal/domain/speed"
)

const (
	// tick is the step of the simulated clock.
	tick = time.Millisecond
	// newcomerTime is the time for which an endpoint that has come counts as a newcomer.
	newcomerTime = 10 * time.Second
	// firstTime is the time in which the answer to the first request to an endpoint that has come is not known yet.
	firstTime = 20 * time.Millisecond
	// observeInterval is the interval at which instances observe the endpoints.
	observeInterval = 200 * time.Millisecond
	// maxSends is the number of endpoints to which a request is sent.
	maxSends = 3
)

// job is a request at a simulated endpoint. It needs work on a machine of usual speed.
type job struct {
	instance, tokens     int
	tried                []int // machines
	left                 float64
	arrived, sent, dueIn time.Duration
}

// machine is a simulated endpoint that works on some requests at a time and refuses those beyond queueLimit.
type machine struct {
	ep                   routing.Endpoint
	factor               float64
	parallel, queueLimit int
	jobs                 []*job
	slow, down           bool
	changesAt, cameAt    time.Duration
	// cold is the time for which it takes coldFactor times as long after it has come.
	cold time.Duration
}

const coldFactor = 4

// remaining is the time in which the machine is done with its requests.
func (m *machine) remaining() (sum float64) {
	for _, j := range m.jobs {
		sum += j.left * m.factor
	}
	return sum
}

// outcome counts what callers get. A request is refused if all endpoints to which it was sent refuse it; at newcomers, each refusal counts.
type outcome struct{ answered, late, refused, failed int }

func (o outcome) bad() int { return o.late + o.refused + o.failed }

// simulation plays requests of several instances at the endpoints of one service.
type simulation struct {
	// random is used by choices, and load by requests and machines, so that these are the same for each choice.
	random, load *rand.Rand
	now          time.Duration
	machines     []*machine
	trackers     []*speed.Tracker
	paces        []*pace.Limiter // empty if endpoints are not paced
	period       time.Duration
	// rate is the number of requests per second.
	rate     float64
	local    [][]int // requests by instance and machine
	reported [][]int // local as last reported
	viewed   [][]int // requests of the others by instance, as it last learnt them
	all      outcome
	// newcomers counts requests at endpoints that have come less than newcomerTime before.
	newcomers outcome
	// slowestFullUse is the longest time from the arrival of an endpoint to its full use at an instance.
	slowestFullUse time.Duration
	// mostAtFirst is the greatest number of requests in flight at an endpoint within firstTime after it has come.
	mostAtFirst int
}

func newSimulation(instances, machines, slots int, seed uint64, paced bool) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(uint64(instances), seed)), load: rand.New(rand.NewPCG(seed, uint64(instances))), now: time.Second, period: min(max(150*time.Millisecond, time.Duration(instances)*6*time.Millisecond), time.Second)}
	for i := range machines {
		ep := routing.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Domain: fmt.Sprint(i % 3), Slots: slots, StartedMS: 1}
		s.machines = append(s.machines, &machine{ep: ep, factor: 1, parallel: 1, queueLimit: 1 << 20, cameAt: -newcomerTime})
	}
	for i := range instances {
		s.trackers = append(s.trackers, speed.New(func(string) bool { return true }))
		s.local, s.reported, s.viewed = append(s.local, make([]int, machines)), append(s.reported, make([]int, machines)), append(s.viewed, make([]int, machines))
		if paced {
			s.paces = append(s.paces, pace.New(pace.Deps{Self: fmt.Sprint("r", i), InstanceCount: func() int { return instances }, Speeds: s.trackers[i], OnEvent: func(e pace.Event) {
				s.slowestFullUse = max(s.slowestFullUse, e.After)
			}}))
		}
	}
	return s
}

// exchange has each instance report once in a period to the first one, or to all in a small fleet, and read a view of it. Each also observes
// the endpoints.
func (s *simulation) exchange() {
	n := len(s.trackers)
	due := func(i int, interval time.Duration) bool {
		return (s.now/tick+time.Duration(i)*interval/tick/time.Duration(n))%(interval/tick) == 0
	}
	for i := range n {
		if len(s.paces) > 0 && due(i, observeInterval) {
			s.paces[i].Observe("s", s.usable(), s.now)
		}
		if !due(i, s.period) {
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

func (s *simulation) usable() (out []routing.Endpoint) {
	for _, m := range s.machines {
		if !m.down {
			out = append(out, m.ep)
		}
	}
	return out
}

func (s *simulation) view(instance int) {
	for m := range s.machines {
		s.viewed[instance][m] = -s.reported[instance][m]
		for i := range s.reported {
			s.viewed[instance][m] += s.reported[i][m]
		}
	}
}

// stop takes a machine out of use; its requests fail. start has it come back.
func (s *simulation) stop(m *machine) {
	for _, j := range m.jobs {
		s.end(m, j, func(o *outcome) { o.failed++ })
	}
	m.jobs, m.down = nil, true
}

func (s *simulation) start(m *machine, restarted bool) {
	m.down, m.cameAt = false, s.now
	if restarted {
		m.ep.StartedMS++
	}
}

// end ends a request at a machine.
func (s *simulation) end(m *machine, j *job, count func(*outcome)) {
	s.local[j.instance][slices.Index(s.machines, m)]--
	count(&s.all)
	if s.now-m.cameAt < newcomerTime {
		count(&s.newcomers)
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
			m.changesAt = s.now + time.Duration(s.load.ExpFloat64()*float64(spell)*(1-share)/share)
		}
	}
}

// work advances the machines by a tick.
func (s *simulation) work(done func(m *machine, j *job)) {
	for _, m := range s.machines {
		budget := float64(m.parallel) * tick.Seconds() / m.factor
		if s.now-m.cameAt < m.cold {
			budget /= coldFactor
		}
		each := budget / float64(m.parallel)
		for k := 0; budget > 1e-12 && k < len(m.jobs); {
			j := m.jobs[k]
			used := min(budget, j.left)
			if m.parallel > 1 {
				used = min(each, j.left)
			}
			j.left, budget = j.left-used, budget-used
			if j.left > 1e-12 {
				k++
				continue
			}
			m.jobs = slices.Delete(m.jobs, k, k+1)
			s.end(m, j, func(o *outcome) {
				o.answered++
				if s.now-j.arrived > j.dueIn {
					o.late++
				}
			})
			done(m, j)
		}
	}
}

// run plays requests, and calls change at each tick. It returns the share of the answers that was on time.
func (s *simulation) run(length time.Duration, change func(), choose func(*job) int, done func(*machine, *job)) float64 {
	end, next := s.now+length, s.now
	for s.now < end {
		s.now += tick
		change()
		for ; next < s.now; next += time.Duration(s.load.ExpFloat64() / s.rate * float64(time.Second)) {
			s.send(&job{instance: s.load.IntN(len(s.trackers)), tokens: 1000 + s.load.IntN(5000), arrived: s.now}, choose)
		}
		s.work(done)
		s.exchange()
	}
	return 1 - float64(s.all.late)/float64(s.all.answered)
}

// send sends a request to the chosen endpoint, and to another one if that refuses it.
func (s *simulation) send(j *job, choose func(*job) int) {
	for len(j.tried) < maxSends {
		to := choose(j)
		m := s.machines[to]
		j.sent, j.tried = s.now, append(j.tried, to)
		s.local[j.instance][to]++
		if len(m.jobs) < m.queueLimit {
			m.jobs = append(m.jobs, j)
			if s.now-m.cameAt < firstTime {
				s.mostAtFirst = max(s.mostAtFirst, len(m.jobs))
			}
			return
		}
		s.local[j.instance][to]--
		if s.now-m.cameAt < newcomerTime {
			s.newcomers.refused++
		}
		if len(s.paces) > 0 {
			s.paces[j.instance].RecordRefusal(m.ep, s.now)
		}
	}
	s.all.refused++
}

var kind = speed.Work{Service: "s", Route: "r", Step: speed.Plain}

// choice is a way to choose the endpoint of a plain request.
type choice int

const (
	byCounts choice = iota
	bySpeed
	// byKnowledge chooses the endpoint that is done first, with perfect knowledge.
	byKnowledge
)

// plain returns the choice of an endpoint for a plain request that needs some work.
func (s *simulation) plain(by choice, work, dueIn time.Duration) func(*job) int {
	age := s.period
	if len(s.trackers) <= 10 {
		age /= 2
	}
	return func(j *job) int {
		j.left, j.dueIn = work.Seconds(), dueIn
		var options []speed.Option
		var limits []pace.Option
		var index []int
		best, bestCost := -1, 0.0
		for i, m := range s.machines {
			if m.down || slices.Contains(j.tried, i) {
				continue
			}
			o := speed.Option{Endpoint: m.ep, Local: s.local[j.instance][i], Peers: s.viewed[j.instance][i], Penalty: s.random.Float64() * 0.02}
			if j.instance%3 != i%3 {
				o.Penalty += 0.1
			}
			cost := float64(o.Local+o.Peers+1)/float64(m.ep.Slots) + o.Penalty
			if by == byKnowledge {
				cost = m.remaining() + work.Seconds()*m.factor
			}
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
			options, index = append(options, o), append(index, i)
			limits = append(limits, pace.Option{Endpoint: m.ep, Load: pace.Load{Local: o.Local, Total: o.Local + o.Peers}})
		}
		if by != bySpeed {
			return best
		}
		t := s.trackers[j.instance]
		if len(s.paces) > 0 {
			allowed := s.paces[j.instance].Allowed(limits, t.Usual(kind), s.now)
			for i := len(options) - 1; i >= 0; i-- {
				if !allowed[i] {
					options, index = slices.Delete(options, i, i+1), slices.Delete(index, i, i+1)
				}
			}
		}
		return index[t.SelectSoonest(options, kind, age, s.random.Float64, s.now)]
	}
}

// recordPlain records the answer to a plain request, with the load that the endpoint states, and its speed if it states that.
func (s *simulation) recordPlain(statesSpeed bool) func(*machine, *job) {
	return func(m *machine, j *job) {
		load := routing.Load{Running: min(len(m.jobs), m.ep.Slots), Waiting: max(0, len(m.jobs)-m.ep.Slots), Slots: m.ep.Slots}
		if statesSpeed {
			load.SpeedPercent = 100 * m.factor
		}
		t := s.trackers[j.instance]
		t.RecordLoad(m.ep, load, s.local[j.instance][slices.Index(s.machines, m)], s.now)
		t.Record(m.ep, kind, 1, s.now-j.sent, s.now)
		if len(s.paces) > 0 {
			s.paces[j.instance].RecordAnswer(m.ep, s.now)
		}
	}
}
