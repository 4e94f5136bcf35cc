package soak

import (
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

const (
	// evacuationShare is the share of the plans in which domains are evacuated, and meanEvacuationPause the mean time between the begins of
	// evacuations, which last longer than the time within which they must be in force.
	evacuationShare     = 0.4
	meanEvacuationPause = 7 * time.Second
	// evacuationScope marks the times in which a domain is evacuated.
	evacuationScope = "evacuation"
)

// evacuationPeriod is the time in which a domain was evacuated, from the store's acknowledgement to shortly before the end.
type evacuationPeriod struct {
	domain   string
	from, to time.Time
}

// evacuator evacuates domains and ends that.
type evacuator struct {
	store *standin.Store

	mu sync.Mutex
	// open counts the evacuations of a domain that overlap.
	open    map[string]int
	periods []evacuationPeriod
}

// evacuate evacuates a domain for a time.
func (v *evacuator) evacuate(domain string, length time.Duration) {
	v.mu.Lock()
	v.open[domain]++
	v.write(domain)
	from := time.Now()
	v.mu.Unlock()
	time.Sleep(length)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.periods = append(v.periods, evacuationPeriod{domain: domain, from: from, to: time.Now()})
	v.open[domain]--
	v.write(domain)
}

// write writes the entry of a domain as it should be.
func (v *evacuator) write(domain string) {
	if v.open[domain] > 0 {
		v.store.Evacuate(domain)
	} else {
		v.store.EndEvacuation(domain)
	}
}

// rewrite writes all entries again, because the store may have lost them.
func (v *evacuator) rewrite() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, domain := range domains {
		v.write(domain)
	}
}

func (v *evacuator) all() []evacuationPeriod {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]evacuationPeriod{}, v.periods...)
}

// evacuate evacuates a domain, or in a fifth of the variants all. In two thirds of them, the store rejects an instance at its begin.
func (t *testbed) evacuate(a Action, i *instance) {
	defer t.faults.begin(evacuationScope, true)()
	var group sync.WaitGroup
	if a.Variant%3 != 0 {
		group.Go(func() { t.rejectAtStore(i) })
	}
	for n, domain := range domains {
		if n == a.Target%len(domains) || a.Variant%5 == 0 {
			group.Go(func() { t.evacuator.evacuate(domain, t.options.Bounds.Evacuate+a.Duration) })
		}
	}
	group.Wait()
}

// checkEvacuations checks that instances without a fault send no requests to servers of an evacuated domain once that must be in force.
// That the store rejects an instance does not excuse it: the others have the change.
func (e *execution) checkEvacuations() {
	for _, s := range e.sent {
		for _, r := range e.runs[s.id] {
			for _, p := range e.evacuations {
				late := r.Began.After(p.from.Add(e.bounds.Evacuate)) && r.Began.Before(p.to)
				if late && e.servers[r.Server].domain == p.domain && e.faults.undisturbedExceptRejection(s.instance, e.bounds.Stable, p.from, r.Began) {
					e.add("evacuations", s.id, "%s sent it to %s, %v after the evacuation of %s", s.instance, r.Server, r.Began.Sub(p.from), p.domain)
				}
			}
		}
	}
}
