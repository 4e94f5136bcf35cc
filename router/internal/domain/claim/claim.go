// Package claim decides about calls that may run at most once. A call claims its idempotency key by creating an object
// in the platform. The package defines the name and content of that object, what a repeated call gets, how long the
// claimant may still send the call, and whether the state of the other instances rules out that a call was sent.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

const (
	// SendWindow is how long after it began to make the claim a claimant may send the call, on the boot-time clock. A
	// claimant that was paused for longer would send when other instances no longer expect it to.
	SendWindow = 2 * time.Second
	// SentRetention is how long an instance keeps the record that it has sent a claimed call.
	SentRetention = 10 * time.Minute
	// RecordRetention is the age at which a claim is deleted from the platform.
	RecordRetention = 24 * time.Hour
	// MaxStoredBodyBytes is the largest answer body that is stored for repeated calls.
	MaxStoredBodyBytes = 64 << 10
)

// State is the progress of a claim.
type State string

// States of a claim.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// Record is a claim as stored in the platform.
type Record struct {
	// Attempt is the id of the request that made the claim.
	Attempt  string `json:"attempt"`
	Instance string `json:"instance"`
	// Digest is the digest of the call. It shows whether another call with the same key is a repeat.
	Digest string `json:"digest"`
	// CreatedMS is when the claim was made, in milliseconds since the epoch.
	CreatedMS int64 `json:"createdMs"`
	State     State `json:"state"`
	// Status, Header and Body are the answer of a completed call. Header contains only the headers that are stored.
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// TooLarge is set if the body was larger than MaxStoredBodyBytes and was not stored.
	TooLarge bool `json:"tooLarge,omitempty"`
}

// WithAnswer returns the record of the completed call with its answer.
func (r Record) WithAnswer(status int, header map[string]string, body []byte) Record {
	r.State, r.Status, r.Header, r.Body = StateDone, status, header, body
	if len(body) > MaxStoredBodyBytes {
		r.Body, r.TooLarge = nil, true
	}
	return r
}

// Expired reports whether the record is old enough to be deleted.
func (r Record) Expired(now time.Time) bool {
	return now.Sub(time.UnixMilli(r.CreatedMS)) > RecordRetention
}

// ObjectName returns the name of the claim's object in the platform. An open route has no customer.
func ObjectName(customer, route, key string) string { return digest(customer, route, key) }

// CallDigest returns a digest of the call, which distinguishes different calls with the same key.
func CallDigest(method, path string, body []byte) string { return digest(method, path, string(body)) }

// digest hashes the parts together with their lengths, so that different lists of parts never give the same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Decision is what a call gets if a claim of the same name exists.
type Decision int

// Decisions. OwnClaim means that this attempt made the claim itself and the reply was lost.
const (
	OwnClaim Decision = iota
	ReplayAnswer
	InProgress
	DifferentCall
)

// Decide compares a call with the existing claim of the same name.
func Decide(r Record, attempt, callDigest string) Decision {
	switch {
	case r.Attempt == attempt:
		return OwnClaim
	case r.Digest != callDigest:
		return DifferentCall
	case r.State == StateDone && !r.TooLarge:
		return ReplayAnswer
	default:
		return InProgress
	}
}

// MaySend reports whether a claimant that began to make its claim at startedAt may send the call now, on the boot-time
// clock.
func MaySend(startedAt, now time.Duration) bool { return now-startedAt < SendWindow }
