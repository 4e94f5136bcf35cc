package speed

import (
	"math"
	"time"
)

const (
	// minReportedLog is the deviation from the service, as a natural logarithm, from which the measurements at an endpoint are reported to
	// other instances.
	minReportedLog = 0.1
	// maxReported is the largest number of endpoints in a report, and maxViewed that in a view, which keep messages short. Those that find
	// no room follow in later messages.
	maxReported = 8
	maxViewed   = 16
	// minReportInterval is the least time between reports of measurements. A small fleet reports every 150 ms to every other instance.
	minReportInterval = 400 * time.Millisecond
	// maxFigureAge is the age up to which a stated speed is reported.
	maxFigureAge = time.Second
	// maxReportedCount bounds the samples that one report may claim.
	maxReportedCount = 1e5
)

// Report holds the measurements at one start of an endpoint.
type Report struct {
	StartedMS int64 `json:"b,omitempty"`
	// Count is the decayed number of samples, and Log the mean of the logarithms of their ratios to the service.
	Count float64 `json:"n,omitempty"`
	Log   float64 `json:"l,omitempty"`
	// SpeedPercent is the latest speed that the endpoint has stated, and AgeMS its age; zero if there is none.
	SpeedPercent float64 `json:"f,omitempty"`
	AgeMS        int64   `json:"a,omitempty"`
}

func newReport(key Start, s sums) Report {
	r := Report{StartedMS: key.StartedMS}
	if s.count >= 0.1 {
		r.Count, r.Log = round(s.count, 10), round(s.logs/s.count, 100)
	}
	return r
}

func (r Report) sums(now time.Duration) sums {
	count := min(max(0, r.Count), maxReportedCount)
	return sums{count: count, logs: count * min(max(r.Log, -maxSampleLog), maxSampleLog), at: now}
}

// round rounds to a multiple of 1/parts, which keeps messages short.
func round(v, parts float64) float64 { return math.Round(v*parts) / parts }

// addFigure adds a recent figure that deviates from the endpoint's usual one to a report, and reports whether there is one.
func (r *Report) addFigure(known *record, now time.Duration) bool {
	age := now - known.figureAt
	if !known.hasFigure || age > maxFigureAge || math.Abs(known.figureLog-known.figureMean.value) < minReportedLog {
		return false
	}
	r.SpeedPercent, r.AgeMS = math.Round(percentUsual*math.Exp(known.figureLog)), max(0, age.Milliseconds())
	return true
}

// LocalReport returns this instance's new measurements at endpoints that deviate from their service. The choice among more than
// maxReported endpoints is random, but for those that are slower or faster at the moment.
func (t *Tracker) LocalReport(now time.Duration) map[string]Report {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hasReport && now-t.reportedAt < minReportInterval {
		return nil
	}
	t.reportedAt, t.hasReport = now, true
	out := map[string]Report{}
	for _, momentary := range []bool{true, false} {
		for key, r := range t.records {
			if len(out) >= maxReported {
				return out
			}
			if report, due := t.reportOf(key, r, now); due && (report.SpeedPercent > 0) == momentary {
				out[key.ID] = report
				r.unreported = false
			}
		}
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// reportOf returns the report of the own measurements at an endpoint, and whether it is due; t.mu is held.
func (t *Tracker) reportOf(key Start, r *record, now time.Duration) (Report, bool) {
	own := r.own.decayed(now)
	report := newReport(key, own)
	deviates := math.Abs(own.estimate()) >= minReportedLog || math.Abs(t.learnt(key, r, now)) >= minReportedLog
	return report, report.addFigure(r, now) || r.unreported && deviates
}

// ReportExcluding returns the measurements of all instances but one at endpoints that deviate, for a view of that instance.
func (t *Tracker) ReportExcluding(instance string, now time.Duration) map[string]Report {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Report{}
	for key, r := range t.records {
		if len(out) >= maxViewed/2 {
			break
		}
		report := newReport(key, t.sumExcluding(instance, key, now))
		if report.addFigure(r, now) {
			out[key.ID] = report
		}
	}
	for key := range t.peerSums {
		t.addToView(out, instance, key, now)
	}
	for key := range t.records {
		t.addToView(out, instance, key, now)
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// addToView adds an endpoint to a view if it deviates and there is room; t.mu is held.
func (t *Tracker) addToView(out map[string]Report, instance string, key Start, now time.Duration) {
	if _, listed := out[key.ID]; listed || len(out) >= maxViewed {
		return
	}
	if total := t.sumExcluding(instance, key, now); math.Abs(total.estimate()) >= minReportedLog {
		out[key.ID] = newReport(key, total)
	}
}

// sumExcluding returns the measurements at an endpoint of all instances but one; t.mu is held.
func (t *Tracker) sumExcluding(instance string, key Start, now time.Duration) sums {
	total := t.peerSums[key].decayed(now).plus(t.reports[instance][key].decayed(now).negated())
	if r := t.records[key]; r != nil {
		total = total.plus(r.own.decayed(now))
	}
	return total
}

// ApplyReport applies the measurements of another instance. Endpoints that it does not name keep theirs until they are too old.
func (t *Tracker) ApplyReport(instance string, report map[string]Report, now time.Duration) {
	if t == nil || len(report) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.reports[instance]
	if known == nil {
		known = map[Start]sums{}
		t.reports[instance] = known
	}
	for id, r := range report {
		key := Start{id, r.StartedMS}
		received := r.sums(now)
		t.peerSums[key] = t.peerSums[key].decayed(now).plus(known[key].decayed(now).negated()).plus(received)
		known[key] = received
		t.applyFigure(key, r, now)
	}
}

// applyFigure applies a speed that an endpoint has stated to another instance, unless a later one is known; t.mu is held.
func (t *Tracker) applyFigure(key Start, r Report, now time.Duration) {
	at := now - time.Duration(min(max(0, r.AgeMS), maxFigureAge.Milliseconds()))*time.Millisecond
	if r.SpeedPercent < minSpeedPercent || r.SpeedPercent > maxSpeedPercent {
		return
	}
	known := t.record(key)
	if known.hasFigure && known.figureAt >= at {
		return
	}
	known.figureLog, known.figureAt, known.hasFigure = math.Log(r.SpeedPercent/percentUsual), at, true
}

// minSpeedPercent and maxSpeedPercent bound the figures that other instances report.
const (
	minSpeedPercent = 1
	maxSpeedPercent = 100_000
)

// RemovePeer drops the measurements of another instance.
func (t *Tracker) RemovePeer(instance string, now time.Duration) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, s := range t.reports[instance] {
		t.peerSums[key] = t.peerSums[key].decayed(now).plus(s.decayed(now).negated())
	}
	delete(t.reports, instance)
}
