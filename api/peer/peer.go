// Package peer holds the messages between router instances: HTTP with JSON on the peer port, with a shared bearer token.
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

// MemberID names one life of an instance.
type MemberID struct {
	Name string `json:"name"`
	// Incarnation is the start time in nanoseconds since the epoch; a restarted process has a greater one.
	Incarnation uint64 `json:"incarnation"`
}

// Member is an instance as the roster and heartbeats name it.
type Member struct {
	MemberID
	// Address is the base URL of the peer port.
	Address string `json:"address"`
	Domain  string `json:"domain"`
}

// Roster is the set of instances that hold shares, a platform object changed only by conditional updates.
type Roster struct {
	// Generation grows by one with each change.
	Generation uint64   `json:"generation"`
	Members    []Member `json:"members"`
	// Changes are the steps that led to Members, oldest first, the last one to Generation. They reach back to the oldest
	// generation whose shares its writer could not rule out to be in use, so that a reader who skipped generations can
	// take all of these into account.
	Changes []RosterChange `json:"changes,omitempty"`
	// LastRemovalMS is when a member was last removed or replaced, in milliseconds since the epoch; 0 if never.
	LastRemovalMS int64 `json:"lastRemovalMs,omitempty"`
}

// RosterChange is the step from one generation to the next.
type RosterChange struct {
	Added   []Member `json:"added,omitempty"`
	Removed []Member `json:"removed,omitempty"`
	// Left are those of Removed that removed themselves and had stopped using their shares before.
	Left []MemberID `json:"left,omitempty"`
	// Absent are those of Removed that were absent from the platform's instance list. They do not count towards the
	// majority that must know a newer generation.
	Absent []MemberID `json:"absent,omitempty"`
}

// HeartbeatEntry is what the fleet knows about one member.
type HeartbeatEntry struct {
	Member
	// Counter grows with each heartbeat of the member.
	Counter uint64 `json:"counter"`
	// RosterGeneration and CatalogueRevision are those in force at the member.
	RosterGeneration  uint64 `json:"rosterGeneration"`
	CatalogueRevision uint64 `json:"catalogueRevision"`
	Draining          bool   `json:"draining,omitempty"`
}

// Heartbeat tells what the sender knows; the answer is a Heartbeat of the receiver. Counters of roster members travel in
// Counters, one byte each; full entries travel only where the tables differ, which Digests show.
type Heartbeat struct {
	From MemberID `json:"from"`
	// Counter, Revision and Draining are the sender's own; its roster generation is that of Roster.
	Counter  uint64 `json:"counter,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	Draining bool   `json:"draining,omitempty"`
	// Entries are the sender's full own entry, now and then, and, in an answer, those of the groups whose digests differ.
	Entries []HeartbeatEntry `json:"entries,omitempty"`
	// Roster is the newest roster the sender knows. Only an answer to PullRoster with an older generation has the members.
	Roster Roster `json:"roster"`
	// PullRoster asks for the roster, because the sender cannot read it from the platform.
	PullRoster bool `json:"pullRoster,omitempty"`
	// Counters holds the counter of each member of the roster, in its order, modulo CounterModulus, or CounterSilent if the
	// sender has not heard the member lately. It means something only to a receiver with the same roster generation.
	Counters []byte `json:"beats,omitempty"`
	// GenerationBitmap has a bit for each member of the roster, in its order, which is set if the member is known to have it.
	GenerationBitmap []byte `json:"informed,omitempty"`
	// Digests are DigestGroups sums over what the sender knows of live members, grouped by name.
	Digests []byte `json:"digests,omitempty"`
}

// Encoding of Heartbeat.
const (
	CounterModulus = 255
	CounterSilent  = 255
	DigestGroups   = 16
	DigestBytes    = 4
)

// ConfirmRequest asks a peer whether the sender may go on using its shares.
type ConfirmRequest struct {
	From MemberID `json:"from"`
	// Request numbers the messages of the sender; the reply repeats it, so that a crossed or late reply is not taken for
	// the answer to another message.
	Request    uint64 `json:"request"`
	Generation uint64 `json:"generation"`
}

// ConfirmReply answers a ConfirmRequest.
type ConfirmReply struct {
	// Request is the number of the message that this answers.
	Request uint64 `json:"request"`
	// Platform is true if the peer read the roster from the platform after the question arrived.
	Platform bool `json:"platform"`
	// IsMember is true if the newest roster names the asking member and the peer has not agreed to its removal.
	IsMember bool `json:"named"`
	// Roster is the newest roster the peer knows.
	Roster Roster `json:"roster"`
}

// RemovalRequest asks a peer to agree that a member is removed from the roster.
type RemovalRequest struct {
	From MemberID `json:"from"`
	// Request numbers the messages of the sender; the reply repeats it, so that a crossed or late reply is not taken for
	// the answer to another message.
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

// LoanRequest asks a holder for tokens of a customer.
type LoanRequest struct {
	From MemberID `json:"from"`
	// Request numbers the messages of the sender; the reply repeats it, so that a crossed or late reply is not taken for
	// the answer to another message.
	Request  uint64 `json:"request"`
	Customer string `json:"customer"`
	Tokens   int64  `json:"tokens"`
}

// LoanReply gives tokens for use in one request, within the loan's validity counted from the sending of LoanRequest.
type LoanReply struct {
	// Request is the number of the message that this answers.
	Request uint64 `json:"request"`
	LoanID  uint64 `json:"loanId"`
	Tokens  int64  `json:"tokens"`
	// Level is what the holder has left.
	Level int64 `json:"level"`
}

// LoanDone ends a loan before its validity does. Used loans free the lender's capacity; others return the tokens too. A
// second one with Settled tells how much of a used loan the request did not need.
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
	// Attempt is the attempt id that will use the slot.
	Attempt string `json:"attempt"`
	// Prefill says that backlog of a prefill endpoint is reserved; otherwise a decode slot is.
	Prefill bool `json:"prefill"`
	// StartInMS is when the slot is needed, in milliseconds from now.
	StartInMS int64 `json:"inMs"`
	// MaxDelayMS is how much later than StartInMS the slot may get free, in milliseconds.
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
	// FreeInMS is when the slot is predicted free, in milliseconds from now, also if it was not granted.
	FreeInMS int64 `json:"inMs"`
	// NotOwner tells the asker that its view of the owners is out of date.
	NotOwner bool `json:"notOwner,omitempty"`
}

// ReleaseRequest gives a slot back, or reports progress of the attempt that uses it.
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

// Problem is the body of an error answer between peers.
type Problem struct {
	Message string         `json:"message"`
	Outcome openai.Outcome `json:"outcome,omitempty"`
}
