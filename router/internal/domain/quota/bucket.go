package quota

import (
	"math"
	"time"
)

// Validity of a loan. The lender's validity is longer by one percent and 10 ms, so that a borrower whose clock runs
// slightly slower cannot use a loan that has expired at the lender.
const (
	LoanValidity       = 250 * time.Millisecond
	LenderLoanValidity = LoanValidity + LoanValidity/100 + 10*time.Millisecond
)

// Bucket is a token bucket that holds one holder's share of a customer's limits. The sum of its level, its outstanding
// loans and the tokens held for requests that are being admitted never exceeds the burst of the share, except for loans
// given before the share was reduced. It is not safe for concurrent use.
type Bucket struct {
	share     Share
	updatedAt time.Duration
	level     float64
	// reserved is the sum of outstanding loans and held tokens.
	reserved float64
	loans    []loan
	peaks    peakHistory
	// epoch is incremented when the share is lost; charges of an earlier epoch are not refunded.
	epoch uint64
}

type loan struct {
	id       uint64
	epoch    uint64
	borrower string
	tokens   int64
	expires  time.Duration
}

// Charge records what a request took from a bucket. Refund ends it.
type Charge struct {
	tokens int64
	seq    uint64
	epoch  uint64
}

// Tokens returns the number of tokens charged.
func (c Charge) Tokens() int64 { return c.tokens }

// NewBucket returns a bucket without a share. Its first share starts empty.
func NewBucket(now time.Duration) *Bucket { return &Bucket{updatedAt: now} }

// SetShare sets the share. Tokens above a smaller burst are lost, and a larger burst is filled by accrual only.
func (b *Bucket) SetShare(now time.Duration, s Share) {
	b.advance(now)
	b.peaks.record(b.total())
	b.peaks.raise(max(0, s.Burst-b.share.Burst)) // tokens above the smaller burst stay lost
	b.share = s
	if s.Burst == 0 {
		b.epoch++
		b.peaks.clear()
	}
	b.capLevel()
}

// Reset empties the bucket and invalidates its charges.
func (b *Bucket) Reset(now time.Duration) {
	b.advance(now)
	b.level = min(b.level, 0)
	b.epoch++
	b.peaks.clear()
}

// Share returns the share in effect.
func (b *Bucket) Share() Share { return b.share }

// Level returns the number of whole tokens that can be taken now.
func (b *Bucket) Level(now time.Duration) int64 {
	b.advance(now)
	return wholeTokens(b.level)
}

// HeldTokens is a number of tokens that are set aside until Commit or Release.
type HeldTokens struct {
	tokens int64
	epoch  uint64
}

// Tokens returns the number of tokens held.
func (h HeldTokens) Tokens() int64 { return h.tokens }

// Take charges n tokens if the bucket has as many.
func (b *Bucket) Take(now time.Duration, n int64) (Charge, bool) {
	if b.Level(now) < n {
		return Charge{}, false
	}
	return b.Commit(now, b.Hold(now, n))
}

// Hold sets aside up to n tokens for a request that borrows the rest.
func (b *Bucket) Hold(now time.Duration, n int64) HeldTokens {
	b.advance(now)
	held := min(n, wholeTokens(b.level))
	b.level -= float64(held)
	b.reserved += float64(held)
	return HeldTokens{tokens: held, epoch: b.epoch}
}

// Release returns held tokens to the bucket, unless the share was lost in the meantime.
func (b *Bucket) Release(now time.Duration, h HeldTokens) {
	b.advance(now)
	b.releaseReserved(h.tokens, h.epoch, true)
}

// Commit charges held tokens. It returns false, and charges nothing, if the share was lost in the meantime.
func (b *Bucket) Commit(now time.Duration, h HeldTokens) (Charge, bool) {
	b.advance(now)
	if h.epoch != b.epoch {
		b.releaseReserved(h.tokens, h.epoch, false)
		return Charge{}, false
	}
	seq := b.peaks.openCharge(b.total())
	b.reserved -= float64(h.tokens)
	return Charge{tokens: h.tokens, seq: seq, epoch: b.epoch}, true
}

