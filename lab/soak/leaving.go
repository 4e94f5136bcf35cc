package soak

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// leavingShare is the share of the plans in which servers leave together amid other trouble, and meanLeavingPause the mean time
	// between such departures.
	leavingShare     = 0.4
	meanLeavingPause = 4 * time.Second
	// maxLeaving is the largest number of servers that leave together.
	maxLeaving = 3
	// rejectionLength is how long the store rejects one instance while servers leave.
	rejectionLength = time.Second
)

// leave has several servers leave together. In most variants the store rejects an instance meanwhile, in half of them the servers'
// entries are removed without an announcement in the store, and in half of these their answers do not say so, either.
func (t *testbed) leave(a Action, i *instance) error {
	defer t.faults.begin(serversScope, true)()
	var group sync.WaitGroup
	if a.Variant%3 != 0 {
		group.Go(func() { t.rejectAtStore(i) })
	}
	how := departure{unlisted: a.Variant%2 == 0, silent: a.Variant%4 == 0}
	errs := make([]error, 1+a.Variant/12%maxLeaving)
	for n := range errs {
		m := t.machines[(a.Target+n)%len(t.machines)]
		group.Go(func() { errs[n] = m.release(t.options.Bounds.Drain, a.Duration, how) })
	}
	group.Wait()
	return errors.Join(errs...)
}

// rejectAtStore has the store reject the calls of one instance.
func (t *testbed) rejectAtStore(i *instance) {
	defer t.faults.beginRejection(i.name)()
	i.store.Set(Impairment{Reject: true})
	i.store.Reset()
	time.Sleep(rejectionLength)
	i.store.Set(Impairment{})
}

// checkLeaving checks that instances without a fault send no requests to a leaving server after the drain time. That the store rejects an
// instance for a short time does not excuse it: the others have the change.
func (e *execution) checkLeaving(s *sentRequest) {
	for _, r := range e.runs[s.id] {
		b := e.servers[r.Server]
		if b.leaving.IsZero() || !r.Began.After(b.leaving.Add(e.bounds.Drain)) {
			continue
		}
		if e.faults.undisturbedExceptRejection(s.instance, e.bounds.Stable, b.leaving, r.Began) {
			e.add("leaving servers", s.id, "%s sent it to %s, %v after the server said that it is leaving", s.instance, r.Server, r.Began.Sub(b.leaving))
		}
	}
}

// process identifies a start of an instance's process.
func (s *sentRequest) process() string { return fmt.Sprint(s.instance, " start ", s.boot) }

// notice identifies what a server told a process.
type notice struct{ server, process string }

// checkNotices checks that no process sends requests to a server later than the drain time after it has passed on an answer in which the
// server said that it is leaving. Only faults of the instance itself excuse this.
func (e *execution) checkNotices() {
	told := map[notice]time.Time{}
	for _, s := range e.sent {
		b := e.servers[s.response.Server]
		if b == nil || b.announcedAt.IsZero() || s.response.Err != nil {
			continue
		}
		for _, r := range e.runs[s.id] {
			key := notice{r.Server, s.process()}
			// A server that misbehaves may write an answer without the header.
			misbehaves := e.faults.overlaps(b.announcedAt.Add(-maxFaultDuration), s.done, func(v interval) bool { return v.scope == serversScope && !v.planned })
			if known, ok := told[key]; r.Server == s.response.Server && r.Began.After(b.announcedAt) && !misbehaves && (!ok || s.done.Before(known)) {
				told[key] = s.done
			}
		}
	}
	for _, s := range e.sent {
		for _, r := range e.runs[s.id] {
			since, known := told[notice{r.Server, s.process()}]
			late := known && r.Began.After(since.Add(e.bounds.Drain))
			if late && !e.faults.overlaps(since, r.Began, func(v interval) bool { return v.scope == s.instance && !v.rejection || v.scope == machineScope }) {
				e.add("leaving servers", s.id, "%s sent it to %s, %v after it had passed on the server's announcement", s.process(), r.Server, r.Began.Sub(since))
			}
		}
	}
}
