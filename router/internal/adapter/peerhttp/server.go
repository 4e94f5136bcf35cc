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

// HeartbeatReceiver receives a peer's heartbeat and replies with the heartbeat of this instance.
type HeartbeatReceiver interface {
	ReceiveHeartbeat(ctx context.Context, m peer.Heartbeat) (peer.Heartbeat, error)
}

// ConfirmReceiver reports whether a peer may continue to use its quota shares.
type ConfirmReceiver interface {
	ReceiveConfirm(ctx context.Context, m peer.ConfirmRequest) (peer.ConfirmReply, error)
}

// RemovalReceiver votes on removing a member from the roster.
type RemovalReceiver interface {
	ReceiveRemoval(ctx context.Context, m peer.RemovalRequest) (peer.RemovalReply, error)
}

// SnapshotReceiver returns the configuration in force.
type SnapshotReceiver interface {
	ReceiveSnapshot(ctx context.Context) (peer.Snapshot, error)
}

// LoanReceiver grants loans of quota tokens and accepts their return.
type LoanReceiver interface {
	ReceiveLoan(ctx context.Context, m peer.LoanRequest) (peer.LoanReply, error)
	ReceiveLoanDone(ctx context.Context, m peer.LoanDone) error
}

// ReservationReceiver reserves and releases slots of the endpoints that this instance owns.
type ReservationReceiver interface {
	ReceiveReserve(ctx context.Context, m peer.ReserveRequest) (peer.ReserveReply, error)
	ReceiveRelease(ctx context.Context, m peer.ReleaseRequest) error
}

// InflightReceiver reports which of the given attempts are not in flight on this instance.
type InflightReceiver interface {
	ReceiveInflight(ctx context.Context, m peer.InflightRequest) (peer.InflightReply, error)
}

// ClaimsReceiver reports whether this instance has sent a call for a claim.
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

// Size limits of request and reply bodies. A heartbeat with full entries for 340 members is about 130 KB; a snapshot holds
// a platform object of at most 1 MB and the instance list.
const (
	maxSmallBytes     = 64 << 10
	maxHeartbeatBytes = 1 << 20
	maxInflightBytes  = 1 << 20
	maxReplyBytes     = 4 << 20
)

const bearerPrefix = "Bearer "

// NewHandler returns the handler of the peer port. It rejects every request if token is empty. Only requests with the
// right token update the log's clock.
func NewHandler(token string, log *event.Log, receivers Receivers) http.Handler {
	mux := http.NewServeMux()
	routeMembershipMessages(mux, receivers)
	routeRequestMessages(mux, receivers)
	return authorize(token, log.Handler(mux))
}

func routeMembershipMessages(mux *http.ServeMux, receivers Receivers) {
	if receivers.Heartbeats != nil {
		handle(mux, peer.PathHeartbeat, maxHeartbeatBytes, receivers.Heartbeats.ReceiveHeartbeat)
	} else {
		handleUnavailable(mux, peer.PathHeartbeat)
	}
	if receivers.Confirmations != nil {
		handle(mux, peer.PathConfirm, maxSmallBytes, receivers.Confirmations.ReceiveConfirm)
	} else {
		handleUnavailable(mux, peer.PathConfirm)
	}
	if receivers.Removals != nil {
		handle(mux, peer.PathAgreeRemoval, maxSmallBytes, receivers.Removals.ReceiveRemoval)
	} else {
		handleUnavailable(mux, peer.PathAgreeRemoval)
	}
	if receivers.Snapshots != nil {
		mux.HandleFunc("GET "+peer.PathSnapshot, func(w http.ResponseWriter, r *http.Request) {
			reply, err := receivers.Snapshots.ReceiveSnapshot(r.Context())
			writeReply(w, reply, err)
		})
	} else {
		handleUnavailable(mux, peer.PathSnapshot)
	}
}

