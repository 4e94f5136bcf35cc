// Package claim decides about calls that may run at most once: the name and content of a claim, what a repeat of a call
// gets, when the claimant may still send, and whether the fleet's memory proves that a call was not sent.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

const (
	// SendWindow is how long after it began the claim a claimant may send, on the boot-time clock. A claimant that was
	// paused for longer would send when other instances no longer expect it to.
	SendWindow = 2 * time.Second
	// SentRetention is how long an instance remembers the claims it has sent.
	SentRetention = 10 * time.Minute
	// RecordRetention is the age at which a claim is deleted from the platform.
	RecordRetention = 24 * time.Hour
	// MaxStoredBodyBytes bounds the answer that is kept for repeats, in bytes.
	MaxStoredBodyBytes = 64 << 10
)

// State is the progress of a claim.
type State string

// States of a claim.
const (
	StateClaimed State = "claimed"
	StateDone    State = "done"
)

// Record is the claim as the platform keeps it.
type Record struct {
	// Attempt names the request that made the claim.
	Attempt  string `json:"attempt"`
	Instance string `json:"instance"`
	// Digest is the digest of the call, by which a repeat is recognised.
	Digest string `json:"digest"`
	// CreatedMS is when the claim was made, in milliseconds since the epoch.
	CreatedMS int64 `json:"createdMs"`
	State     State `json:"state"`
	// Status, Header and Body are the answer of a done call. Header holds only the headers that are kept.
	Status int               `json:"status,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	// TooLarge says that the body was larger than MaxStoredBody and is not kept.
	TooLarge bool `json:"tooLarge,omitempty"`
}

// WithAnswer returns the record with the answer.
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

// ObjectName is the name of the claim's object. An open route has no customer.
func ObjectName(customer, route, key string) string { return digest(customer, route, key) }

// CallDigest tells calls with the same key apart.
func CallDigest(method, path string, body []byte) string { return digest(method, path, string(body)) }

// digest hashes the parts with their lengths, so that no two lists of parts give the same input.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(p))))
		h.Write([]byte(p))
	}
	return hex.EncodeToString(h.Sum(nil))
}

// Decision is what a call gets from a claim that exists.
type Decision int

// Verdicts. OwnClaim means that this attempt made the claim and its reply was lost.
const (
	OwnClaim Decision = iota
	ReplayAnswer
	InProgress
	DifferentCall
)

// Decide compares a call with the claim that exists under its name.
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

// MaySend reports whether a claimant that began its claim at begun may send at now, both on the boot-time clock.
func MaySend(begun, now time.Duration) bool { return now-begun < SendWindow }
