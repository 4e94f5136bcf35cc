package stages_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/engines"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/stages"
)

func TestStages(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stages")
}

var capacity = engines.Capacity{Slots: 12, Tokens: 100_000}

// pool returns a pool with the given number of prefill engines, of which some are busy, and of decode engines with the given
// number of requests each.
func pool(prefill, busy, decode, requests int) stages.Pool {
	var p stages.Pool
	for i := range prefill {
		p.Prefill = append(p.Prefill, engine(fmt.Sprint("p", i), i < busy))
	}
	for i := range decode {
		e := engine(fmt.Sprint("d", i), false)
		e.Load.Requests = requests
		p.Decode = append(p.Decode, e)
	}
	return p
}

func engine(id string, busy bool) stages.Engine {
	e := stages.Engine{Endpoint: routing.Endpoint{ID: id, Domain: "z"}, Switchable: true}
	if busy {
		e.Load = inflight.Load{Requests: 1, Tokens: 5000}
	}
	return e
}

// simulate observes the pool five times a second and applies NextSwitches as if engines switched at once. It returns the final
// number of prefill engines.
func simulate(p *stages.Planner, from, seconds float64, prefillDemand, decodeDemand float64, prefillEngines, decodeEngines int) int {
	for at := from; at < from+seconds; at += 0.2 {
		now := time.Duration(at * float64(time.Second))
		busy := min(prefillEngines, int(prefillDemand+0.5))
		each := min(capacity.Slots, int(decodeDemand*float64(capacity.Slots)/float64(decodeEngines)))
		state := pool(prefillEngines, busy, decodeEngines, each)
		p.Observe(now, state, capacity)
		chosen, to := p.NextSwitches(now, state)
		moved := len(chosen)
		if to == routing.Decode {
			moved = -moved
		}
		prefillEngines, decodeEngines = prefillEngines+moved, decodeEngines-moved
	}
	return prefillEngines
}

