package quota

import (
	"math"
	"time"
)

// Validity of a loan. The lender's is longer by one percent and 10 ms, so that clocks whose rates differ a little cannot
// let a borrower use a loan that the lender has written off.
const (
	LoanValidity       = 250 * time.Millisecond
	LenderLoanValidity = LoanValidity + LoanValidity/100 + 10*time.Millisecond
)

// Bucket is one holder's share of a customer. The sum of its level, its outstanding loans and the tokens held for
// requests that are being admitted never exceeds the share's burst, but for loans given before the share shrank. It is not
// safe for concurrent use.
type Bucket struct {
	share Share
	at    time.Duration
	level float64
	// reserved is the sum of outstanding loans and of held tokens.
	reserved float64
	loans    []loan
	peaks    peaks
	// epoch grows when the share is lost; charges of an earlier epoch are not refunded.
	epoch uint64
}

type loan struct {
	id       uint64
	epoch    uint64
	borrower string
	tokens   int64
	expires  time.Duration
}

// Charge is what a request took from a bucket. Refund ends it.
type Charge struct {
	tokens int64
	seq    uint64
	epoch  uint64
}

// Tokens is the amount charged.
func (c Charge) Tokens() int64 { return c.tokens }

// NewBucket returns a bucket without a share. Its first share starts empty.
func NewBucket(now time.Duration) *Bucket { return &Bucket{at: now} }

// SetShare changes the share. Tokens above a smaller burst are lost, and a larger burst fills by accrual only.
func (b *Bucket) SetShare(now time.Duration, s Share) {
	b.advance(now)
	b.peaks.mark(b.total())
	b.peaks.raise(max(0, s.Burst-b.share.Burst)) // tokens that did not fit the smaller burst stay lost
	b.share = s
	if s.Burst == 0 {
		b.epoch++
		b.peaks.clear()
	}
	b.clip()
}

// Reset empties the bucket and forgets its charges.
func (b *Bucket) Reset(now time.Duration) {
	b.advance(now)
	b.level = min(b.level, 0)
	b.epoch++
	b.peaks.clear()
}

// Share is the share in force.
func (b *Bucket) Share() Share { return b.share }

// Level is the number of whole tokens that can be taken now.
func (b *Bucket) Level(now time.Duration) int64 {
	b.advance(now)
	return whole(b.level)
}

// HeldTokens are tokens that are set aside until Commit or Release.
type HeldTokens struct {
	tokens int64
	epoch  uint64
}

// Tokens is the amount held.
func (h HeldTokens) Tokens() int64 { return h.tokens }

// Take charges n tokens if the bucket has them.
func (b *Bucket) Take(now time.Duration, n int64) (Charge, bool) {
	if b.Level(now) < n {
		return Charge{}, false
	}
	return b.Commit(now, b.Hold(now, n))
}

// Hold sets up to n tokens aside for a request that borrows the rest.
func (b *Bucket) Hold(now time.Duration, n int64) HeldTokens {
	b.advance(now)
	held := min(n, whole(b.level))
	b.level -= float64(held)
	b.reserved += float64(held)
	return HeldTokens{tokens: held, epoch: b.epoch}
}

// Release puts held tokens back, unless the share was lost meanwhile.
func (b *Bucket) Release(now time.Duration, h HeldTokens) {
	b.advance(now)
	b.free(h.tokens, h.epoch, true)
}

// Commit charges held tokens. It reports false, and charges nothing, if the share was lost meanwhile.
func (b *Bucket) Commit(now time.Duration, h HeldTokens) (Charge, bool) {
	b.advance(now)
	if h.epoch != b.epoch {
		b.free(h.tokens, h.epoch, false)
		return Charge{}, false
	}
	seq := b.peaks.open(b.total())
	b.reserved -= float64(h.tokens)
	return Charge{tokens: h.tokens, seq: seq, epoch: b.epoch}, true
}

