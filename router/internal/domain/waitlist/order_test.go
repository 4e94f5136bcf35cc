package waitlist_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tanagerwood.dev/router/internal/domain/priority"
	"tanagerwood.dev/router/internal/domain/waitlist"
)

// urgencyOrder is the order without classes, in which requests were served before priorities: on-time requests first, then by latest
// start in steps of 16 ms, then by ID.
type urgencyOrder struct {
	waiting        []*urgencyEntry
	contendedUntil time.Duration
	granted        []string
	refused        []string
}

type urgencyEntry struct {
	id          string
	latestStart time.Duration
	peer        bool
	admitted    bool
}

func (o *urgencyOrder) dispatch(now time.Duration, peers []*urgencyEntry, turnover waitlist.Turnover, free int) {
	all := slices.Concat(o.waiting, peers)
	late := func(e *urgencyEntry) int {
		if now > e.latestStart {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b *urgencyEntry) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.latestStart/(16*ms), b.latestStart/(16*ms)), cmp.Compare(a.id, b.id))
	})
	blocked := 0
	for _, e := range all {
		isLate := late(e) == 1
		served := blocked == 0 && !(isLate && now < o.contendedUntil) && free > 0
		if served {
			free--
		} else if !isLate {
			blocked++
			o.contendedUntil = now + time.Second
		}
		if e.peer {
			continue
		}
		expected := now
		if turnover.Running > 0 {
			expected += time.Duration(blocked) * turnover.MeanHoldTime / time.Duration(turnover.Running)
		}
		switch refused := isLate || !e.admitted && expected > e.latestStart; {
		case served:
			o.granted = append(o.granted, e.id)
		case refused:
			o.refused = append(o.refused, e.id)
		default:
			e.admitted = true
			continue
		}
		o.waiting = slices.DeleteFunc(o.waiting, func(w *urgencyEntry) bool { return w == e })
	}
}

// Guards against any change in the order or in the refusals of services whose requests have the same priority.
func TestEqualPrioritiesKeepTheOrder(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 11))
		class := priority.NewClass(random.IntN(10), false)
		l, reference := &list{}, &urgencyOrder{}
		now := time.Second
		for step := range 60 {
			now += time.Duration(random.IntN(120)) * ms
			for i := range random.IntN(4) {
				id, latest := fmt.Sprint(step, "-", i), now+time.Duration(random.IntN(900)-100)*ms
				l.add(id, latest).Class = class
				reference.waiting = append(reference.waiting, &urgencyEntry{id: id, latestStart: latest})
			}
			var peers []waitlist.PeerRequest
			var referencePeers []*urgencyEntry
			for i := range random.IntN(5) {
				id, latest := fmt.Sprint("p", step, "-", i), now+time.Duration(random.IntN(900)-100)*ms
				peers = append(peers, waitlist.PeerRequest{ID: id, LatestStart: latest, Class: class})
				referencePeers = append(referencePeers, &urgencyEntry{id: id, latestStart: latest, peer: true})
			}
			turnover := waitlist.Turnover{Running: random.IntN(20), MeanHoldTime: 2 * time.Second}
			free := random.IntN(4)
			l.Dispatch(now, peers, turnover, slots(free))
			reference.dispatch(now, referencePeers, turnover, free)
			if !slices.Equal(l.granted, reference.granted) || !slices.Equal(l.refused, reference.refused) {
				t.Fatalf("seed %d, step %d: served %v and refused %v, expected %v and %v", seed, step, l.granted, l.refused, reference.granted, reference.refused)
			}
		}
	}
}

