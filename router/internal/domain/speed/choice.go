package speed

import (
	"time"

	"tanagerwood.dev/api/routing"
)

// defaultUsual is the assumed duration of a plain request until its route has been measured.
const defaultUsual = 50 * time.Millisecond

// Option is an endpoint that may get a plain request.
type Option struct {
	Endpoint routing.Endpoint
	// Local is the number of requests of this instance at the endpoint, and Peers that of the others as they reported it.
	Local, Peers int
	// Penalty is added to the expected duration, in durations of the work that fills an endpoint of usual speed.
	Penalty float64
}

// spreadFactor is the width of the random part of a backlog that is as good as unknown, in multiples of the longest backlog. Without it, all
// instances would send their requests to the endpoint that had the shortest one some time ago.
const spreadFactor = 3.0

// SelectSoonest returns the index of the endpoint that is expected to answer first, or -1 if there is none. peersAge is the age of what
// is known of the requests of other instances; random returns a number in [0, 1).
func (t *Tracker) SelectSoonest(options []Option, work Work, peersAge time.Duration, random func() float64, now time.Duration) int {
	usual := t.Usual(work)
	backlogs := t.backlogs(options, peersAge, usual, now)
	longest := 0.0
	for _, o := range options {
		longest = max(longest, float64(o.Local+o.Peers))
	}
	spread := spreadFactor * longest * (1 - weightAt(peersAge, drainTime(longest, usual)))
	best, bestCost := -1, 0.0
	for i, o := range options {
		expected := (backlogs[i] + 1 + random()*spread) / float64(max(1, o.Endpoint.Slots)) * t.Factor(o.Endpoint, now)
		if cost := expected + o.Penalty; best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// drainTime is the time in which an endpoint may have answered the requests that it has. Their count is as good as unknown after that.
func drainTime(backlog float64, usual time.Duration) time.Duration {
	return time.Duration((1 + backlog) * float64(usual))
}

// Usual returns how long work usually takes at an endpoint of the service.
func (t *Tracker) Usual(work Work) time.Duration {
	if t == nil {
		return defaultUsual
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if reference := t.references[work]; reference != nil {
		return reference.duration()
	}
	return defaultUsual
}

// backlogs estimates the number of requests at each endpoint. Both the reports of the other instances and the load that an endpoint has
// stated lose weight with their age, since the requests that they count end. usual is the usual duration of a request. The
// mean over the endpoints gets the remaining weight.
func (t *Tracker) backlogs(options []Option, peersAge, usual, now time.Duration) []float64 {
	total := 0
	for _, o := range options {
		total += o.Peers
	}
	average := float64(total) / float64(max(1, len(options)))
	out := make([]float64, len(options))
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, o := range options {
		others := average + (float64(o.Peers)-average)*weightAt(peersAge, drainTime(float64(o.Peers), usual))
		if r := t.records[startOf(o.Endpoint)]; r != nil && r.hasQueue {
			others += (r.queue - others) * weightAt(now-r.queueAt, drainTime(r.queue, usual))
		}
		out[i] = float64(o.Local) + others
	}
	return out
}