var _ = Describe("a planner", func() {
	// Guards against requests that wait for decode slots while prefill engines idle. On the grown sites, 10 of 28 engines ran
	// prefills, the demand kept 3 of them busy, and the decode slots were full.
	DescribeTable("runs prefill on as many engines as the demand needs", func(prefillDemand, decodeDemand float64, prefillEngines, decodeEngines, want int) {
		Expect(simulate(&stages.Planner{}, 1, 20, prefillDemand, decodeDemand, prefillEngines, decodeEngines)).To(Equal(want))
	},
		Entry("too many prefill engines", 3.0, 15.0, 10, 18, 5),
		Entry("a small service keeps two", 1.0, 5.0, 4, 5, 2),
		Entry("enough prefill engines", 3.0, 9.0, 3, 6, 3),
		Entry("too few prefill engines", 3.0, 2.0, 3, 9, 4),
		Entry("decode slots are free", 3.0, 5.0, 10, 18, 10),
		Entry("an idle service is not changed", 0.0, 0.1, 10, 18, 10),
		Entry("a service of few engines is not changed", 1.0, 3.0, 3, 2, 3),
	)

	// Guards against orders before the first request: the configuration is known before the engines are (bfq scale-2, 4 s before
	// its traffic).
	It("orders no switches without load, also if there are no engines at first", func() {
		p := &stages.Planner{}
		p.Observe(time.Second, stages.Pool{}, capacity)
		for at := range 60 {
			now := 2*time.Second + time.Duration(at)*200*time.Millisecond
			p.Observe(now, pool(4, 0, 5, 0), capacity)
			chosen, _ := p.NextSwitches(now, pool(4, 0, 5, 0))
			Expect(chosen).To(BeEmpty())
		}
	})

	It("waits until the demand is known", func() {
		p := &stages.Planner{}
		Expect(simulate(p, 1, 3.8, 3, 15, 10, 18)).To(Equal(10))
	})

	// Guards against interrupting the streams of a decode engine for a short burst of prompts.
	It("takes an engine from decode only if prefill engines stay too few", func() {
		p := &stages.Planner{}
		Expect(simulate(p, 1, 4, 3, 2, 3, 9)).To(Equal(3))
	})

	It("selects an engine without an order, in the domain with most engines, with the least load", func() {
		p := &stages.Planner{}
		state := pool(8, 0, 18, 10)
		state.Prefill[0].Endpoint.Domain = "other"
		state.Prefill[1].Switchable = false
		state.Prefill[2].Load = inflight.Load{Requests: 1, Tokens: 900}
		for at := range 20 {
			p.Observe(time.Duration(at+1)*200*time.Millisecond, state, capacity)
		}
		chosen, to := p.NextSwitches(5*time.Second, state)
		Expect(to).To(Equal(routing.Decode))
		Expect(chosen).To(HaveLen(2))
		Expect(chosen[0].Endpoint.ID).To(Equal("p3"))
	})

	// Guards against taking a decode engine from its streams while decode memory is the bottleneck (incident inc-b116).
	It("takes no decode engine while decode engines are nearly full", func() {
		p := &stages.Planner{}
		Expect(simulate(p, 1, 20, 3, 9, 2, 10)).To(Equal(2))
	})

	// Guards against lost prefill engines that are never replaced because prompts that decode engines prefill themselves do not
	// count as demand.
	It("counts the prompts that decode engines prefill", func() {
		p := &stages.Planner{}
		state := pool(2, 2, 10, 3)
		for i := range state.Decode[:6] {
			state.Decode[i].Load.LocalPrefills = 1
		}
		for at := range 30 {
			p.Observe(time.Duration(at+1)*200*time.Millisecond, state, capacity)
		}
		chosen, to := p.NextSwitches(6*time.Second, state)
		Expect(chosen).To(HaveLen(1))
		Expect(to).To(Equal(routing.Prefill))
	})

	// Guards against a large service that takes minutes to reach the engine ratio that its demand needs.
	It("orders engines in proportion to the size of the service", func() {
		p := &stages.Planner{}
		Expect(simulate(p, 1, 7, 12, 60, 47, 93)).To(BeNumerically("<", 30))
	})

	// Guards against further orders while engines are still switching.
	It("counts engines that are switching", func() {
		p := &stages.Planner{}
		state := pool(5, 3, 18, 10)
		state.SwitchingToDecode = 5
		for at := range 20 {
			p.Observe(time.Duration(at+1)*200*time.Millisecond, state, capacity)
		}
		chosen, _ := p.NextSwitches(5*time.Second, state)
		Expect(chosen).To(BeEmpty())
	})
})

var _ = Describe("transitions", func() {
	It("last until the engine has the stage or they expire", func() {
		m := stages.NewTransitions()
		m.Add("p1", routing.Decode, 10*time.Second)
		to, ok := m.Target("p1", routing.Prefill, time.Second)
		Expect(ok).To(BeTrue())
		Expect(to).To(Equal(routing.Decode))
		for _, gone := range []struct {
			stage routing.Stage
			now   time.Duration
		}{{routing.Decode, time.Second}, {routing.Prefill, 10 * time.Second}} {
			_, ok := m.Target("p1", gone.stage, gone.now)
			Expect(ok).To(BeFalse())
		}
		m.Remove("p1")
		_, ok = m.Target("p1", routing.Prefill, time.Second)
		Expect(ok).To(BeFalse())
	})

	It("are shared with other instances, whose clocks differ", func() {
		m, other := stages.NewTransitions(), stages.NewTransitions()
		m.Add("p1", routing.Decode, 10*time.Second)
		other.ReplacePeer("i", m.Local(4*time.Second), time.Minute)
		_, ok := other.Target("p1", routing.Prefill, time.Minute+5*time.Second)
		Expect(ok).To(BeTrue())
		_, ok = other.Target("p1", routing.Prefill, time.Minute+6*time.Second)
		Expect(ok).To(BeFalse())
		Expect(m.Local(10 * time.Second)).To(BeEmpty())
		other.ReplacePeer("i", nil, time.Minute)
		_, ok = other.Target("p1", routing.Prefill, time.Minute)
		Expect(ok).To(BeFalse())
	})
})
