// Package lifecycle decides about order leases: when a holder may send, when another instance may take over, and how
// long a new holder waits for endpoints that ignore fencing numbers. Times are on the boot-time clock.
package orderlease

import (
	"time"

	"tanagerwood.dev/api/peer"
)

const (
	// LeaseDuration is how long a lease lasts from the moment its write began.
	LeaseDuration = 15 * time.Second
	// SendTimeout bounds one order, from its first byte to its answer.
	SendTimeout = 5 * time.Second
	// driftPercent and driftMargin cover clocks of instances that run at different speeds.
	driftPercent = 1
	driftMargin  = 10 * time.Millisecond
)

// Record is an order lease as the platform keeps it. It is never deleted, so that fencing numbers only grow.
type Record struct {
	Holder       peer.MemberID `json:"holder"`
	FencingToken uint64        `json:"fencing"`
	// DurationMS is the lease's length in milliseconds.
	DurationMS int64 `json:"lengthMs"`
	// Renewal makes each renewal a new version with a new content.
	Renewal uint64 `json:"renewal"`
	// Released says that the holder has given the lease up with no order under way.
	Released bool `json:"released,omitempty"`
}

// Duration is the lease's length.
func (r Record) Duration() time.Duration { return time.Duration(r.DurationMS) * time.Millisecond }

// Successor is the record of a new holder.
func (r Record) Successor(holder peer.MemberID) Record {
	return Record{Holder: holder, FencingToken: r.FencingToken + 1, DurationMS: LeaseDuration.Milliseconds()}
}

// Renewed is the record of a holder that goes on.
func (r Record) Renewed() Record {
	r.Renewal++
	return r
}

// Lease is a lease that this instance holds.
type Lease struct {
	Record  Record
	Version uint64
	// WriteStart is when the write that made or renewed the lease began.
	WriteStart time.Duration
	// NotBefore is when the first order may be sent.
	NotBefore time.Duration
}

// MaySend reports whether an order may begin at now: the lease must outlast the order.
func (l Lease) MaySend(now time.Duration) bool {
	return now >= l.NotBefore && l.WriteStart+l.Record.Duration()-now > SendTimeout
}

// NeedsRenewal reports whether the lease is to be renewed at now. A holder that waits for its predecessor keeps it too.
func (l Lease) NeedsRenewal(now time.Duration) bool {
	left := l.WriteStart + l.Record.Duration() - now
	return left <= SendTimeout
}

// MayRelease reports whether the next holder may send at once: it may not while this one still waits for its predecessor.
func (l Lease) MayRelease(now time.Duration) bool { return now >= l.NotBefore }

// TakeoverDelay is how long a new holder waits before its first order. The predecessor's orders end with its lease;
// for an endpoint that does not refuse old numbers, one that was held up gets as long again and one send timeout.
func TakeoverDelay(old Record, checksFencing bool) time.Duration {
	if checksFencing || old.Released || old.FencingToken == 0 {
		return 0
	}
	return withDrift(old.Duration()) + SendTimeout
}

// ExpiryWatch tells when a lease of another holder has lapsed, without comparing clocks: the holder's lease began before its
// version could be read, so it has lapsed when the version stays unchanged for the lease's length.
type ExpiryWatch struct {
	version uint64
	since   time.Duration
}

// Expired notes that the version was read by now, and reports whether the lease has lapsed.
func (w *ExpiryWatch) Expired(version uint64, now, length time.Duration) bool {
	if w.version != version {
		w.version, w.since = version, now
	}
	return now-w.since > withDrift(length)
}

func withDrift(d time.Duration) time.Duration { return d + d*driftPercent/100 + driftMargin }
