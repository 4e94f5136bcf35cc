package soak

import (
	"slices"
	"time"

	"tanagerwood.dev/platform/standin"
)

// serverLimits holds the limits that a server announced and the requests that it received since the first of them.
type serverLimits struct {
	limits   []standin.Limit
	arrivals []standin.Arrival
}

// limitPeriod is a span in which a server announced one limit.
type limitPeriod struct {
	from, to  time.Time
	perSecond float64
}

// limitPeriods splits a server's announcements into series without interruption.
func limitPeriods(limits []standin.Limit) (series [][]limitPeriod) {
	var current []limitPeriod
	for n, l := range limits {
		if n > 0 && len(current) > 0 {
			current[len(current)-1].to = l.From
		}
		if l.Ended {
			series, current = append(series, current), nil
			continue
		}
		current = append(current, limitPeriod{from: l.From, to: l.From.Add(time.Hour), perSecond: l.PerSecond})
	}
	return append(series, current)
}

// allowedBy returns the requests that a series of limits allows in a span.
func allowedBy(series []limitPeriod, from, to time.Time) (requests float64) {
	for _, p := range series {
		if overlap := minTime(to, p.to).Sub(maxTime(from, p.from)); overlap > 0 {
			requests += p.perSecond * overlap.Seconds()
		}
	}
	return requests
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkLimits checks that a server receives no more requests than it has announced from the instances that it has notified, summed
// over them.
func (e *execution) checkLimits() {
	sentBy := map[string]string{}
	for _, s := range e.sent {
		sentBy[s.id] = s.instance
	}
	for server, l := range e.limited {
		for _, series := range limitPeriods(l.limits) {
			if len(series) > 0 {
				e.checkLimitSeries(server, series, e.arrivalsFromNotified(server, series, sentBy))
			}
		}
	}
}

func (e *execution) checkLimitSeries(server string, series []limitPeriod, arrivals []time.Time) {
	binding, end := series[0].from.Add(e.bounds.LimitSettle), series[len(series)-1].to
	for n, first := range arrivals {
		last := first.Add(e.bounds.LimitWindow)
		if first.Before(binding) || last.After(end) {
			continue
		}
		count := 0
		for _, at := range arrivals[n:] {
			if !at.After(last) {
				count++
			}
		}
		allowed := e.bounds.LimitTolerance*allowedBy(series, first, last) + e.bounds.LimitSlack
		if float64(count) > allowed {
			e.add("request limits", "", "%s received %d requests in %v from instances that it had notified of its limit; allowed %.0f", server, count, e.bounds.LimitWindow, allowed)
			return
		}
	}
}

// arrivalsFromNotified returns the times of a server's requests from instances that had passed on a response with its limit. A fault
// of an instance since then excuses its requests.
func (e *execution) arrivalsFromNotified(server string, series []limitPeriod, sentBy map[string]string) (out []time.Time) {
	notified := map[string][]time.Time{}
	for _, s := range e.sent {
		for _, r := range e.runs[s.id] {
			if r.Server == server && s.response.Server == r.Server && r.Began.After(series[0].from) && s.done.Before(series[len(series)-1].to) {
				notified[s.instance] = append(notified[s.instance], s.done)
			}
		}
	}
	for _, times := range notified {
		slices.SortFunc(times, time.Time.Compare)
	}
	for _, a := range e.limited[server].arrivals {
		instance := sentBy[a.ID]
		last, isNotified := lastBefore(notified[instance], a.At.Add(-e.bounds.LimitNotice))
		disturbed := func(v interval) bool { return v.scope == instance || v.scope == machineScope }
		if isNotified && !e.faults.overlaps(last, a.At, disturbed) {
			out = append(out, a.At)
		}
	}
	return out
}

// lastBefore returns the last of the ordered times that is not after the bound.
func lastBefore(times []time.Time, bound time.Time) (last time.Time, found bool) {
	n, exact := slices.BinarySearchFunc(times, bound, time.Time.Compare)
	if exact {
		n++
	}
	if n == 0 {
		return time.Time{}, false
	}
	return times[n-1], true
}
