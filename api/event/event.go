// Package event defines the event log that every process serves at GET /events: typed events, ordered by a hybrid logical
// clock.
package event

// ClockHeader is the header with the sender's hybrid logical clock on every HTTP request and response between processes.
const ClockHeader = "X-Hlc"

// Event is one entry of a process's event log.
type Event struct {
	// Seq is the sequence number of the event in its process. It starts at 1 and has no gaps.
	Seq uint64 `json:"seq"`
	// Clock is the hybrid logical clock: milliseconds since the epoch in the upper 48 bits, a counter in the lower 16.
	Clock uint64 `json:"clock"`
	// Process names the process that recorded the event.
	Process string `json:"process"`
	// Incarnation distinguishes the starts of a process.
	Incarnation string `json:"incarnation,omitempty"`
	// Kind is the type of the event, such as "request.accepted".
	Kind Kind `json:"kind"`
	// Request is the id of the request or attempt that the event belongs to, if any.
	Request string `json:"request,omitempty"`
	// Customer is the customer's name, never its key.
	Customer string `json:"customer,omitempty"`
	// Endpoint is the endpoint concerned, if any.
	Endpoint string `json:"endpoint,omitempty"`
	// Tokens is a number of tokens, for kinds that have one.
	Tokens int64 `json:"tokens,omitempty"`
	// Detail is free text for human readers.
	Detail string `json:"detail,omitempty"`
}

// Kind is the type of an event.
type Kind string

// Event kinds on the path of a request.
const (
	RequestAccepted  Kind = "request.accepted"
	RequestAdmitted  Kind = "request.admitted"
	RequestQueued    Kind = "request.queued"
	RequestRefused   Kind = "request.refused"
	RequestReserved  Kind = "request.reserved"
	PrefillStarted   Kind = "prefill.started"
	PrefillEnded     Kind = "prefill.ended"
	TransferStarted  Kind = "transfer.started"
	TransferEnded    Kind = "transfer.ended"
	DecodeStarted    Kind = "decode.started"
	FirstToken       Kind = "decode.first_token"
	DecodeEnded      Kind = "decode.ended"
	AttemptFailed    Kind = "attempt.failed"
	AttemptCancelled Kind = "attempt.cancelled"
	RequestSettled   Kind = "request.settled"
	RequestEnded     Kind = "request.ended"
	CallerGone       Kind = "caller.gone"
	ServiceSent      Kind = "service.sent"
	ServiceAnswered  Kind = "service.answered"
	ClaimCreated     Kind = "claim.created"
	ClaimReplayed    Kind = "claim.replayed"
	ClaimReleased    Kind = "claim.released"
)

// Event kinds of the control loops.
const (
	ProcessStarted     Kind = "process.started"
	ProcessStopping    Kind = "process.stopping"
	ConfigApplied      Kind = "config.applied"
	ConfigRejected     Kind = "config.rejected"
	KeyWithdrawn       Kind = "key.withdrawn"
	MemberAlive        Kind = "member.alive"
	MemberSuspected    Kind = "member.suspected"
	RosterChanged      Kind = "roster.changed"
	ConfirmationLost   Kind = "roster.confirmation_lost"
	ConfirmationGained Kind = "roster.confirmation_gained"
	ShareChanged       Kind = "quota.share_changed"
	LoanGiven          Kind = "quota.loan_given"
	LoanTaken          Kind = "quota.loan_taken"
	OrphanCancelled    Kind = "cleanup.orphan_cancelled"
	EndpointLeaving    Kind = "endpoint.leaving"
	EndpointLost       Kind = "endpoint.lost"
	EndpointBack       Kind = "endpoint.back"
	OrderSent          Kind = "order.sent"
	OrderRefused       Kind = "order.refused"
	FaultSwitched      Kind = "fault.switched"
)

// Page is the response to GET /events?since=SEQ: events with Seq greater than SEQ, oldest first.
type Page struct {
	Process string `json:"process"`
	// Dropped counts the events after "since" that the ring buffer no longer holds.
	Dropped uint64  `json:"dropped"`
	Events  []Event `json:"events"`
}
