package dispatch

import (
	"context"
	"sync"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
	"tanagerwood.dev/router/internal/domain/speed"
)

// Slot is an acquired slot at a decode engine. Release must be called.
type Slot struct {
	Endpoint routing.Endpoint
	// Reservation is nil if the engine grants no reservations.
	Reservation *routing.Reservation

	dispatcher *Dispatcher
	service    string
	demand     routing.Demand
	load       inflight.Load
	// outputTokens is the number of tokens generated so far, tokensPerEvent the number of tokens in an event of the engine's
	// streams.
	outputTokens   int64
	tokensPerEvent int64
	acquiredAt     time.Duration
	used           bool
	// admitted is set if the engine had a request limit when the slot was acquired, which admitted the request.
	admitted         bool
	shortageRecorded bool
	once             sync.Once
}

// newSlot records the load at once, so that concurrent requests take it into account.
func (d *Dispatcher) newSlot(req *SlotRequest, ep routing.Endpoint) *Slot {
	s := &Slot{Endpoint: ep, dispatcher: d, service: req.Service, demand: req.Demand, acquiredAt: d.SinceBoot(),
		load: inflight.Load{Requests: 1, Tokens: d.MemoryEstimator.RequestMemory(req.Service, req.Demand, 0)}}
	s.admitted = d.Limits.Limited(ep)
	if _, engine := d.engineSize(req.Service); engine != nil {
		s.tokensPerEvent = engine.EventTokens
	}
	d.EndpointLoad.Add(ep.ID, s.load)
	return s
}

// AcquiredAt returns the time since boot at which the slot was acquired.
func (s *Slot) AcquiredAt() time.Duration { return s.acquiredAt }

// Admitted reports whether the request was admitted by the engine's request limit. A limit that the engine has announced since
// then has not admitted it.
func (s *Slot) Admitted() bool { return s.admitted }

// MarkUsed marks the reservation as used, so that Release does not release it at the engine.
func (s *Slot) MarkUsed() { s.used = true }

// RecordEvents counts events of the stream and updates the estimate of the request's memory.
func (s *Slot) RecordEvents(events int) {
	s.outputTokens += int64(events) * s.tokensPerEvent
	tokens := s.dispatcher.MemoryEstimator.RequestMemory(s.service, s.demand, s.outputTokens)
	if grown := tokens - s.load.Tokens; grown >= memoryUpdateTokens || grown <= -memoryUpdateTokens {
		s.dispatcher.EndpointLoad.Add(s.Endpoint.ID, inflight.Load{Tokens: grown})
		s.load.Tokens = tokens
	}
}

// memoryWaitThreshold is the time to the first event, or the gap between events, above which the stream has waited for memory.
// Without a wait, the KV cache of a prompt that another engine has processed is transferred in about 10 ms.
const memoryWaitThreshold = 250 * time.Millisecond

// RecordEventGap records a gap between events of the stream. An engine that preempts a request stalls its stream and processes
// its prompt again before the other streams continue.
func (s *Slot) RecordEventGap(gap time.Duration) {
	if gap > memoryWaitThreshold && !s.shortageRecorded {
		s.shortageRecorded = true
		s.dispatcher.MemoryEstimator.RecordShortage(s.service)
	}
}

// RecordFirstEvent records the time to the first event of a stream whose prompt was processed by a prefill engine.
func (s *Slot) RecordFirstEvent(delay time.Duration) {
	work := speed.Work{Service: s.service, Step: speed.FirstEvent}
	s.dispatcher.Speeds.Record(s.Endpoint, work, 1, delay, s.dispatcher.SinceBoot())
	s.dispatcher.Pace.RecordAnswer(s.Endpoint, s.dispatcher.SinceBoot())
	if delay > memoryWaitThreshold {
		s.dispatcher.MemoryEstimator.RecordShortage(s.service)
		return
	}
	s.dispatcher.MemoryEstimator.RecordFit(s.service)
}

// RecordCompletion records that the request was served to its end.
func (s *Slot) RecordCompletion() {
	s.dispatcher.MemoryEstimator.RecordOutput(s.service, s.demand, s.outputTokens)
}

// SetLocalPrefill records whether the decode engine is processing the request's prompt itself.
func (s *Slot) SetLocalPrefill(active bool) {
	count := 1
	if !active {
		count = -1
	}
	s.dispatcher.EndpointLoad.Add(s.Endpoint.ID, inflight.Load{LocalPrefills: count})
	s.dispatcher.OnChange()
}

// Release ends the request's use of the slot. Further calls have no effect.
func (s *Slot) Release() {
	s.once.Do(func() {
		d := s.dispatcher
		d.EndpointLoad.Subtract(s.Endpoint.ID, s.load)
		d.OnChange()
		if s.used {
			d.Timings.RecordHold(s.service, d.SinceBoot()-s.acquiredAt)
		}
		if s.Reservation != nil && !s.used {
			go d.releaseReservation(*s.Reservation)
		}
		d.mu.Lock()
		delete(d.fullUntil, s.Endpoint.ID)
		d.dispatchAll()
		d.mu.Unlock()
	})
}

func (d *Dispatcher) releaseReservation(r routing.Reservation) {
	if d.State.Paused(r.Endpoint) {
		return // the reservation expires at the engine
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.Engines.Release(ctx, r); err != nil {
		d.Logger.Info().Str("event", "reservation.not_released").Str("endpoint", r.Endpoint.ID).Err(err).Msg("the reservation expires at the engine")
	}
}
