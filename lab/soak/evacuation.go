package soak

import (
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

const (
	// evacuationShare is the share of the plans in which domains are evacuated. meanEvacuationPause is the mean time between the beginnings
	// of evacuations, which last longer than the time within which they must be in force.
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

// evacuator begins and ends evacuations of domains.
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

// write creates or removes the entry of a domain, depending on whether an evacuation is open; v.mu is held.
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

// evacuate evacuates one domain, or all domains in a fifth of the variants. In two thirds of the variants, the store rejects an instance at
// the beginning.
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

// checkEvacuations checks that instances without a fault send no requests to servers of an evacuated domain once the evacuation must be in
// force. Rejection by the store is not excused, because an instance learns of the change from others.
func (e *execution) checkEvacuations() {
	for _, s := range e.sent {
		for _, r := range e.runs[s.id] {
			for _, p := range e.evacuations {
				late := r.Began.After(p.from.Add(e.bounds.Evacuate)) && r.Began.Before(p.to)
				if !late || e.servers[r.Server].domain != p.domain {
					continue
				}
				if e.faults.undisturbedExceptRejection(s.instance, e.bounds.Stable, p.from, r.Began) {
					e.add("evacuations", s.id, "%s sent it to %s, %v after the evacuation of %s", s.instance, r.Server, r.Began.Sub(p.from), p.domain)
				}
			}
		}
	}
}
