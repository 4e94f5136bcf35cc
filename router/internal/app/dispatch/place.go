package dispatch

import (
	"context"
	"sync"
	"time"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/inflight"
)

// Slot is a place at a decode engine. Release must be called.
type Slot struct {
	Endpoint routing.Endpoint
	// Reservation is nil if the engine grants none.
	Reservation *routing.Reservation

	dispatcher *Dispatcher
	service    string
	demand     routing.Demand
	amount     inflight.Load
	// made is the output as of the last progress, in tokens; perEvent the tokens in an event of the engine's streams.
	made     int64
	perEvent int64
	began    time.Duration
	used     bool
	paused   bool
	once     sync.Once
}

// newPlace enters the work in the book, so that requests that come at the same time see it.
func (d *Dispatcher) newPlace(job *SlotRequest, ep routing.Endpoint) *Slot {
	p := &Slot{Endpoint: ep, dispatcher: d, service: job.Service, demand: job.Demand, began: d.SinceBoot(),
		amount: inflight.Load{Requests: 1, Tokens: d.MemoryEstimator.Memory(job.Service, job.Demand, 0)}}
	if _, engine := d.size(job.Service); engine != nil {
		p.perEvent = engine.EventTokens
	}
	d.EndpointLoad.Add(ep.ID, p.amount)
	return p
}

// MarkUsed marks the reservation as used, so that Release does not give it back.
func (p *Slot) MarkUsed() { p.used = true }

// RecordEvents counts events of the stream, so that the memory that the request uses is known.
func (p *Slot) RecordEvents(events int) {
	p.made += int64(events) * p.perEvent
	tokens := p.dispatcher.MemoryEstimator.Memory(p.service, p.demand, p.made)
	if grown := tokens - p.amount.Tokens; grown >= progressStep || grown <= -progressStep {
		p.dispatcher.EndpointLoad.Add(p.Endpoint.ID, inflight.Load{Tokens: grown})
		p.amount.Tokens = tokens
	}
}

// crowdedStart is the time to the first event after which a stream whose prompt was read before has waited for memory. Without
// a wait the KV cache is moved in some 10 ms.
const crowdedStart = 250 * time.Millisecond

// RecordEventGap notes a pause between events of the stream. An engine that puts a request back makes its stream wait, and reads its prompt
// again before the others go on.
func (p *Slot) RecordEventGap(took time.Duration) {
	if took > crowdedStart && !p.paused {
		p.paused = true
		p.dispatcher.MemoryEstimator.RecordShortage(p.service)
	}
}

// RecordFirstEvent notes how long the first event of a stream took whose prompt was read elsewhere.
func (p *Slot) RecordFirstEvent(took time.Duration) {
	if took > crowdedStart {
		p.dispatcher.MemoryEstimator.RecordShortage(p.service)
		return
	}
	p.dispatcher.MemoryEstimator.RecordFit(p.service)
}

// RecordCompletion notes that the request was served to its end.
func (p *Slot) RecordCompletion() {
	p.dispatcher.MemoryEstimator.RecordOutput(p.service, p.demand, p.made)
}

// SetLocalPrefill notes that the engine reads the request's prompt itself, or has read it.
func (p *Slot) SetLocalPrefill(reads bool) {
	count := 1
	if !reads {
		count = -1
	}
	p.dispatcher.EndpointLoad.Add(p.Endpoint.ID, inflight.Load{LocalPrefills: count})
	p.dispatcher.OnChange()
}

// Release ends the work at the place.
func (p *Slot) Release() {
	p.once.Do(func() {
		d := p.dispatcher
		d.EndpointLoad.Subtract(p.Endpoint.ID, p.amount)
		d.OnChange()
		if p.used {
			d.Timings.RecordHold(p.service, d.SinceBoot()-p.began)
		}
		if p.Reservation != nil && !p.used {
			go d.giveBack(*p.Reservation)
		}
		d.mu.Lock()
		delete(d.full, p.Endpoint.ID)
		d.dispatchAll()
		d.mu.Unlock()
	})
}

func (d *Dispatcher) giveBack(r routing.Reservation) {
	if d.State.Paused(r.Endpoint) {
		return // the reservation lapses by itself
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := d.Engines.Release(ctx, r); err != nil {
		d.Logger.Info().Str("event", "reservation.not_released").Str("endpoint", r.Endpoint.ID).Err(err).Msg("it lapses by itself")
	}
}
