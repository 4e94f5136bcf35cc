package reservation_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/router/internal/domain/reservation"
)

const ms = time.Millisecond

func newTable() *reservation.DecodeTable {
	t := reservation.NewDecodeTable()
	t.SetCapacity(reservation.DecodeCapacity{Slots: 2, Blocks: 10, BlockTokens: 100, LinkBytesPerSecond: 1000, TokenInterval: 10 * ms})
	return t
}

// newRequest returns a request for a slot and 100 tokens of output, which take one second.
func newRequest(attempt string, at, within time.Duration) reservation.DecodeRequest {
	return reservation.DecodeRequest{Attempt: attempt, NeededAt: at, MaxDelay: within, PromptTokens: 100, OutputTokens: 100}
}

var _ = Describe("decode table", func() {
	It("grants a slot that is predicted free when the prefill ends", func() {
		t := newTable()
		for _, id := range []string{"a", "b"} {
			_, granted := t.Reserve(0, newRequest(id, 0, 0))
			Expect(granted).To(BeTrue())
		}
		at, granted := t.Reserve(100*ms, newRequest("c", 500*ms, 0))
		Expect(granted).To(BeFalse())
		Expect(at).To(Equal(time.Second))
		at, granted = t.Reserve(100*ms, newRequest("c", 900*ms, 100*ms))
		Expect(granted).To(BeTrue())
		Expect(at).To(Equal(time.Second))
		// The slot was granted to "c", so "d" gets the other one and "e" none.
		_, granted = t.Reserve(100*ms, newRequest("d", 900*ms, 100*ms))
		Expect(granted).To(BeTrue())
		_, granted = t.Reserve(100*ms, newRequest("e", 900*ms, 100*ms))
		Expect(granted).To(BeFalse())
	})

	It("counts blocks, and refuses requests that never fit", func() {
		t := newTable()
		big := newRequest("big", 0, 0)
		big.PromptTokens = 700
		_, granted := t.Reserve(0, big)
		Expect(granted).To(BeTrue())
		_, granted = t.Reserve(0, newRequest("small", 0, 0))
		Expect(granted).To(BeTrue())
		t.Release(0, "small")
		big.Attempt = "big2"
		_, granted = t.Reserve(0, big)
		Expect(granted).To(BeFalse())
		big.PromptTokens = 5000
		_, granted = t.Reserve(0, big)
		Expect(granted).To(BeFalse())
	})

	It("serialises transfers over the link", func() {
		t := newTable()
		r := newRequest("a", 0, time.Second)
		r.KVBytes = 300
		at, _ := t.Reserve(0, r)
		Expect(at).To(BeZero())
		r.Attempt = "b"
		at, granted := t.Reserve(0, r)
		Expect(granted).To(BeTrue())
		Expect(at).To(Equal(300 * ms))
	})

	// Guards against memory that stays reserved for attempts that failed before they used it.
	It("expires a reservation that is not used within a second after its time", func() {
		t := newTable()
		t.Reserve(0, newRequest("a", 200*ms, 0))
		t.Reconcile(1150*ms, nil)
		Expect(t.Len()).To(Equal(1))
		t.Reconcile(1250*ms, nil)
		Expect(t.Len()).To(BeZero())
	})

	It("keeps a used reservation until the engine no longer lists it", func() {
		t := newTable()
		t.Reserve(0, newRequest("a", 0, 0))
		t.Reconcile(500*ms, []engine.Request{{ID: "a", Phase: engine.PhaseDecode}})
		t.Reconcile(3*time.Second, []engine.Request{{ID: "a", Phase: engine.PhaseDecode}})
		Expect(t.Len()).To(Equal(1))
		t.Reconcile(4*time.Second, nil)
		Expect(t.Len()).To(BeZero())
	})

	It("is rebuilt from the engine's request list", func() {
		t := newTable()
		t.Reconcile(0, []engine.Request{
			{ID: "x", Phase: engine.PhaseDecode, Blocks: 2, OutputTokens: 50, MaxTokens: 100},
			{ID: "y", Phase: engine.PhaseImport, Blocks: 2, MaxTokens: 100},
		})
		at, granted := t.Reserve(0, newRequest("a", 0, 0))
		Expect(granted).To(BeFalse())
		Expect(at).To(Equal(500 * ms))
	})

	// Guards against starvation of an instance whose requests always arrive a little after those of another.
	It("keeps the next slot for the instance that waits longest", func() {
		t := newTable()
		reserve := func(now time.Duration, from, attempt string) bool {
			r := newRequest(attempt, now, 0)
			r.Requester = from
			_, granted := t.Reserve(now, r)
			return granted
		}
		Expect(reserve(0, "r1", "a")).To(BeTrue())
		Expect(reserve(0, "r1", "b")).To(BeTrue())
		Expect(reserve(100*ms, "r2", "c")).To(BeFalse())
		Expect(reserve(101*ms, "r1", "d")).To(BeFalse())
		t.Release(110*ms, "a")
		Expect(reserve(111*ms, "r1", "d")).To(BeFalse())
		Expect(reserve(120*ms, "r2", "c")).To(BeTrue())
		t.Release(300*ms, "b") // r1 no longer counts as waiting, since its last request was too long ago
		Expect(reserve(301*ms, "r3", "e")).To(BeTrue())
	})

	It("predicts the end of a request that began late", func() {
		t := newTable()
		for _, id := range []string{"a", "b"} {
			t.Reserve(0, newRequest(id, 0, 0))
		}
		t.Reserve(0, newRequest("c", time.Second, 0)) // granted for the predicted end of "a"
		t.Release(1500*ms, "a")                       // later than predicted
		t.Release(1500*ms, "b")
		t.Reserve(1500*ms, newRequest("d", 1500*ms, 0))
		at, granted := t.Reserve(1600*ms, newRequest("e", 1600*ms, 0))
		Expect(granted).To(BeFalse())
		Expect(at).To(Equal(2500 * ms))
	})

	// Guards against granting more than the engine has, under any schedule.
	It("never grants more slots or blocks at once than there are", func() {
		rapid.Check(GinkgoT(), func(rt *rapid.T) {
			t := newTable()
			now := time.Duration(0)
			live := map[string]int64{} // blocks of granted attempts that have started
			for i := range rapid.IntRange(1, 60).Draw(rt, "steps") {
				now += time.Duration(rapid.IntRange(0, 50).Draw(rt, "pause")) * ms
				r := newRequest(fmt.Sprint(i), now, 0)
				r.PromptTokens = int64(rapid.IntRange(1, 900).Draw(rt, "tokens"))
				if at, granted := t.Reserve(now, r); granted && at <= now {
					live[r.Attempt] = (r.PromptTokens + 199) / 100
				}
				var blocks int64
				for _, b := range live {
					blocks += b
				}
				if len(live) > 2 || blocks > 10 {
					rt.Fatalf("%d slots and %d blocks are taken", len(live), blocks)
				}
				if rapid.Bool().Draw(rt, "release") {
					for id := range live {
						t.Release(now, id)
						delete(live, id)
						break
					}
				}
				for id := range live { // releases attempts before their predicted end
					if now > 900*ms {
						t.Release(now, id)
						delete(live, id)
					}
				}
			}
		})
	})
})