// releaseReserved ends a hold or a loan. With restore, it returns the tokens to the level, unless the share they were
// taken from was lost.
func (b *Bucket) releaseReserved(tokens int64, epoch uint64, restore bool) {
	b.peaks.record(b.total())
	b.reserved -= float64(tokens)
	if restore && epoch == b.epoch {
		b.level += float64(tokens)
		b.capLevel()
	}
}

// Refund returns unused tokens of a charge to the bucket and reports how many. It returns no more than a bucket that
// had charged the true amount from the start would hold now. A charge is refunded at most once; unused may be 0.
func (b *Bucket) Refund(now time.Duration, c Charge, unused int64) float64 {
	b.advance(now)
	if c.epoch != b.epoch {
		return 0
	}
	highest := b.peaks.highestSince(c.seq, b.total(), b.share.Burst)
	refund := max(0, min(float64(min(unused, c.tokens)), b.share.Burst-highest))
	b.peaks.closeCharge(b.total(), refund)
	b.level += refund
	return refund
}

// ChargeExcess charges tokens that a request used beyond its charge. The level may become negative.
func (b *Bucket) ChargeExcess(now time.Duration, n int64) {
	b.advance(now)
	b.peaks.record(b.total())
	b.level -= float64(n)
}

// Lend lends up to n tokens to a borrower and returns how many.
func (b *Bucket) Lend(now time.Duration, id uint64, borrower string, n int64) int64 {
	lent := b.Hold(now, n).tokens
	if lent > 0 {
		b.loans = append(b.loans, loan{id: id, epoch: b.epoch, borrower: borrower, tokens: lent, expires: now + LenderLoanValidity})
	}
	return lent
}

// EndLoan ends a loan that its borrower used or returned. It returns false if the loan has expired or ended before.
func (b *Bucket) EndLoan(now time.Duration, id uint64, borrower string, used bool) bool {
	b.advance(now)
	for i, l := range b.loans {
		if l.id == id && l.borrower == borrower {
			b.loans = append(b.loans[:i], b.loans[i+1:]...)
			b.releaseReserved(l.tokens, l.epoch, !used)
			return true
		}
	}
	return false
}

// UseLoan ends a loan that its borrower used and converts it to a charge, for a later Refund. It returns false if the
// loan has expired or ended before, or the share was lost in the meantime. The tokens were reserved until now, so since
// the borrower's admission the level cannot have exceeded what it would have been with a smaller charge.
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

// Idle reports whether the bucket is full and has no open holds, loans or charges, so that it can be discarded and
// created again from its share.
func (b *Bucket) Idle(now time.Duration) bool {
	b.advance(now)
	return b.reserved == 0 && len(b.loans) == 0 && b.peaks.openCharges == 0 && b.level >= b.share.Burst
}

// advance accrues tokens up to now and ends loans at their expiry, in the order of expiry.
func (b *Bucket) advance(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	kept := b.loans[:0]
	for _, l := range b.loans { // sorted by expiry, since loans are appended in the order in which they are given
		if l.expires > now {
			kept = append(kept, l)
			continue
		}
		b.accrue(l.expires)
		b.peaks.record(b.total())
		b.reserved -= float64(l.tokens)
	}
	b.loans = kept
	b.accrue(now)
}

func (b *Bucket) accrue(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	b.level += b.share.Rate * (now - b.updatedAt).Seconds()
	b.updatedAt = now
	b.capLevel()
}

// capLevel limits the level to the part of the burst that is not reserved, but not below zero: tokens that were lent
// before the share was reduced do not become debt, because these loans expire before another instance may use the part
// that was given up.
func (b *Bucket) capLevel() { b.level = min(b.level, max(0, b.share.Burst-b.reserved)) }

func (b *Bucket) total() float64 { return b.level + b.reserved }

// roundingTolerance allows for a level that is slightly below a whole number because of rounding.
const roundingTolerance = 1e-6

func wholeTokens(level float64) int64 { return max(0, int64(math.Floor(level+roundingTolerance))) }