// free ends a hold or a loan, and puts the tokens back if they return to the share they were taken from.
func (b *Bucket) free(tokens int64, epoch uint64, back bool) {
	b.peaks.mark(b.total())
	b.reserved -= float64(tokens)
	if back && epoch == b.epoch {
		b.level += float64(tokens)
		b.clip()
	}
}

// Refund gives back x unused tokens of a charge, as far as a bucket that had charged the true amount would hold them
// now, and returns how many. A charge is refunded at most once; x may be 0.
func (b *Bucket) Refund(now time.Duration, c Charge, x int64) float64 {
	b.advance(now)
	if c.epoch != b.epoch {
		return 0
	}
	highest := b.peaks.since(c.seq, b.total(), b.share.Burst)
	refund := max(0, min(float64(min(x, c.tokens)), b.share.Burst-highest))
	b.peaks.close(b.total(), refund)
	b.level += refund
	return refund
}

// ChargeExcess charges tokens that a request used above its charge; the level may become negative.
func (b *Bucket) ChargeExcess(now time.Duration, n int64) {
	b.advance(now)
	b.peaks.mark(b.total())
	b.level -= float64(n)
}

// Lend gives up to n tokens to a borrower and returns how many.
func (b *Bucket) Lend(now time.Duration, id uint64, borrower string, n int64) int64 {
	given := b.Hold(now, n).tokens
	if given > 0 {
		b.loans = append(b.loans, loan{id: id, epoch: b.epoch, borrower: borrower, tokens: given, expires: now + LenderLoanValidity})
	}
	return given
}

// EndLoan ends a loan that its borrower used or returned. It reports false if the loan has lapsed or ended before.
func (b *Bucket) EndLoan(now time.Duration, id uint64, borrower string, used bool) bool {
	b.advance(now)
	for i, l := range b.loans {
		if l.id == id && l.borrower == borrower {
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			b.free(l.tokens, l.epoch, !used)
			return true
		}
	}
	return false
}

// UseLoan ends a loan that its borrower used and returns the charge that it became, for a later Refund. It reports false
// if the loan has lapsed or ended before, or the share was lost meanwhile. The tokens were reserved until now, so the
// level since the borrower's admission cannot have exceeded what it would have been with a smaller charge.
func (b *Bucket) UseLoan(now time.Duration, id uint64, borrower string) (Charge, bool) {
	b.advance(now)
	for i, l := range b.loans {
		if l.id == id && l.borrower == borrower {
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			return b.Commit(now, HeldTokens{tokens: l.tokens, epoch: l.epoch})
		}
	}
	return Charge{}, false
}

// Idle reports whether the bucket is full and nothing refers to it, so that it can be built again from its share.
func (b *Bucket) Idle(now time.Duration) bool {
	b.advance(now)
	return b.reserved == 0 && len(b.loans) == 0 && b.peaks.openCharges == 0 && b.level >= b.share.Burst
}

// advance accrues tokens and lets loans lapse, in the order of their expiry.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.at {
		return
	}
	kept := b.loans[:0]
	for _, l := range b.loans { // ascending by expiry, because loans are given in order of time
		if l.expires > now {
			kept = append(kept, l)
			continue
		}
		b.accrue(l.expires)
		b.peaks.mark(b.total())
		b.reserved -= float64(l.tokens)
	}
	b.loans = kept
	b.accrue(now)
}

func (b *Bucket) accrue(now time.Duration) {
	if now <= b.at {
		return
	}
	b.level += b.share.Rate * (now - b.at).Seconds()
	b.at = now
	b.clip()
}

// clip does not turn tokens that were lent before the share shrank into debt: these loans lapse before anyone else may
// use the part that was given up.
func (b *Bucket) clip() { b.level = min(b.level, max(0, b.share.Burst-b.reserved)) }

func (b *Bucket) total() float64 { return b.level + b.reserved }

// wholeSlack makes up for rounding when a level that should be whole is a hair below it.
const wholeSlack = 1e-6

func whole(level float64) int64 { return max(0, int64(math.Floor(level+wholeSlack))) }
