// Package peer holds the messages between router instances: JSON over HTTP on the peer port, with a shared bearer token.
package peer

import (
	"encoding/json"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
)

// Paths of the peer port.
const (
	PathHeartbeat    = "/peer/heartbeat"
	PathConfirm      = "/peer/confirm"
	PathAgreeRemoval = "/peer/agree-removal"
	PathSnapshot     = "/peer/catalogue"
	PathLoan         = "/peer/loan"
	PathLoanDone     = "/peer/loan-done"
	PathReserve      = "/peer/reserve"
	PathRelease      = "/peer/release"
	PathInflight     = "/peer/inflight"
	PathClaims       = "/peer/claims"
)

// MemberID identifies one start of an instance.
type MemberID struct {
	Name string `json:"name"`
	// Incarnation is the start time in nanoseconds since the epoch; a restarted process has a greater one.
	Incarnation uint64 `json:"incarnation"`
}

// Member is an instance as the roster and heartbeats describe it.
type Member struct {
	MemberID
	// Address is the base URL of the peer port.
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// Roster is the set of instances that hold shares. It is a platform object that is changed only by conditional updates.
type Roster struct {
	// Generation increases by one with each change.
	Generation uint64   `json:"generation"`
	Members    []Member `json:"members"`
	// Changes are the steps that led to Members, oldest first, the last one to Generation. They reach back to the oldest
	// generation whose shares, as far as its writer knows, may still be in use, so that a reader that skipped generations
	// can take all of these into account.
	Changes []RosterChange `json:"changes,omitempty"`
	// LastRemovalMS is when a member was last removed or replaced, in milliseconds since the epoch; 0 if never.
	LastRemovalMS int64 `json:"lastRemovalMs,omitempty"`
}

// RosterChange is the step from one generation to the next.
type RosterChange struct {
	Added   []Member `json:"added,omitempty"`
	Removed []Member `json:"removed,omitempty"`
	// Left are those of Removed that removed themselves, after they had stopped using their shares.
	Left []MemberID `json:"left,omitempty"`
	// Absent are those of Removed that were missing from the platform's instance list. They do not count towards the
	// majority that must know a newer generation.
	Absent []MemberID `json:"absent,omitempty"`
}

// HeartbeatEntry is the state of one member, as heartbeats spread it.
type HeartbeatEntry struct {
	Member
	// Counter increases with each heartbeat of the member.
	Counter uint64 `json:"counter"`
	// RosterGeneration and CatalogueRevision are those that the member uses.
	RosterGeneration  uint64 `json:"rosterGeneration"`
	CatalogueRevision uint64 `json:"catalogueRevision"`
	Draining          bool   `json:"draining,omitempty"`
}

// Heartbeat holds what the sender knows; the response is a Heartbeat of the receiver. The counters of roster members are sent
// in Counters, one byte each; full entries are sent only where the tables differ, which Digests show.
type Heartbeat struct {
	From MemberID `json:"from"`
	// Counter, Revision and Draining are the sender's own; its roster generation is that of Roster.
	Counter  uint64 `json:"counter,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// Entries holds the sender's own full entry in some of its heartbeats and, in a response, the entries of the groups whose
	// digests differ.
	Entries []HeartbeatEntry `json:"entries,omitempty"`
	// Roster is the newest roster the sender knows. Only a response to PullRoster with an older generation includes the members.
	Roster Roster `json:"roster"`
	// PullRoster asks for the roster, because the sender cannot read it from the platform.
	PullRoster bool `json:"pullRoster,omitempty"`
	// Counters holds the counter of each member of the roster, in its order, modulo CounterModulus, or CounterSilent if the
	// sender has not heard the member lately. It is valid only for a receiver with the same roster generation.
	Counters []byte `json:"beats,omitempty"`
	// GenerationBitmap has a bit for each member of the roster, in its order, which is set if the member is known to have this
	// generation of the roster.
	GenerationBitmap []byte `json:"informed,omitempty"`
	// Digests holds DigestGroups checksums over what the sender knows about live members, grouped by name.
	Digests []byte `json:"digests,omitempty"`
}

// Constants of the encoding of Heartbeat.
const (
	CounterModulus = 255
	CounterSilent  = 255
	DigestGroups   = 16
	DigestBytes    = 4
)

// ConfirmRequest asks a peer whether the sender may continue to use its shares.
type ConfirmRequest struct {
	From MemberID `json:"from"`
	// Request is the sequence number of the sender's message. The reply repeats it, so that a late or reordered reply is not
	// taken for the reply to another message.
	Request    uint64 `json:"request"`
	Generation uint64 `json:"generation"`
}

// ConfirmReply answers a ConfirmRequest.
type ConfirmReply struct {
	// Request is the number of the message that this answers.
	Request uint64 `json:"request"`
	// Platform is true if the peer read the roster from the platform after the request arrived.
	Platform bool `json:"platform"`
	// IsMember is true if the newest roster contains the sender and the peer has not agreed to its removal.
	IsMember bool `json:"named"`
	// Roster is the newest roster the peer knows.
	Roster Roster `json:"roster"`
}

// RemovalRequest asks a peer to agree that a member is removed from the roster.
type RemovalRequest struct {
	From MemberID `json:"from"`
	// Request is the sequence number of the sender's message. The reply repeats it, so that a late or reordered reply is not
	// taken for the reply to another message.
	Request    uint64   `json:"request"`
	Generation uint64   `json:"generation"`
	Remove     MemberID `json:"remove"`
}

// RemovalReply answers a RemovalRequest.
type RemovalReply struct {
	// Request is the number of the message that this answers.
	Request uint64 `json:"request"`
	Agreed  bool   `json:"agreed"`
	Reason  string `json:"reason,omitempty"`
}

// Snapshot is the newest configuration a peer has, for instances that cannot read it from the platform.
type Snapshot struct {
	Revision  uint64              `json:"revision"`
	Catalogue json.RawMessage     `json:"catalogue"`
	Instances []platform.Instance `json:"instances"`
}

// LoanRequest asks a holder of a share for tokens of a customer.
type LoanRequest struct {
	From MemberID `json:"from"`
	// Request is the sequence number of the sender's message. The reply repeats it, so that a late or reordered reply is not
	// taken for the reply to another message.
	Request  uint64 `json:"request"`
	Customer string `json:"customer"`
	Tokens   int64  `json:"tokens"`
}

// LoanReply lends tokens for use in one request. The loan's validity is counted from the sending of LoanRequest.
type LoanReply struct {
	// Request is the number of the message that this answers.
	Request uint64 `json:"request"`
	LoanID  uint64 `json:"loanId"`
	Tokens  int64  `json:"tokens"`
	// Level is the number of tokens that the holder has left.
	Level int64 `json:"level"`
}

// LoanDone ends a loan before it expires. For a used loan it frees the lender's capacity; for an unused one it also returns
// the tokens. A second LoanDone with Settled reports how much of a used loan the request did not need.
type LoanDone struct {
	From     MemberID `json:"from"`
	Customer string   `json:"customer"`
	LoanID   uint64   `json:"loanId"`
	Used     bool     `json:"used"`
	Settled  bool     `json:"settled,omitempty"`
	Unused   int64    `json:"unused,omitempty"`
}

// ReserveRequest asks the owner of an endpoint for a slot.
type ReserveRequest struct {
	From     MemberID `json:"from"`
	Endpoint string   `json:"endpoint"`
	// Attempt is the id of the attempt that will use the slot.
	Attempt string `json:"attempt"`
	// Prefill is set to reserve backlog of a prefill endpoint; otherwise a decode slot is reserved.
	Prefill bool `json:"prefill"`
	// StartInMS is when the slot is needed, in milliseconds from now.
	StartInMS int64 `json:"inMs"`
	// MaxDelayMS is how much later than StartInMS the slot may become free, in milliseconds.
	MaxDelayMS   int64 `json:"withinMs"`
	PromptTokens int64 `json:"promptTokens"`
	CachedTokens int64 `json:"cachedTokens"`
	OutputTokens int64 `json:"outputTokens"`
	// KVBytes is the size of the transfer to a decode endpoint.
	KVBytes int64 `json:"kvBytes"`
}

// ReserveReply answers a ReserveRequest.
type ReserveReply struct {
	Granted bool `json:"granted"`
	// FreeInMS is when the slot is predicted to become free, in milliseconds from now. It is also set if the slot was not granted.
	FreeInMS int64 `json:"inMs"`
	// NotOwner is set if the receiver does not own the endpoint, so that the sender's view of the owners is outdated.
	NotOwner bool `json:"notOwner,omitempty"`
}

// ReleaseRequest releases a slot, or reports progress of the attempt that uses it.
type ReleaseRequest struct {
	Endpoint string `json:"endpoint"`
	Attempt  string `json:"attempt"`
}

// InflightRequest asks an instance which of these attempts it does not know.
type InflightRequest struct {
	Attempts []string `json:"attempts"`
}

// InflightReply lists the attempts that the instance does not have in flight.
type InflightReply struct {
	Unknown []string `json:"unknown"`
}

// ClaimsRequest asks whether the instance has sent a call for a claim.
type ClaimsRequest struct {
	Claim string `json:"claim"`
}

// ClaimsReply answers a ClaimsRequest.
type ClaimsReply struct {
	Sent bool `json:"sent"`
}

// Problem is the body of an error response between peers.
type Problem struct {
	Message string         `json:"message"`
	Outcome openai.Outcome `json:"outcome,omitempty"`
}
