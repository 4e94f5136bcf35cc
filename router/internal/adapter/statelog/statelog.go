// Package statelog writes one JSON line for each change of state and nothing per request. Counters tell the rest.
package statelog

import (
	"io"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/port"
)

// levels are the event kinds that are changes of state, with the level of their log line. Events of single requests,
// loans and cancels are absent: they are in the timeline and in the counters.
var levels = map[event.Kind]log.Level{
	event.ProcessStarted:     log.InfoLevel,
	event.ProcessStopping:    log.InfoLevel,
	event.ConfigApplied:      log.InfoLevel,
	event.ConfigRejected:     log.ErrorLevel,
	event.KeyWithdrawn:       log.InfoLevel,
	event.MemberAlive:        log.InfoLevel,
	event.MemberSuspected:    log.WarnLevel,
	event.RosterChanged:      log.InfoLevel,
	event.ConfirmationLost:   log.WarnLevel,
	event.ConfirmationGained: log.InfoLevel,
	event.ShareChanged:       log.InfoLevel,
	event.EndpointLeaving:    log.InfoLevel,
	event.EndpointLost:       log.WarnLevel,
	event.EndpointBack:       log.InfoLevel,
	event.OrderRefused:       log.WarnLevel,
}

// NewLogger returns a logger that writes JSON lines of at least the level, which is debug, info, warn or error.
func NewLogger(w io.Writer, level, instance string) *log.Logger {
	return newLogger(&log.IOWriter{Writer: w}, level, instance)
}

// NewAsyncLogger returns a logger as NewLogger does that never blocks.
func NewAsyncLogger(w *AsyncWriter, level, instance string) *log.Logger {
	return newLogger(w, level, instance)
}

func newLogger(w log.Writer, level, instance string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("instance", instance).Value(),
		Writer:     w,
	}
}

// Recorder records events in a timeline and logs those that are changes of state. It implements port.EventLog.
type Recorder struct {
	timeline port.EventLog
	logger   *log.Logger
}

// NewRecorder returns a recorder.
func NewRecorder(timeline port.EventLog, logger *log.Logger) *Recorder {
	return &Recorder{timeline: timeline, logger: logger}
}

// Record implements port.EventLog.
func (r *Recorder) Record(e event.Event) {
	r.timeline.Record(e)
	level, ok := levels[e.Kind]
	if !ok {
		return
	}
	entry := r.logger.WithLevel(level).Str("event", string(e.Kind))
	for _, field := range []struct{ name, value string }{
		{"customer", e.Customer}, {"endpoint", e.Endpoint}, {"detail", e.Detail},
	} {
		if field.value != "" {
			entry = entry.Str(field.name, field.value)
		}
	}
	entry.Msg("")
}
