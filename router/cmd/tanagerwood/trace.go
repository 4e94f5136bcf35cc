package main

import (
	"encoding/json"
	"io"

	"tanagerwood.dev/api/event"
)

// span tells which events begin and end a part of a request in the Chrome trace.
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

// traceEvent is an entry of Chrome's trace-event format.
type traceEvent struct {
	Name     string            `json:"name"`
	Category string            `json:"cat,omitempty"`
	Phase    string            `json:"ph"`
	Scope    string            `json:"s,omitempty"`
	ID       string            `json:"id,omitempty"`
	Process  int               `json:"pid"`
	Thread   int               `json:"tid"`
	Micros   float64           `json:"ts"`
	Args     map[string]string `json:"args,omitempty"`
}

type trace struct {
	Events []traceEvent `json:"traceEvents"`
}

// encodeTrace writes ordered events: the parts of requests as asynchronous spans, all else as instants.
func encodeTrace(w io.Writer, events []event.Event) error {
	t := trace{Events: []traceEvent{}}
	processes := make(map[string]int)
	for _, e := range events {
		id, known := processes[e.Process]
		if !known {
			id = len(processes) + 1
			processes[e.Process] = id
			t.Events = append(t.Events, traceEvent{Name: "process_name", Phase: "M", Process: id, Args: map[string]string{"name": e.Process}})
		}
		t.Events = append(t.Events, traceOf(e, id))
	}
	return json.NewEncoder(w).Encode(t)
}

func traceOf(e event.Event, process int) traceEvent {
	out := traceEvent{Name: string(e.Kind), Phase: "i", Scope: "p", Process: process, Thread: 1, Micros: traceMicros(e.Clock), Args: make(map[string]string)}
	for _, f := range fields(e) {
		out.Args[f.name] = f.value
	}
	part, ok := spans[e.Kind]
	if !ok || e.Request == "" {
		return out
	}
	out.Name, out.Category, out.Scope, out.ID = part.name, "request", "", e.Request
	out.Phase = "e"
	if part.begin {
		out.Phase = "b"
	}
	return out
}

// traceMicros puts the logical counter below the millisecond, so that the viewer keeps the causal order.
func traceMicros(clock uint64) float64 {
	const microsPerMilli = 1000
	counter := clock & (1<<counterBits - 1)
	return float64(clock>>counterBits)*microsPerMilli + float64(min(counter, microsPerMilli-1))
}
