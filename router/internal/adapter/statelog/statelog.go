// Package statelog logs each change of state as one JSON line. It logs nothing per request; metrics cover requests.
package statelog

import (
	"io"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/port"
)

// stateChangeLevels maps the event kinds that are changes of state to their log levels. Events of single requests, loans and
// cancellations are not logged; the timeline and the metrics contain them.
var stateChangeLevels = map[event.Kind]log.Level{
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

// NewLogger returns a logger that writes JSON lines to w at the given minimum level: debug, info, warn or error.
func NewLogger(w io.Writer, level, instance string) *log.Logger {
	return newLogger(&log.IOWriter{Writer: w}, level, instance)
}

// NewAsyncLogger is like NewLogger, but the logger never blocks.
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

// Recorder implements port.EventLog. It records events in a timeline and logs those that are changes of state.
type Recorder struct {
	timeline port.EventLog
	logger   *log.Logger
}

// NewRecorder returns a Recorder that records to timeline and logs to logger.
func NewRecorder(timeline port.EventLog, logger *log.Logger) *Recorder {
	return &Recorder{timeline: timeline, logger: logger}
}

// Record implements port.EventLog.
func (r *Recorder) Record(e event.Event) {
	r.timeline.Record(e)
	level, ok := stateChangeLevels[e.Kind]
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
