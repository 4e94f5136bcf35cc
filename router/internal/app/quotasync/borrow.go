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
	// loanTimeout bounds one loan request; a holder that does not answer within it is skipped.
	loanTimeout = 50 * time.Millisecond
	// borrowLimit bounds a whole round, so that the first loan is still valid when the last one arrives.
	borrowLimit = 200 * time.Millisecond
	// failedPause is how long a holder that did not answer is left out, so that a dead one does not slow every request
	// down until it counts as dead.
	failedPause = 250 * time.Millisecond
	// freshLeast and freshMost bound the time for which known levels alone can refuse a request. Levels change otherwise
	// than by accrual through settlement and returned loans, so they have to be asked for now and then.
	freshLeast = 50 * time.Millisecond
	freshMost  = 250 * time.Millisecond
)

var errCrossed = errors.New("the reply answers another loan request")

// result is what one attempt to get a request's tokens came to.
type result struct {
	charge *charge
	// wait is the estimated time until the tokens have accrued.
	wait time.Duration
	// unreachable says that this instance is not confirmed and no holder answered.
	unreachable bool
}

// taken is a loan that has arrived.
type taken struct {
	from   peer.Member
	id     uint64
	tokens int64
	sent   time.Duration
}

// attempt takes what the local share has and borrows the rest.
func (a *Admission) attempt(ctx context.Context, acct *account, tokens int64) result {
	held, order, refused := a.begin(acct, tokens)
	if refused != nil {
		return *refused
	}
	missing := tokens - held.Tokens()
	loans, answered := a.borrow(ctx, acct, order, missing)
	return a.finish(ctx, acct, tokens, held, loans, answered)
}

// begin holds local tokens and ranks the holders. It refuses without asking anybody if fresh levels do not suffice.
func (a *Admission) begin(acct *account, tokens int64) (quota.HeldTokens, []lender, *result) {
	acct.lockCurrent(a)
	defer acct.mu.Unlock()
	now := a.Clock.Boot()
	var held quota.HeldTokens
	if a.Membership.Confirmed() {
		held = acct.bucket.Hold(now, tokens)
	}
	order := a.rank(acct, now)
	if wait, fresh := a.forecast(acct, now, tokens-held.Tokens(), true); fresh && wait > 0 {
		acct.bucket.Release(now, held)
		a.count.forecasts.Inc(1)
		return held, nil, &result{wait: wait}
	}
	return held, order, nil
}

func (acct *account) lockCurrent(a *Admission) {
	acct.mu.Lock()
	a.refresh(acct)
}

// rank returns the live holders in descending order of estimated level; those that did not answer last come last.
func (a *Admission) rank(acct *account, now time.Duration) []lender {
	order := make([]lender, 0, len(acct.lenders))
	for _, l := range acct.lenders {
		if a.Membership.IsAlive(l.MemberID) && !(l.failed && now-l.failedAt < failedPause) {
			order = append(order, l)
		}
	}
	slices.SortStableFunc(order, func(x, y lender) int {
		if x.failed != y.failed {
			if y.failed {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.estimate(now), x.estimate(now))
	})
	return order
}

// forecast estimates when the missing tokens will have accrued at the holders, this instance included if it holds
// nothing yet. fresh is true if that is known well enough to decide on it. The caller holds the account's lock.
func (a *Admission) forecast(acct *account, now time.Duration, missing int64, heldLocal bool) (wait time.Duration, fresh bool) {
	rate, level := 0.0, 0.0
	if a.Membership.Confirmed() {
		rate += acct.bucket.Share().Rate
		if !heldLocal {
			level += float64(acct.bucket.Level(now))
		}
	}
	oldest := now
	for i := range acct.lenders {
		l := &acct.lenders[i]
		if !a.Membership.IsAlive(l.MemberID) || l.failed {
			oldest = min(oldest, l.failedAt)
			continue
		}
		rate += l.share.Rate
		level += l.estimate(now)
		if !l.known {
			oldest = -freshMost
			continue
		}
		oldest = min(oldest, l.at)
	}
	short := float64(missing) - level
	switch {
	case short <= 0:
		return 0, true
	case rate <= 0:
		wait = longestPause
	default:
		wait = time.Duration(short / rate * float64(time.Second))
	}
	return wait, now-oldest < min(max(wait/2, freshLeast), freshMost)
}

// borrow asks one holder after the other for what is missing.
func (a *Admission) borrow(ctx context.Context, acct *account, order []lender, missing int64) (loans []taken, answered bool) {
	began := a.Clock.Boot()
	for _, l := range order {
		sent := a.Clock.Boot()
		if missing <= 0 || sent-began > borrowLimit-loanTimeout || ctx.Err() != nil {
			break
		}
		reply, err := a.ask(ctx, l, acct.name, missing)
		acct.note(l.MemberID, a.Clock.Boot(), reply.Level, err)
		if err != nil {
			a.count.loansFailed.Inc(1)
			continue
		}
		answered = true
		if reply.Tokens > 0 {
			loans = append(loans, taken{from: l.Member, id: reply.LoanID, tokens: reply.Tokens, sent: sent})
			missing -= reply.Tokens
		}
	}
	return loans, answered
}

func (a *Admission) ask(ctx context.Context, l lender, customer string, tokens int64) (peer.LoanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	a.count.loansAsked.Inc(1)
	m := peer.LoanRequest{From: a.Membership.Self().MemberID, Request: a.requests.Add(1), Customer: customer, Tokens: tokens}
	reply, err := a.LoanClient.Loan(ctx, l.Address, m)
	if err == nil && (reply.Request != m.Request || reply.Tokens > tokens) {
		return peer.LoanReply{}, errCrossed // the loan may have been given earlier than m was sent
	}
	return reply, err
}

// note remembers what a holder answered.
func (acct *account) note(id peer.MemberID, now time.Duration, level int64, err error) {
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
		l.failed, l.known, l.level, l.at = false, true, level, now
	}
}

