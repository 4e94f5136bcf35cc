package quotasync

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/quota"
)

const (
	// loanRequestTimeout is the timeout of one loan request. A holder that does not reply within it is skipped.
	loanRequestTimeout = 50 * time.Millisecond
	// borrowTimeout limits one round of loan requests, so that the first loan is still valid when the last one arrives.
	borrowTimeout = 200 * time.Millisecond
	// failedLenderCooldown is how long a holder that did not reply is not asked again. Without it a dead holder would delay
	// every request until membership declares it dead.
	failedLenderCooldown = 250 * time.Millisecond
	// minLevelTTL and maxLevelTTL limit the age at which reported levels may still refuse a request without asking the
	// holders. Settlements and returned loans change levels too, so accrual alone does not predict them for long.
	minLevelTTL = 50 * time.Millisecond
	maxLevelTTL = 250 * time.Millisecond
)

var errReplyMismatch = errors.New("loan reply does not match the loan request")

// admitAttempt is the outcome of one attempt to get a request's tokens.
type admitAttempt struct {
	charge *charge
	// accrualWait is the estimated time until the tokens have accrued, if charge is nil.
	accrualWait time.Duration
	// unreachable is set if this instance is not confirmed and no holder replied.
	unreachable bool
}

// receivedLoan is a loan that another holder gave. Its validity counts from requestedAt.
type receivedLoan struct {
	lender      peer.Member
	id          uint64
	tokens      int64
	requestedAt time.Duration
}

// tryAdmit takes the tokens from the local share and borrows the missing ones.
func (a *Admission) tryAdmit(ctx context.Context, acct *account, tokens int64) admitAttempt {
	held, lenders, refusal := a.holdLocal(acct, tokens)
	if refusal != nil {
		return *refusal
	}
	missing := tokens - held.Tokens()
	loans, replied := a.borrow(ctx, acct, lenders, missing)
	return a.chargeOrReturn(ctx, acct, tokens, held, loans, replied)
}

// holdLocal sets local tokens aside and ranks the other holders. If levels known recently enough show that the tokens do
// not suffice, it holds nothing and returns the outcome of the attempt, without asking any holder.
func (a *Admission) holdLocal(acct *account, tokens int64) (quota.HeldTokens, []lender, *admitAttempt) {
	acct.lockAndRefresh(a)
	defer acct.mu.Unlock()
	now := a.Clock.Boot()
	var held quota.HeldTokens
	if a.Membership.Confirmed() {
		held = acct.bucket.Hold(now, tokens)
	}
	lenders := a.rankLenders(acct, now)
	if wait, fresh := a.estimateWait(acct, now, tokens-held.Tokens(), true); fresh && wait > 0 {
		acct.bucket.Release(now, held)
		a.counters.refusedByEstimate.Inc(1)
		return held, nil, &admitAttempt{accrualWait: wait}
	}
	return held, lenders, nil
}

func (acct *account) lockAndRefresh(a *Admission) {
	acct.mu.Lock()
	a.refreshAccount(acct)
}

// rankLenders returns the live holders in descending order of estimated level. Holders whose last request failed come last.
func (a *Admission) rankLenders(acct *account, now time.Duration) []lender {
	ranked := make([]lender, 0, len(acct.lenders))
	for _, l := range acct.lenders {
		if a.Membership.IsAlive(l.MemberID) && !(l.failed && now-l.failedAt < failedLenderCooldown) {
			ranked = append(ranked, l)
		}
	}
	slices.SortStableFunc(ranked, func(x, y lender) int {
		if x.failed != y.failed {
			if y.failed {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.estimatedLevel(now), x.estimatedLevel(now))
	})
	return ranked
}

// estimateWait estimates how long the missing tokens take to accrue at all holders. localHeld says that the tokens of this
// instance are already held and must not be counted again. fresh is true if the levels are recent enough to refuse the
// request on this estimate. The caller must hold the account's lock.
func (a *Admission) estimateWait(acct *account, now time.Duration, missing int64, localHeld bool) (wait time.Duration, fresh bool) {
	rate, level := 0.0, 0.0
	if a.Membership.Confirmed() {
		rate += acct.bucket.Share().Rate
		if !localHeld {
			level += float64(acct.bucket.Level(now))
		}
	}
	oldestLevelAt := now
	for i := range acct.lenders {
		l := &acct.lenders[i]
		if !a.Membership.IsAlive(l.MemberID) || l.failed {
			oldestLevelAt = min(oldestLevelAt, l.failedAt)
			continue
		}
		rate += l.share.Rate
		level += l.estimatedLevel(now)
		if !l.levelKnown {
			oldestLevelAt = -maxLevelTTL
			continue
		}
		oldestLevelAt = min(oldestLevelAt, l.levelAt)
	}
	shortfall := float64(missing) - level
	switch {
	case shortfall <= 0:
		return 0, true
	case rate <= 0:
		wait = maxRetryDelay
	default:
		wait = time.Duration(shortfall / rate * float64(time.Second))
	}
	return wait, now-oldestLevelAt < min(max(wait/2, minLevelTTL), maxLevelTTL)
}

// borrow asks one holder after the other for the missing tokens.
func (a *Admission) borrow(ctx context.Context, acct *account, lenders []lender, missing int64) (loans []receivedLoan, replied bool) {
	startedAt := a.Clock.Boot()
	for _, l := range lenders {
		requestedAt := a.Clock.Boot()
		if missing <= 0 || requestedAt-startedAt > borrowTimeout-loanRequestTimeout || ctx.Err() != nil {
			break
		}
		reply, err := a.requestLoan(ctx, l, acct.name, missing)
		acct.recordReply(l.MemberID, a.Clock.Boot(), reply.Level, err)
		if err != nil {
			a.counters.loansFailed.Inc(1)
			continue
		}
		replied = true
		if reply.Tokens > 0 {
			loans = append(loans, receivedLoan{lender: l.Member, id: reply.LoanID, tokens: reply.Tokens, requestedAt: requestedAt})
			missing -= reply.Tokens
		}
	}
	return loans, replied
}

func (a *Admission) requestLoan(ctx context.Context, l lender, customer string, tokens int64) (peer.LoanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, loanRequestTimeout)
	defer cancel()
	a.counters.loansAsked.Inc(1)
	m := peer.LoanRequest{From: a.Membership.Self().MemberID, Request: a.lastRequestID.Add(1), Customer: customer, Tokens: tokens}
	reply, err := a.LoanClient.Loan(ctx, l.Address, m)
	if err == nil && (reply.Request != m.Request || reply.Tokens > tokens) {
		return peer.LoanReply{}, errReplyMismatch // the loan may be older than m, so its validity is unknown
	}
	return reply, err
}