// Guards against instances that serve the same waiting requests in different orders, and so compete for a slot or leave it free.
func TestInstancesAgreeOnTheOrder(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 12))
		type request struct {
			id    string
			place waitlist.Position
		}
		var requests []request
		for i := range 12 {
			requests = append(requests, request{fmt.Sprint(i), waitlist.Position{
				Class: priority.NewClass(random.IntN(10), random.IntN(3) == 0), LatestStart: time.Second + time.Duration(random.IntN(800))*ms,
			}})
		}
		for free := range len(requests) {
			served := 0
			for own := range requests {
				l := &list{}
				var peers []waitlist.PeerRequest
				for i, r := range requests {
					if i == own {
						l.add(r.id, r.place.LatestStart).Class = r.place.Class
						continue
					}
					peers = append(peers, waitlist.PeerRequest{ID: r.id, LatestStart: r.place.LatestStart, Class: r.place.Class})
				}
				l.dispatch(time.Second, peers, slots(free))
				served += len(l.granted)
			}
			if served != free {
				t.Fatalf("seed %d: %d instances took %d free slots", seed, served, free)
			}
		}
	}
}

// Guards against a more urgent request that waits behind less urgent ones, or is refused because of them.
func TestMoreUrgentGoAhead(t *testing.T) {
	l := &list{}
	for i := range 5 {
		l.add(fmt.Sprint("less", i), 600*ms).Class = priority.NewClass(2, false)
	}
	turnover := waitlist.Turnover{Running: 10, MeanHoldTime: time.Second} // a slot every 100 ms
	l.Dispatch(100*ms, nil, turnover, slots(0))
	l.add("beyond", 250*ms).Class = priority.NewClass(0, true)
	l.add("urgent", 250*ms).Class = priority.NewClass(0, false)
	peer := []waitlist.PeerRequest{{ID: "base", LatestStart: 110 * ms}}
	l.Dispatch(110*ms, peer, turnover, slots(1))
	if !slices.Equal(l.granted, []string{"urgent"}) || len(l.refused) > 0 {
		t.Error("served", l.granted, "refused", l.refused)
	}
	l.Dispatch(120*ms, peer, turnover, slots(2))
	if !slices.Equal(l.granted, []string{"urgent", "beyond", "less0"}) {
		t.Error("served", l.granted)
	}
}

// Guards against a less urgent request that is refused although only its reserved place is lost, and against one that keeps that
// place longer than a most urgent request would wait.
func TestReservedPlace(t *testing.T) {
	l := &list{}
	e := l.add("reserved", 900*ms)
	e.Class, e.Reserved = priority.NewClass(2, false), &waitlist.Position{Class: priority.NewClass(0, false), LatestStart: 300 * ms}
	urgent := []waitlist.PeerRequest{{ID: "urgent", LatestStart: 700 * ms, Class: priority.NewClass(0, false)}}
	l.dispatch(100*ms, urgent, slots(0))
	if got := l.Requests("m", 100*ms)[0]; got.Class.Priority() != 0 || got.SlackMS != 200 {
		t.Error("reported as", got)
	}
	l.dispatch(310*ms, urgent, slots(1))
	if len(l.granted)+len(l.refused) > 0 {
		t.Error("served", l.granted, "refused", l.refused)
	}
	if got := l.Requests("m", 310*ms)[0]; got.Class.Priority() != 2 || got.SlackMS != 590 {
		t.Error("reported as", got)
	}
	l.dispatch(320*ms, urgent, slots(2))
	if !slices.Equal(l.granted, []string{"reserved"}) {
		t.Error("served", l.granted)
	}
}

// Guards against services whose waiting requests other instances do not learn of, because those of another service are more urgent.
func TestSortForPeers(t *testing.T) {
	requests := []waitlist.Request{
		{ID: "c", Service: "a", SlackMS: 5, Class: priority.NewClass(2, false)}, {ID: "b", Service: "a", SlackMS: 9, Class: priority.NewClass(0, false)},
		{ID: "a", Service: "a", SlackMS: 8, Class: priority.NewClass(0, false)}, {ID: "u", Service: "uniform", SlackMS: 1}, {ID: "v", Service: "uniform", SlackMS: 2},
	}
	waitlist.SortForPeers(requests)
	var ids string
	for _, r := range requests {
		ids += r.ID
	}
	if ids != "aubvc" {
		t.Error("order", ids)
	}
}