// finish charges the request if its tokens are complete and all of them may be used now; otherwise it gives them back.
func (a *Admission) finish(ctx context.Context, acct *account, tokens int64, held quota.HeldTokens, loans []taken, answered bool) result {
	acct.lockCurrent(a)
	c := a.commit(acct, tokens, held, loans)
	if c != nil {
		acct.mu.Unlock()
		a.end(acct, loans, true)
		return result{charge: c}
	}
	for _, l := range loans {
		acct.noteReturned(l)
	}
	now := a.Clock.Boot()
	wait, _ := a.forecast(acct, now, tokens, false)
	confirmed := a.Membership.Confirmed()
	acct.mu.Unlock()
	a.end(acct, loans, false)
	return result{wait: max(wait, contentionPause), unreachable: !confirmed && !answered}
}

// commit charges the request, or releases what is held and returns nil. The caller holds the account's lock.
func (a *Admission) commit(acct *account, tokens int64, held quota.HeldTokens, loans []taken) *charge {
	now := a.Clock.Boot()
	sum, valid := held.Tokens(), true
	for _, l := range loans {
		sum += l.tokens
		valid = valid && now < l.sent+quota.LoanValidity
	}
	if sum < tokens || !valid || held.Tokens() > 0 && !a.Membership.Confirmed() {
		acct.bucket.Release(now, held)
		return nil
	}
	c := &charge{admission: a, account: acct, loans: loans, total: tokens}
	if held.Tokens() > 0 {
		local, ok := acct.bucket.Commit(now, held)
		if !ok {
			return nil
		}
		c.local = local
	}
	a.count.admitted(tokens)
	a.count.borrowed.Inc(sum - held.Tokens())
	return c
}

// noteReturned counts a loan that is being returned as part of its lender's level again.
func (acct *account) noteReturned(loan taken) {
	for i := range acct.lenders {
		if acct.lenders[i].MemberID == loan.from.MemberID {
			acct.lenders[i].level += loan.tokens
		}
	}
}

// end tells the lenders that their loans were used or are returned.
func (a *Admission) end(acct *account, loans []taken, used bool) {
	for _, l := range loans {
		if used {
			a.Events.Record(event.Event{Kind: event.LoanTaken, Customer: acct.name, Tokens: l.tokens, Detail: l.from.Name})
		} else {
			a.count.loansReturned.Inc(1)
		}
		a.tellLender(l, peer.LoanDone{Customer: acct.name, LoanID: l.id, Used: used})
	}
}

// tellLender sends a message about a loan in the background. A message that is lost costs tokens until they have accrued
// again.
func (a *Admission) tellLender(l taken, m peer.LoanDone) {
	m.From = a.Membership.Self().MemberID
	a.sending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), quota.LoanValidity) // after that the loan has lapsed anyway
		defer cancel()
		if a.LoanClient.LoanDone(ctx, l.from.Address, m) != nil {
			a.count.loanDoneFailed.Inc(1)
		}
	})
}