// recordReply records the level that a holder reported, or that the request to it failed.
func (acct *account) recordReply(id peer.MemberID, now time.Duration, level int64, err error) {
	acct.mu.Lock()
	defer acct.mu.Unlock()
	for i := range acct.lenders {
		l := &acct.lenders[i]
		if l.MemberID != id {
			continue
		}
		if err != nil {
			l.failed, l.failedAt = true, now
			return
		}
		l.failed, l.levelKnown, l.level, l.levelAt = false, true, level, now
	}
}

// chargeOrReturn charges the request if it has all its tokens and all of them may be used now. Otherwise it releases the
// held tokens and returns the loans.
func (a *Admission) chargeOrReturn(ctx context.Context, acct *account, tokens int64, held quota.HeldTokens, loans []receivedLoan, replied bool) admitAttempt {
	acct.lockAndRefresh(a)
	c := a.commitCharge(acct, tokens, held, loans)
	if c != nil {
		acct.mu.Unlock()
		a.endLoans(acct, loans, true)
		return admitAttempt{charge: c}
	}
	for _, l := range loans {
		acct.creditReturnedLoan(l)
	}
	now := a.Clock.Boot()
	wait, _ := a.estimateWait(acct, now, tokens, false)
	confirmed := a.Membership.Confirmed()
	acct.mu.Unlock()
	a.endLoans(acct, loans, false)
	return admitAttempt{accrualWait: max(wait, baseRetryDelay), unreachable: !confirmed && !replied}
}

// commitCharge charges the request, or releases the held tokens and returns nil. The caller must hold the account's lock.
func (a *Admission) commitCharge(acct *account, tokens int64, held quota.HeldTokens, loans []receivedLoan) *charge {
	now := a.Clock.Boot()
	sum, valid := held.Tokens(), true
	for _, l := range loans {
		sum += l.tokens
		valid = valid && now < l.requestedAt+quota.LoanValidity
	}
	if sum < tokens || !valid || held.Tokens() > 0 && !a.Membership.Confirmed() {
		acct.bucket.Release(now, held)
		return nil
	}
	c := &charge{admission: a, account: acct, loans: loans, chargedTokens: tokens}
	if held.Tokens() > 0 {
		local, ok := acct.bucket.Commit(now, held)
		if !ok {
			return nil
		}
		c.localCharge = local
	}
	a.counters.recordAdmitted(tokens)
	a.counters.borrowedTokens.Inc(sum - held.Tokens())
	return c
}

// creditReturnedLoan adds a loan that is being returned to the known level of its lender.
func (acct *account) creditReturnedLoan(loan receivedLoan) {
	for i := range acct.lenders {
		if acct.lenders[i].MemberID == loan.lender.MemberID {
			acct.lenders[i].level += loan.tokens
		}
	}
}

// endLoans tells the lenders whether their loans were used or are returned.
func (a *Admission) endLoans(acct *account, loans []receivedLoan, used bool) {
	for _, l := range loans {
		if used {
			a.Events.Record(event.Event{Kind: event.LoanTaken, Customer: acct.name, Tokens: l.tokens, Detail: l.lender.Name})
		} else {
			a.counters.loansReturned.Inc(1)
		}
		a.sendLoanDone(l, peer.LoanDone{Customer: acct.name, LoanID: l.id, Used: used})
	}
}

// sendLoanDone sends a LoanDone message in the background. It is not retried: a lost message costs the customer these tokens
// until they have accrued again.
func (a *Admission) sendLoanDone(l receivedLoan, m peer.LoanDone) {
	m.From = a.Membership.Self().MemberID
	a.pendingSends.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), quota.LoanValidity) // the loan has expired by then
		defer cancel()
		if a.LoanClient.LoanDone(ctx, l.lender.Address, m) != nil {
			a.counters.loanDoneFailed.Inc(1)
		}
	})
}
