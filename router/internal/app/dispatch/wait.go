package dispatch

import (
	"context"
	"slices"
	"time"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/domain/regions"
	"tanagerwood.dev/router/internal/domain/waitlist"
	"tanagerwood.dev/router/internal/fault"
)

// waitForSlot adds the request to the wait list even if a slot is free, so that requests of all instances are served in one
// order. The load of the returned slot is already recorded.
func (d *Dispatcher) waitForSlot(ctx context.Context, req *SlotRequest) (*Slot, error) {
	granted := make(chan *Slot, 1)
	entry := &waitlist.Entry{
		ID: req.RequestID, Tokens: d.MemoryEstimator.RequestMemory(req.Service, req.Demand, 0), LatestStart: req.SlotDeadline,
		ExcludedEngines: req.Exclude, Allowed: req.Allowed, Class: req.Class, Reserved: req.Reserved,
	}
	entry.OnDecision = func(engine *routing.Endpoint) {
		if engine == nil {
			granted <- nil
			return
		}
		granted <- d.newSlot(req, *engine)
	}
	d.mu.Lock()
	list := d.waitlistFor(req.Service)
	list.Add(entry)
	d.dispatchService(req.Service)
	queued := len(granted) == 0
	waiting := list.Len()
	d.mu.Unlock()
	if queued {
		select {
		case d.waitStarted <- struct{}{}:
		default:
		}
		d.OnChange()
		defer d.OnChange()
	}
	select {
	case <-ctx.Done():
		d.removeWaiting(list, entry, granted)
		return nil, fault.Wrap(ctx.Err(), fault.CallerDisconnected, openai.NotRun, "the caller is gone")
	case <-req.Stop:
		d.removeWaiting(list, entry, granted)
		return nil, plannedstop.Error()
	case slot := <-granted:
		if slot != nil {
			return slot, nil
		}
	}
	if d.hasNoEngine(req.Service, req.Allowed) {
		return nil, d.noEngineError()
	}
	d.Logger.Info().Str("event", "place.none").Str("request", req.RequestID).Int("waiting", waiting).
		Dur("place_held", d.Timings.MeanHoldTime(req.Service)).Dur("past_on_time", d.SinceBoot()-req.SlotDeadline).Msg("")
	return nil, fault.New(fault.Overloaded, "all engines are busy; come back after Retry-After").WithRetryAfter(d.retryAfter(req.Service))
}

// hasNoEngine reports whether a request has no engine, because all domains with engines are evacuated or no engine is in a region that it
// allows.
func (d *Dispatcher) hasNoEngine(service string, allowed regions.Filter) bool {
	if allowed == nil {
		return d.State.AllEvacuated(service, routing.Decode)
	}
	return !slices.ContainsFunc(d.State.Stage(service, routing.Decode), func(ep routing.Endpoint) bool { return allowed(ep.Domain) })
}

// noEngineError returns the error of a request for which hasNoEngine is true.
func (d *Dispatcher) noEngineError() error {
	return fault.New(fault.Overloaded, "all engines that the request may use are in evacuated domains or missing; come back after Retry-After").
		WithRetryAfter(minRetryAfter + time.Duration(d.Random()*float64(retryJitter)))
}

// isClosed reports whether a channel is closed; a nil channel is not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// removeWaiting removes a request that waits no longer from the wait list, and releases the slot if one was assigned at the same time.
func (d *Dispatcher) removeWaiting(list *waitlist.List, entry *waitlist.Entry, granted chan *Slot) {
	d.mu.Lock()
	removed := list.Remove(entry)
	d.mu.Unlock()
	if !removed {
		if slot := <-granted; slot != nil {
			d.EndpointLoad.Subtract(slot.Endpoint.ID, slot.load)
		}
	}
}

// retryAfter is when a refused caller should retry: about when the slots held now are free again, with a jitter of the same size
// so that the retries do not arrive as another burst.
func (d *Dispatcher) retryAfter(service string) time.Duration {
	hold := d.Timings.MeanHoldTime(service)
	if hold == 0 {
		hold = defaultHoldTime
	}
	delay := time.Duration((0.5 + d.Random()) * float64(hold))
	return min(max(delay, minRetryAfter), maxRetryAfter)
}

func (d *Dispatcher) waitlistFor(service string) *waitlist.List {
	l := d.waitlists[service]
	if l == nil {
		l = &waitlist.List{}
		d.waitlists[service] = l
	}
	return l
}
