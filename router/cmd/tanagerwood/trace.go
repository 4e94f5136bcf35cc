package main

import (
	"encoding/json"
	"io"
	"slices"
	"strings"

	"tanagerwood.dev/api/event"
)

// span describes an event that begins or ends a part of a request in the Chrome trace.
type span struct {
	name  string
	begin bool
}

var spans = map[event.Kind]span{
	event.RequestAccepted: {"request", true},
	event.RequestEnded:    {"request", false},
	event.PrefillStarted:  {"prefill", true},
	event.PrefillEnded:    {"prefill", false},
	event.TransferStarted: {"transfer", true},
	event.TransferEnded:   {"transfer", false},
	event.DecodeStarted:   {"decode", true},
	event.DecodeEnded:     {"decode", false},
	event.ServiceSent:     {"service", true},
	event.ServiceAnswered: {"service", false},
}

// endsAllSpans holds the events that end all open spans of an attempt, or of all attempts of a request.
var endsAllSpans = map[event.Kind]bool{
	event.AttemptFailed:    true,
	event.AttemptCancelled: true,
	event.RequestEnded:     true,
}

// traceEvent is an entry of Chrome's trace-event format.
type traceEvent struct {
	Name     string            `json:"name"`
	Category string            `json:"cat,omitempty"`
	Phase    string            `json:"ph"`
	Scope    string            `json:"s,omitempty"`
	ID       *traceID          `json:"id2,omitempty"`
	Process  int               `json:"pid"`
	Thread   int               `json:"tid"`
	Micros   float64           `json:"ts"`
	Args     map[string]string `json:"args,omitempty"`
}

// traceID identifies a span within its process, because router and engine both have spans of the same attempt.
type traceID struct {
	Local string `json:"local"`
}

type trace struct {
	Events []traceEvent `json:"traceEvents"`
}

// openSpan is a span that has begun but not ended.
type openSpan struct {
	process int
	request string
	name    string
}

// tracer converts events to a trace: parts of requests become asynchronous spans, all other events become instant events.
type tracer struct {
	trace
	processes map[string]int
	open      []openSpan
}

// encodeTrace writes ordered events as a Chrome trace.
func encodeTrace(w io.Writer, events []event.Event) error {
	t := &tracer{trace: trace{Events: []traceEvent{}}, processes: make(map[string]int)}
	for _, e := range events {
		t.add(e)
	}
	return json.NewEncoder(w).Encode(t.trace)
}

func (t *tracer) add(e event.Event) {
	process := t.process(e.Process)
	part, isSpan := spans[e.Kind]
	isSpan = isSpan && e.Request != ""
	s := openSpan{process: process, request: e.Request, name: part.name}
	switch {
	case e.Request != "" && endsAllSpans[e.Kind]:
		t.endAll(process, e)
		if e.Kind != event.RequestEnded {
			t.emit(e, traceEvent{Name: string(e.Kind), Phase: "i", Scope: "p", Process: process})
		}
	case isSpan && part.begin:
		// A router detects the end of a transfer only by the start of the decode that follows.
		t.end(e, openSpan{process: process, request: e.Request, name: spans[event.TransferStarted].name})
		t.open = append(t.open, s)
		t.emit(e, spanEvent(s, "b"))
	case isSpan:
		t.end(e, s)
	default:
		t.emit(e, traceEvent{Name: string(e.Kind), Phase: "i", Scope: "p", Process: process})
	}
}

// process returns the ID of a process, which it assigns at the first event of the process.
func (t *tracer) process(name string) int {
	id, known := t.processes[name]
	if !known {
		id = len(t.processes) + 1
		t.processes[name] = id
		t.Events = append(t.Events, traceEvent{Name: "process_name", Phase: "M", Process: id, Args: map[string]string{"name": name}})
	}
	return id
}

// end ends a span if it is open.
func (t *tracer) end(e event.Event, s openSpan) {
	i := slices.Index(t.open, s)
	if i >= 0 {
		t.open = slices.Delete(t.open, i, i+1)
		t.emit(e, spanEvent(s, "e"))
	}
}

// endAll ends the open spans of a request and its attempts at the process, the newest first.
func (t *tracer) endAll(process int, e event.Event) {
	for _, s := range slices.Backward(slices.Clone(t.open)) {
		if s.process == process && (s.request == e.Request || strings.HasPrefix(s.request, e.Request+".")) {
			t.end(e, s)
		}
	}
}

func spanEvent(s openSpan, phase string) traceEvent {
	return traceEvent{Name: s.name, Category: "request", Phase: phase, ID: &traceID{Local: s.request}, Process: s.process}
}

func (t *tracer) emit(e event.Event, out traceEvent) {
	out.Thread, out.Micros, out.Args = 1, traceMicros(e.Clock), make(map[string]string)
	for _, f := range fields(e) {
		out.Args[f.name] = f.value
	}
	t.Events = append(t.Events, out)
}

// traceMicros adds the logical counter as microseconds below the millisecond, so that the viewer keeps the causal order.
func traceMicros(clock uint64) float64 {
	const microsPerMilli = 1000
	counter := clock & (1<<counterBits - 1)
	return float64(clock>>counterBits)*microsPerMilli + float64(min(counter, microsPerMilli-1))
}
