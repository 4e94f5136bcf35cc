package peerhttp

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/fault"
)

// HeartbeatReceiver receives a peer's heartbeat and answers with its own.
type HeartbeatReceiver interface {
	ReceiveHeartbeat(ctx context.Context, m peer.Heartbeat) (peer.Heartbeat, error)
}

// ConfirmReceiver answers whether a peer may go on using its shares.
type ConfirmReceiver interface {
	ReceiveConfirm(ctx context.Context, m peer.ConfirmRequest) (peer.ConfirmReply, error)
}

// RemovalReceiver votes on removing a member from the roster.
type RemovalReceiver interface {
	ReceiveRemoval(ctx context.Context, m peer.RemovalRequest) (peer.RemovalReply, error)
}

// SnapshotReceiver gives the configuration in force.
type SnapshotReceiver interface {
	ReceiveSnapshot(ctx context.Context) (peer.Snapshot, error)
}

// LoanReceiver lends tokens and takes back loans.
type LoanReceiver interface {
	ReceiveLoan(ctx context.Context, m peer.LoanRequest) (peer.LoanReply, error)
	ReceiveLoanDone(ctx context.Context, m peer.LoanDone) error
}

// ReservationReceiver reserves and releases slots of the endpoints that this instance owns.
type ReservationReceiver interface {
	ReceiveReserve(ctx context.Context, m peer.ReserveRequest) (peer.ReserveReply, error)
	ReceiveRelease(ctx context.Context, m peer.ReleaseRequest) error
}

// InflightReceiver tells which attempts this instance does not have in flight.
type InflightReceiver interface {
	ReceiveInflight(ctx context.Context, m peer.InflightRequest) (peer.InflightReply, error)
}

// ClaimsReceiver tells whether this instance has sent a call for a claim.
type ClaimsReceiver interface {
	ReceiveClaims(ctx context.Context, m peer.ClaimsRequest) (peer.ClaimsReply, error)
}

// Receivers holds the receiver of each kind of message. A message whose receiver is nil is answered with 503.
type Receivers struct {
	Heartbeats    HeartbeatReceiver
	Confirmations ConfirmReceiver
	Removals      RemovalReceiver
	Snapshots     SnapshotReceiver
	Loans         LoanReceiver
	Reservations  ReservationReceiver
	Inflight      InflightReceiver
	Claims        ClaimsReceiver
}

// Size limits of bodies. A heartbeat of 340 members with full entries is about 130 KB; a snapshot holds a platform
// object of at most 1 MB and the instance list.
const (
	maxSmallBytes     = 64 << 10
	maxHeartbeatBytes = 1 << 20
	maxInflightBytes  = 1 << 20
	maxReplyBytes     = 4 << 20
)

const bearerPrefix = "Bearer "

// NewHandler returns the handler of the peer port. It refuses every call if token is empty. The log's clock is
// observed only on calls that carry the token.
func NewHandler(token string, log *event.Log, s Receivers) http.Handler {
	mux := http.NewServeMux()
	routeMembership(mux, s)
	routeWork(mux, s)
	return authorize(token, log.Handler(mux))
}

func routeMembership(mux *http.ServeMux, s Receivers) {
	if s.Heartbeats != nil {
		handle(mux, peer.PathHeartbeat, maxHeartbeatBytes, s.Heartbeats.ReceiveHeartbeat)
	} else {
		unavailable(mux, peer.PathHeartbeat)
	}
	if s.Confirmations != nil {
		handle(mux, peer.PathConfirm, maxSmallBytes, s.Confirmations.ReceiveConfirm)
	} else {
		unavailable(mux, peer.PathConfirm)
	}
	if s.Removals != nil {
		handle(mux, peer.PathAgreeRemoval, maxSmallBytes, s.Removals.ReceiveRemoval)
	} else {
		unavailable(mux, peer.PathAgreeRemoval)
	}
	if s.Snapshots != nil {
		mux.HandleFunc("GET "+peer.PathSnapshot, func(w http.ResponseWriter, r *http.Request) {
			reply, err := s.Snapshots.ReceiveSnapshot(r.Context())
			answer(w, reply, err)
		})
	} else {
		unavailable(mux, peer.PathSnapshot)
	}
}