var _ = Describe("prefill table", func() {
	It("tracks the backlog over time", func() {
		t := reservation.NewPrefillTable()
		t.SetRate(1000)
		work := func(id string, tokens int64) reservation.PrefillRequest {
			return reservation.PrefillRequest{Attempt: id, UncachedTokens: tokens, MaxDelay: time.Hour}
		}
		at, _ := t.Reserve(0, work("a", 200))
		Expect(at).To(BeZero())
		at, _ = t.Reserve(50*ms, work("b", 100))
		Expect(at).To(Equal(200 * ms))
		Expect(t.Backlog(100 * ms)).To(Equal(200 * ms))
		t.Release(150*ms, "a") // earlier than predicted
		Expect(t.Backlog(150 * ms)).To(Equal(100 * ms))
		late := work("c", 100)
		late.MaxDelay = 50 * ms
		at, granted := t.Reserve(150*ms, late)
		Expect(granted).To(BeFalse())
		Expect(at).To(Equal(250 * ms))
	})

	It("is rebuilt from the engine's request list, without exported KV cache", func() {
		t := reservation.NewPrefillTable()
		t.SetRate(1000)
		t.Reconcile(0, []engine.Request{
			{ID: "x", Phase: engine.PhasePrefill, PromptTokens: 100},
			{ID: "y", Phase: engine.PhaseExport, PromptTokens: 900},
		})
		Expect(t.Backlog(0)).To(Equal(100 * ms))
		t.Reconcile(time.Second, nil)
		Expect(t.Len()).To(BeZero())
	})

	It("expires prefills that the engine never listed", func() {
		t := reservation.NewPrefillTable()
		t.SetRate(1000)
		t.Reserve(0, reservation.PrefillRequest{Attempt: "a", UncachedTokens: 100})
		t.Reconcile(1050*ms, nil)
		Expect(t.Len()).To(Equal(1))
		t.Reconcile(1200*ms, nil)
		Expect(t.Len()).To(BeZero())
	})
})
