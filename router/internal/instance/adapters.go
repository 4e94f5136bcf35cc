package instance

import (
	"context"

	"github.com/samber/lo"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/app/cleanup"
	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/port"
)

// openRequests counts and ends the open requests of the model path and the service path.
type openRequests struct {
	models   *modelpath.InflightRegistry
	services *servicepath.Forwarder
	stop     *plannedstop.Signals
}

// Open implements drain.OpenRequests and operators.Requests.
func (o *openRequests) Open() int { return int(o.models.OpenRequests()) + o.services.OpenCalls() }

// EndWaits implements drain.OpenRequests. Calls of plain services wait for a second at most and are left out.
func (o *openRequests) EndWaits() {
	o.stop.EndWaits()
	o.models.EndWaits()
}

// EndAll implements drain.OpenRequests.
func (o *openRequests) EndAll() {
	o.models.CancelAll()
	o.services.CancelOpenCalls()
}

// Wait waits for calls that continue after their callers have disconnected.
func (o *openRequests) Wait(ctx context.Context) error { return o.services.WaitBackground(ctx) }

// drainAnnouncer marks the heartbeats of this instance as draining during a planned stop.
type drainAnnouncer struct{ *membership.Service }

// AnnounceDraining implements drain.Announcer.
func (a drainAnnouncer) AnnounceDraining() { a.MarkDraining() }

// shareLister lists the quota shares that this instance holds.
type shareLister struct{ *quotasync.Admission }

// Shares implements operators.Shares.
func (s shareLister) Shares() []operators.Share {
	return lo.Map(s.CustomerShares(), func(h quotasync.CustomerShare, _ int) operators.Share {
		return operators.Share{
			Customer: h.Customer, Rate: h.Share.Rate, Burst: h.Share.Burst,
			Level: float64(h.AvailableTokens), Lent: float64(h.ReservedTokens),
		}
	})
}

// peerReservations handles reservation messages from peers.
type peerReservations struct{ *reservations.Service }

// ReceiveReserve implements peerhttp.ReservationReceiver.
func (r peerReservations) ReceiveReserve(ctx context.Context, m peer.ReserveRequest) (peer.ReserveReply, error) {
	return r.HandleReserve(ctx, m), nil
}

// ReceiveRelease implements peerhttp.ReservationReceiver.
func (r peerReservations) ReceiveRelease(_ context.Context, m peer.ReleaseRequest) error {
	r.HandleRelease(m)
	return nil
}

// peerClaims answers claim queries from peers.
type peerClaims struct{ *servicepath.Forwarder }

// ReceiveClaims implements peerhttp.ClaimsReceiver.
func (c peerClaims) ReceiveClaims(_ context.Context, m peer.ClaimsRequest) (peer.ClaimsReply, error) {
	return c.HandleClaims(m), nil
}

// peerAttempts answers queries from peers about attempts in flight.
type peerAttempts struct{ port.Inflight }

// ReceiveInflight implements peerhttp.InflightReceiver.
func (a peerAttempts) ReceiveInflight(_ context.Context, m peer.InflightRequest) (peer.InflightReply, error) {
	return cleanup.HandleInflightRequest(a.Inflight, m), nil
}