func routeWork(mux *http.ServeMux, s Receivers) {
	if s.Loans != nil {
		handle(mux, peer.PathLoan, maxSmallBytes, s.Loans.ReceiveLoan)
		handle(mux, peer.PathLoanDone, maxSmallBytes, withoutReply(s.Loans.ReceiveLoanDone))
	} else {
		unavailable(mux, peer.PathLoan, peer.PathLoanDone)
	}
	if s.Reservations != nil {
		handle(mux, peer.PathReserve, maxSmallBytes, s.Reservations.ReceiveReserve)
		handle(mux, peer.PathRelease, maxSmallBytes, withoutReply(s.Reservations.ReceiveRelease))
	} else {
		unavailable(mux, peer.PathReserve, peer.PathRelease)
	}
	if s.Inflight != nil {
		handle(mux, peer.PathInflight, maxInflightBytes, s.Inflight.ReceiveInflight)
	} else {
		unavailable(mux, peer.PathInflight)
	}
	if s.Claims != nil {
		handle(mux, peer.PathClaims, maxSmallBytes, s.Claims.ReceiveClaims)
	} else {
		unavailable(mux, peer.PathClaims)
	}
}

// handle decodes a message of type M, checks it and answers with what receive returns.
func handle[M, R any](mux *http.ServeMux, path string, limit int64, receive func(context.Context, M) (R, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			refuseBody(w, err)
			return
		}
		m, err := decodeMessage[M](body)
		if err != nil {
			refuse(w, http.StatusBadRequest, peer.Problem{Message: err.Error(), Outcome: openai.NotRun})
			return
		}
		reply, err := receive(r.Context(), m)
		answer(w, reply, err)
	})
}

func withoutReply[M any](receive func(context.Context, M) error) func(context.Context, M) (empty, error) {
	return func(ctx context.Context, m M) (empty, error) { return empty{}, receive(ctx, m) }
}

func unavailable(mux *http.ServeMux, paths ...string) {
	for _, path := range paths {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			problem := peer.Problem{Message: "this instance does not serve " + path, Outcome: openai.NotRun}
			refuse(w, http.StatusServiceUnavailable, problem)
		})
	}
}

// authorize compares digests, so that neither the length nor a common prefix of the token shows in the time taken.
func authorize(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(presented))
		if !found || token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			problem := peer.Problem{Message: "peer token is wrong; set the same token on all instances", Outcome: openai.NotRun}
			refuse(w, http.StatusUnauthorized, problem)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func answer[R any](w http.ResponseWriter, reply R, err error) {
	if err != nil {
		refuseFault(w, fault.As(err))
		return
	}
	if _, none := any(reply).(empty); none {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		refuseFault(w, fault.As(err))
		return
	}
	// Heads are a large part of the traffic between peers; nobody reads these two.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	_, _ = w.Write(body) // a failed write shows at the peer
}

func refuseBody(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		problem := peer.Problem{Message: "message exceeds the size limit", Outcome: openai.NotRun}
		refuse(w, http.StatusRequestEntityTooLarge, problem)
		return
	}
	refuse(w, http.StatusBadRequest, peer.Problem{Message: "message was cut off", Outcome: openai.NotRun})
}

func refuseFault(w http.ResponseWriter, f *fault.Error) {
	status := http.StatusServiceUnavailable
	switch f.Kind {
	case fault.BadRequest:
		status = http.StatusBadRequest
	case fault.NotFound:
		status = http.StatusNotFound
	case fault.Internal:
		status = http.StatusInternalServerError
	}
	refuse(w, status, peer.Problem{Message: f.Message, Outcome: f.Outcome})
}

func refuse(w http.ResponseWriter, status int, problem peer.Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem)
}
