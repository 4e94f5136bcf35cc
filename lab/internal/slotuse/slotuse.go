// Package slotuse computes from the log lines of "tanagerwood node" the utilization of the decode slots while requests waited
// for them, that is, how much of the capacity was used during overload.
package slotuse

import (
	"errors"
	"io"
	"math"
	"time"

	"tanagerwood.dev/lab/internal/loglines"
)

// Window is the interval over which utilization is averaged; streams last some seconds.
const Window = 2 * time.Second

// minWaitingOverloaded is the mean number of waiting requests from which a window counts as overloaded.
const minWaitingOverloaded = 1

// Utilization is the utilization of the decode slots in one window.
type Utilization struct {
	Begin time.Time
	// Busy is the mean number of slots with a stream, Slots the mean number of slots of all listed decode engines.
	Busy, Slots float64
	// Waiting is the mean number of requests that waited for a slot, Refused the number of those that got no slot.
	Waiting float64
	Refused int
}

// Overloaded reports whether enough requests waited for slots for the window to count as overloaded.
func (u Utilization) Overloaded() bool { return u.Waiting >= minWaitingOverloaded }

// Result is the utilization over a whole log.
type Result struct {
	Windows []Utilization
}

// Ratio returns the fraction of the slots that streams occupied in the overloaded windows, and the number of these windows.
func (r Result) Ratio() (ratio float64, windows int) {
	var busy, slots float64
	for _, u := range r.Windows {
		if u.Overloaded() {
			busy, slots, windows = busy+u.Busy, slots+u.Slots, windows+1
		}
	}
	if slots == 0 {
		return 0, windows
	}
	return busy / slots, windows
}

// line holds the fields of a log line that are evaluated.
type line struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Endpoint string    `json:"endpoint"`
	Stage    string    `json:"stage"`
	Prompt   int64     `json:"prompt"`
	TookMS   float64   `json:"took_ms"`
	WaitedMS float64   `json:"waited_ms"`
	// PrefillMS is the time of the prefill, during which the slot is reserved.
	PrefillMS float64 `json:"prefill_ms"`
	Kind      string  `json:"kind"`
}

type span struct{ from, to time.Time }

// reader collects the intervals and times found in the log lines.
type reader struct {
	streams, queueWaits []span
	refusals            []time.Time
	// decoding holds, by engine, the time since which it is listed for decoding; engines are the listed times that have ended.
	decoding    map[string]time.Time
	engines     []span
	first, last time.Time
}

// Read computes the utilization from log lines, which may have a prefix before the JSON object. slots is the number of slots of
// each engine.
func Read(in io.Reader, slots int) (Result, error) {
	r := &reader{decoding: map[string]time.Time{}}
	err := loglines.Read(in, func(l line) {
		if !l.Time.IsZero() {
			r.add(l)
		}
	})
	if err != nil {
		return Result{}, err
	}
	if len(r.streams) == 0 {
		return Result{}, errors.New("the log has no streams; give the lines of \"tanagerwood node\" at log level info")
	}
	return r.result(float64(slots)), nil
}

func (r *reader) add(l line) {
	if r.first.IsZero() || l.Time.Before(r.first) {
		r.first = l.Time
	}
	if l.Time.After(r.last) {
		r.last = l.Time
	}
	switch l.Event {
	case "endpoint.listed":
		r.addEngine(l)
	case "endpoint.gone":
		r.removeEngine(l)
	case "request.ended":
		r.addRequest(l)
	}
}

// addEngine records a decode engine. All instances log it; the first line counts.
func (r *reader) addEngine(l line) {
	if l.Stage != "decode" {
		r.removeEngine(l)
		return
	}
	if _, known := r.decoding[l.Endpoint]; !known {
		r.decoding[l.Endpoint] = l.Time
	}
}

func (r *reader) removeEngine(l line) {
	if since, known := r.decoding[l.Endpoint]; known {
		r.engines = append(r.engines, span{since, l.Time})
		delete(r.decoding, l.Endpoint)
	}
}

func (r *reader) addRequest(l line) {
	if l.Prompt == 0 {
		return
	}
	began := l.Time.Add(-millis(l.TookMS))
	placed := began.Add(millis(l.WaitedMS))
	if l.WaitedMS > 0 {
		r.queueWaits = append(r.queueWaits, span{began, placed})
	}
	switch {
	case l.Kind == "overloaded":
		r.refusals = append(r.refusals, l.Time)
	case l.PrefillMS > 0:
		r.streams = append(r.streams, span{placed, l.Time})
	}
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func (r *reader) result(slots float64) Result {
	for _, since := range r.decoding {
		r.engines = append(r.engines, span{since, r.last})
	}
	count := int(math.Ceil(float64(r.last.Sub(r.first)) / float64(Window)))
	out := Result{Windows: make([]Utilization, count)}
	for n := range out.Windows {
		begin := r.first.Add(time.Duration(n) * Window)
		w := span{begin, begin.Add(Window)}
		u := Utilization{Begin: begin, Busy: w.mean(r.streams), Slots: slots * w.mean(r.engines), Waiting: w.mean(r.queueWaits)}
		for _, at := range r.refusals {
			if !at.Before(w.from) && at.Before(w.to) {
				u.Refused++
			}
		}
		out.Windows[n] = u
	}
	return out
}

// mean returns the mean number of spans that were open in the window.
func (w span) mean(spans []span) float64 {
	var sum time.Duration
	for _, s := range spans {
		from, to := s.from, s.to
		if from.Before(w.from) {
			from = w.from
		}
		if to.After(w.to) {
			to = w.to
		}
		sum += max(0, to.Sub(from))
	}
	return float64(sum) / float64(w.to.Sub(w.from))
}