func routeRequestMessages(mux *http.ServeMux, receivers Receivers) {
	if receivers.Loans != nil {
		handle(mux, peer.PathLoan, maxSmallBytes, receivers.Loans.ReceiveLoan)
		handle(mux, peer.PathLoanDone, maxSmallBytes, withoutReply(receivers.Loans.ReceiveLoanDone))
	} else {
		handleUnavailable(mux, peer.PathLoan, peer.PathLoanDone)
	}
	if receivers.Reservations != nil {
		handle(mux, peer.PathReserve, maxSmallBytes, receivers.Reservations.ReceiveReserve)
		handle(mux, peer.PathRelease, maxSmallBytes, withoutReply(receivers.Reservations.ReceiveRelease))
	} else {
		handleUnavailable(mux, peer.PathReserve, peer.PathRelease)
	}
	if receivers.Inflight != nil {
		handle(mux, peer.PathInflight, maxInflightBytes, receivers.Inflight.ReceiveInflight)
	} else {
		handleUnavailable(mux, peer.PathInflight)
	}
	if receivers.Claims != nil {
		handle(mux, peer.PathClaims, maxSmallBytes, receivers.Claims.ReceiveClaims)
	} else {
		handleUnavailable(mux, peer.PathClaims)
	}
}

// handle registers a handler that decodes and validates a message of type M and replies with the result of receive.
func handle[M, R any](mux *http.ServeMux, path string, limit int64, receive func(context.Context, M) (R, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			writeBodyError(w, err)
			return
		}
		m, err := decodeMessage[M](body)
		if err != nil {
			writeProblem(w, http.StatusBadRequest, peer.Problem{Message: err.Error(), Outcome: openai.NotRun})
			return
		}
		reply, err := receive(r.Context(), m)
		writeReply(w, reply, err)
	})
}

func withoutReply[M any](receive func(context.Context, M) error) func(context.Context, M) (emptyReply, error) {
	return func(ctx context.Context, m M) (emptyReply, error) { return emptyReply{}, receive(ctx, m) }
}

func handleUnavailable(mux *http.ServeMux, paths ...string) {
	for _, path := range paths {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			problem := peer.Problem{Message: "this instance does not serve " + path, Outcome: openai.NotRun}
			writeProblem(w, http.StatusServiceUnavailable, problem)
		})
	}
}

// authorize compares digests, so that the response time reveals neither the length nor a matching prefix of the token.
func authorize(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		got := sha256.Sum256([]byte(presented))
		if !found || token == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			problem := peer.Problem{Message: "peer token is wrong; set the same token on all instances", Outcome: openai.NotRun}
			writeProblem(w, http.StatusUnauthorized, problem)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func writeReply[R any](w http.ResponseWriter, reply R, err error) {
	if err != nil {
		writeFault(w, fault.As(err))
		return
	}
	if _, noBody := any(reply).(emptyReply); noBody {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	body, err := json.Marshal(reply)
	if err != nil {
		writeFault(w, fault.As(err))
		return
	}
	// Headers are a large part of the traffic between peers, and no peer reads these two.
	w.Header()["Date"], w.Header()["Content-Type"] = nil, nil
	_, _ = w.Write(body) // if the write fails, the call of the peer fails
}

func writeBodyError(w http.ResponseWriter, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		problem := peer.Problem{Message: "message exceeds the size limit", Outcome: openai.NotRun}
		writeProblem(w, http.StatusRequestEntityTooLarge, problem)
		return
	}
	writeProblem(w, http.StatusBadRequest, peer.Problem{Message: "message was cut off", Outcome: openai.NotRun})
}

func writeFault(w http.ResponseWriter, f *fault.Error) {
	status := http.StatusServiceUnavailable
	switch f.Kind {
	case fault.BadRequest:
		status = http.StatusBadRequest
	case fault.NotFound:
		status = http.StatusNotFound
	case fault.Internal:
		status = http.StatusInternalServerError
	}
	writeProblem(w, status, peer.Problem{Message: f.Message, Outcome: f.Outcome})
}

func writeProblem(w http.ResponseWriter, status int, problem peer.Problem) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem)
}
