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

// list is a list with the ids of the requests that got a place or were refused.
type list struct {
	waitlist.List
	granted []string
	refused []string
}

func (l *list) add(id string, onTime, latest time.Duration) *waitlist.Entry {
	e := &waitlist.Entry{ID: id, OnTimeUntil: onTime, Latest: latest, Decided: func(engine *routing.Endpoint) {
		if engine == nil {
			l.refused = append(l.refused, id)
		} else {
			l.granted = append(l.granted, id)
		}
	}}
	l.Add(e)
	return e
}

// places grants n places.
func places(n int) func(int64, *waitlist.Entry) *routing.Endpoint {
	return func(int64, *waitlist.Entry) *routing.Endpoint {
		if n--; n < 0 {
			return nil
		}
		return &routing.Endpoint{}
	}
}

var _ = Describe("the list of waiting requests", func() {
	// Guards against late requests that make on-time ones late.
	It("serves those that can be on time first, the most urgent ahead", func() {
		l := &list{}
		l.add("late", 10*ms, 3000*ms)
		l.add("relaxed", 700*ms, 3000*ms)
		l.add("urgent", 600*ms, 3000*ms)
		l.Grant(100*ms, nil, places(1))
		Expect(l.granted).To(Equal([]string{"urgent"}))
		l.add("soon late", 620*ms, 3000*ms)
		l.Grant(650*ms, nil, places(2))
		Expect(l.granted).To(Equal([]string{"urgent", "relaxed", "late"}), "what has become late goes behind what was late before")
		Expect(l.Len()).To(Equal(1))
	})

	// Guards against instances that all try for the same place.
	It("leaves the places to other instances' requests that come before", func() {
		l := &list{}
		l.add("mine", 500*ms, 3000*ms)
		others := []waitlist.Other{{ID: "a", OnTimeUntil: 300 * ms}, {ID: "b", OnTimeUntil: 800 * ms}, {ID: "c", OnTimeUntil: 50 * ms}}
		l.Grant(100*ms, others, places(1))
		Expect(l.granted).To(BeEmpty())
		l.Grant(100*ms, others, places(2))
		Expect(l.granted).To(Equal([]string{"mine"}))
	})

	// Guards against instances that see the same requests in different orders, since what they are told is some
	// milliseconds old.
	It("orders requests of equal urgency by their ids", func() {
		for _, skew := range []time.Duration{0, 3 * ms} {
			l := &list{}
			l.add("b", 512*ms, 3000*ms)
			l.Grant(100*ms, []waitlist.Other{{ID: "a", OnTimeUntil: 512*ms + skew}}, places(1))
			Expect(l.granted).To(BeEmpty())
			l = &list{}
			l.add("a", 512*ms, 3000*ms)
			l.Grant(100*ms, []waitlist.Other{{ID: "b", OnTimeUntil: 512*ms + skew}}, places(1))
			Expect(l.granted).To(Equal([]string{"a"}))
		}
	})

	// Guards against requests that are held although nobody will serve them in time.
	It("refuses what has waited for as long as it may", func() {
		l := &list{}
		l.add("first", 100*ms, 1000*ms)
		l.add("second", 100*ms, 2000*ms)
		l.Expire(999*ms, 5)
		Expect(l.refused).To(BeEmpty())
		l.Expire(1000*ms, 5)
		Expect(l.refused).To(Equal([]string{"first"}))
		Expect(l.Len()).To(Equal(1))
	})

	// Guards against a queue of late requests that grows with the overload.
	It("bounds the late requests and refuses the newest", func() {
		l := &list{}
		l.add("a", 0, 3000*ms)
		l.add("b", 1*ms, 3000*ms)
		l.add("c", 2*ms, 3000*ms)
		l.add("on time", 900*ms, 3000*ms)
		l.Expire(5*ms, 2)
		Expect(l.refused).To(Equal([]string{"c"}))
		Expect(l.Len()).To(Equal(3))
	})

	It("removes callers that leave, and tells what waits", func() {
		l := &list{}
		e := l.add("a", 100*ms, 1000*ms)
		Expect(l.Tell("m", 130*ms)).To(Equal([]waitlist.Request{{ID: "a", Service: "m", OnTimeLeft: -30}}))
		Expect(l.Remove(e)).To(BeTrue())
		Expect(l.Remove(e)).To(BeFalse())
		Expect(l.Tell("m", 0)).To(BeEmpty())
	})
})
