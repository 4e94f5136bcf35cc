package waitlist_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

func TestWaitList(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wait list")
}

const ms = time.Millisecond

// list records the IDs of the requests that were assigned an engine or refused.
type list struct {
	waitlist.List
	granted []string
	refused []string
}

func (l *list) add(id string, onTime time.Duration) *waitlist.Entry {
	e := &waitlist.Entry{ID: id, LatestStart: onTime, OnDecision: func(engine *routing.Endpoint) {
		if engine == nil {
			l.refused = append(l.refused, id)
		} else {
			l.granted = append(l.granted, id)
		}
	}}
	l.Add(e)
	return e
}

// dispatch calls Dispatch with unknown turnover.
func (l *list) dispatch(now time.Duration, others []waitlist.PeerRequest, take waitlist.AssignFunc) {
	l.Dispatch(now, others, waitlist.Turnover{}, take)
}

// slots assigns the first n requests.
func slots(n int) func(int64, *waitlist.Entry) *routing.Endpoint {
	return func(int64, *waitlist.Entry) *routing.Endpoint {
		if n--; n < 0 {
			return nil
		}
		return &routing.Endpoint{}
	}
}

var _ = Describe("the list of waiting requests", func() {
	// Guards against a request that may run in few places and holds up those that may run elsewhere, here or at other instances.
	It("serves requests that may run anywhere while one that may not waits", func() {
		l := &list{}
		l.add("restricted", 100*ms).Allowed = func(string) bool { return false }
		l.add("first", 200*ms)
		l.add("second", 300*ms)
		left := 1
		l.dispatch(0, nil, func(_ int64, own *waitlist.Entry) *routing.Endpoint {
			if own.Allowed != nil || left == 0 {
				return nil
			}
			left--
			return &routing.Endpoint{}
		})
		Expect(l.granted).To(Equal([]string{"first"}))
		Expect(l.Requests("s", 0)).To(HaveLen(1))
		l.dispatch(101*ms, nil, slots(0))
		Expect(l.refused).To(Equal([]string{"restricted"}))
	})

	// Guards against late requests that delay requests which could still be on time.
	It("serves those that can be on time first, the most urgent ahead", func() {
		l := &list{}
		l.add("late", 10*ms)
		l.add("relaxed", 700*ms)
		l.add("urgent", 600*ms)
		l.dispatch(100*ms, nil, slots(1))
		Expect(l.granted).To(Equal([]string{"urgent"}))
		Expect(l.refused).To(Equal([]string{"late"}), "late requests get no slot while on-time ones wait")
		l.add("soon late", 620*ms)
		l.dispatch(650*ms, nil, slots(1))
		Expect(l.granted).To(Equal([]string{"urgent", "relaxed"}))
		Expect(l.refused).To(Equal([]string{"late", "soon late"}))
	})

	// Guards against late requests that occupy slots for seconds while requests arrive that could have been on time.
	It("gives late requests no slot soon after an on-time request has waited, and any slot otherwise", func() {
		l := &list{}
		l.add("late", 10*ms)
		l.dispatch(100*ms, nil, slots(1))
		Expect(l.granted).To(Equal([]string{"late"}))
		l.add("waits", 5000*ms)
		l.dispatch(200*ms, nil, slots(0))
		l.dispatch(300*ms, nil, slots(1))
		l.add("late too", 10*ms)
		l.dispatch(400*ms, nil, slots(5))
		Expect(l.granted).To(Equal([]string{"late", "waits"}))
		Expect(l.refused).To(Equal([]string{"late too"}))
		l.add("calm", 10*ms)
		l.dispatch(1300*ms, nil, slots(1))
		Expect(l.granted).To(Equal([]string{"late", "waits", "calm"}))
	})

	// Guards against instances that compete for the same slot.
	It("leaves slots to requests of other instances that come before its own", func() {
		l := &list{}
		l.add("mine", 500*ms)
		others := []waitlist.PeerRequest{{ID: "a", LatestStart: 300 * ms}, {ID: "b", LatestStart: 800 * ms}, {ID: "c", LatestStart: 50 * ms}}
		l.dispatch(100*ms, others, slots(1))
		Expect(l.granted).To(BeEmpty())
		l.dispatch(100*ms, others, slots(2))
		Expect(l.granted).To(Equal([]string{"mine"}))
	})

	// Guards against instances that order the same requests differently because the data of their peers is some milliseconds old.
	It("orders requests of equal urgency by their ids", func() {
		for _, skew := range []time.Duration{0, 3 * ms} {
			l := &list{}
			l.add("b", 512*ms)
			l.dispatch(100*ms, []waitlist.PeerRequest{{ID: "a", LatestStart: 512*ms + skew}}, slots(1))
			Expect(l.granted).To(BeEmpty())
			l = &list{}
			l.add("a", 512*ms)
			l.dispatch(100*ms, []waitlist.PeerRequest{{ID: "b", LatestStart: 512*ms + skew}}, slots(1))
			Expect(l.granted).To(Equal([]string{"a"}))
		}
	})

	// Guards against requests that are queued although no slot is expected to be released before their latest start.
	It("refuses at once what cannot be served in time at the rate at which slots become free", func() {
		l := &list{}
		turnover := waitlist.Turnover{Running: 10, MeanHoldTime: 2 * time.Second} // one slot every 200 ms
		for _, id := range []string{"a", "b", "c", "d"} {
			l.add(id, 700*ms)
		}
		l.Dispatch(100*ms, nil, turnover, slots(0))
		Expect(l.refused).To(Equal([]string{"d"}), "the fourth slot is expected after 800 ms")
		Expect(l.Len()).To(Equal(3))
		l.Dispatch(701*ms, nil, waitlist.Turnover{}, slots(0))
		Expect(l.refused).To(Equal([]string{"d", "a", "b", "c"}), "all are late")
	})

	It("counts the requests of other instances that come before", func() {
		l := &list{}
		l.add("mine", 500*ms)
		others := []waitlist.PeerRequest{{ID: "a", LatestStart: 300 * ms}, {ID: "b", LatestStart: 310 * ms}, {ID: "late", LatestStart: 0}}
		l.Dispatch(100*ms, others, waitlist.Turnover{Running: 10, MeanHoldTime: 1300 * ms}, slots(0))
		Expect(l.Len()).To(Equal(1), "the third slot is expected after 390 ms")
		l = &list{}
		l.add("mine", 500*ms)
		l.Dispatch(100*ms, others, waitlist.Turnover{Running: 10, MeanHoldTime: 1400 * ms}, slots(0))
		Expect(l.refused).To(Equal([]string{"mine"}))
	})

	It("removes requests whose callers disconnect, and lists the waiting ones", func() {
		l := &list{}
		e := l.add("a", 100*ms)
		Expect(l.Requests("m", 130*ms)).To(Equal([]waitlist.Request{{ID: "a", Service: "m", SlackMS: -30}}))
		Expect(l.Remove(e)).To(BeTrue())
		Expect(l.Remove(e)).To(BeFalse())
		Expect(l.Requests("m", 0)).To(BeEmpty())
	})
})
