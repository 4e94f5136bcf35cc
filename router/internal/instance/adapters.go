package instance

import (
	"context"

	"github.com/samber/lo"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/adapter/operators"
	"tanagerwood.dev/router/internal/app/cleanup"
	"tanagerwood.dev/router/internal/app/membership"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/quotasync"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/port"
)

// openRequests counts and ends the requests of both paths.
type openRequests struct {
	models   *modelpath.InflightRegistry
	services *servicepath.Forwarder
}

// Open implements drain.Requests and operators.Requests.
func (o *openRequests) Open() int { return int(o.models.OpenRequests()) + o.services.OpenCalls() }

// EndAll implements drain.Requests.
func (o *openRequests) EndAll() {
	o.models.CancelAll()
	o.services.CancelOpenCalls()
}

// Wait waits for calls that go on without their callers.
func (o *openRequests) Wait(ctx context.Context) error { return o.services.WaitBackground(ctx) }

// announcer makes the heartbeats of a planned stop say so.
type announcer struct{ *membership.Service }

// AnnounceDraining implements drain.Announcer.
func (a announcer) AnnounceDraining() { a.MarkDraining() }

// shares shows the shares that this instance holds.
type shares struct{ *quotasync.Admission }

// Shares implements operators.Shares.
func (s shares) Shares() []operators.Share {
	return lo.Map(s.CustomerShares(), func(h quotasync.CustomerShare, _ int) operators.Share {
		return operators.Share{
			Customer: h.Customer, Rate: h.Share.Rate, Burst: h.Share.Burst,
			Level: float64(h.AvailableTokens), Lent: float64(h.ReservedTokens),
		}
	})
}

// peerReservations answers peers' messages about reservations.
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

// peerClaims answers peers' questions about claims.
type peerClaims struct{ *servicepath.Forwarder }

// ReceiveClaims implements peerhttp.ClaimsReceiver.
func (c peerClaims) ReceiveClaims(_ context.Context, m peer.ClaimsRequest) (peer.ClaimsReply, error) {
	return c.HandleClaims(m), nil
}

// peerAttempts answers peers' questions about attempts in flight.
type peerAttempts struct{ port.Inflight }

// ReceiveInflight implements peerhttp.InflightReceiver.
func (a peerAttempts) ReceiveInflight(_ context.Context, m peer.InflightRequest) (peer.InflightReply, error) {
	return cleanup.HandleInflightRequest(a.Inflight, m), nil
}
