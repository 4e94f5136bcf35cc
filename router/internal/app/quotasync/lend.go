package quotasync

import (
	"context"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/quota"
	"tanagerwood.dev/router/internal/fault"
)

// ReceiveLoan lends tokens to a peer. This instance must be confirmed to lend; the borrower need not be.
func (a *Admission) ReceiveLoan(_ context.Context, m peer.LoanRequest) (peer.LoanReply, error) {
	if _, ok := a.Config.Current().Customer(m.Customer); !ok {
		return peer.LoanReply{}, fault.New(fault.NotFound, "customer "+m.Customer+" is not in the catalogue in force here")
	}
	acct := a.lockAccount(m.Customer)
	defer acct.mu.Unlock()
	now := a.Clock.Boot()
	id := a.lastLoanID.Add(1)
	given := acct.bucket.Lend(now, id, m.From.Name, m.Tokens)
	if !a.Membership.Confirmed() { // checked after the tokens are taken: the confirmation must be valid at that time
		acct.bucket.EndLoan(now, id, m.From.Name, false)
		return peer.LoanReply{}, fault.New(fault.InstanceNotConfirmed, "this holder is not confirmed; ask the next one")
	}
	if given > 0 {
		a.counters.loansGiven.Inc(1)
		a.counters.lentTokens.Inc(given)
		a.Events.Record(event.Event{Kind: event.LoanGiven, Customer: m.Customer, Tokens: given, Detail: m.From.Name})
	}
	return peer.LoanReply{Request: m.Request, LoanID: id, Tokens: given, Level: acct.bucket.Level(now)}, nil
}

// ReceiveLoanDone ends a loan that was used or is returned, or settles a used one.
func (a *Admission) ReceiveLoanDone(_ context.Context, m peer.LoanDone) error {
	if _, ok := a.accounts.Load(m.Customer); !ok {
		return nil // nothing was lent, or the loan expired long ago
	}
	acct := a.lockAccount(m.Customer)
	defer acct.mu.Unlock()
	// A returned loan does not wake the queue. Otherwise two instances that both lack tokens would lend the same tokens back
	// and forth as fast as the network allows.
	now := a.Clock.Boot()
	switch {
	case m.Settled:
		a.settleUsedLoan(acct, now, m)
	case m.Used:
		acct.recordUsedLoan(now, m)
	default:
		acct.bucket.EndLoan(now, m.LoanID, m.From.Name, false)
	}
	return nil
}

// loanSettlementTimeout is how long after its use a loan can be settled. It is longer than the longest model answer. A later
// settlement is not needed, because the tokens have accrued again by then.
const loanSettlementTimeout = 3 * time.Minute

// usedLoan is a loan that its borrower has used. Its settlement may still return tokens that the request did not need.
type usedLoan struct {
	charge   quota.Charge
	borrower peer.MemberID
	expires  time.Duration
}

// recordUsedLoan keeps the charge of a used loan until it is settled. The caller must hold the account's lock.
func (acct *account) recordUsedLoan(now time.Duration, m peer.LoanDone) {
	charge, ok := acct.bucket.UseLoan(now, m.LoanID, m.From.Name)
	if !ok {
		return
	}
	acct.expireUsedLoans(now)
	if acct.usedLoans == nil {
		acct.usedLoans = make(map[uint64]usedLoan)
	}
	acct.usedLoans[m.LoanID] = usedLoan{charge: charge, borrower: m.From, expires: now + loanSettlementTimeout}
}

// expireUsedLoans closes the charges of loans that were not settled in time. The caller must hold the account's lock.
func (acct *account) expireUsedLoans(now time.Duration) {
	for id, l := range acct.usedLoans {
		if now >= l.expires {
			acct.bucket.Refund(now, l.charge, 0)
			delete(acct.usedLoans, id)
		}
	}
}

// settleUsedLoan refunds the tokens of a loan that the request did not need. The caller must hold the account's lock.
func (a *Admission) settleUsedLoan(acct *account, now time.Duration, m peer.LoanDone) {
	l, ok := acct.usedLoans[m.LoanID]
	if !ok || l.borrower != m.From || m.Unused < 0 {
		return
	}
	delete(acct.usedLoans, m.LoanID)
	a.counters.refundedTokens.Inc(int64(acct.bucket.Refund(now, l.charge, m.Unused)))
	acct.wakeHead()
}

// charge holds the tokens charged for one request: a part from the local share, and loans.
type charge struct {
	admission     *Admission
	account       *account
	localCharge   quota.Charge
	loans         []receivedLoan
	chargedTokens int64
	settled       atomic.Bool
}

// Settle implements port.Charge.
func (c *charge) Settle(used int64) {
	if c.settled.Swap(true) {
		return
	}
	c.admission.counters.settledTokens.Inc(used)
	c.settleLoans(c.chargedTokens - used - c.localCharge.Tokens())
	acct := c.account
	acct.mu.Lock()
	defer acct.mu.Unlock()
	if acct.evicted {
		return
	}
	now := c.admission.Clock.Boot()
	if c.localCharge.Tokens() > 0 {
		c.admission.counters.refundedTokens.Inc(int64(acct.bucket.Refund(now, c.localCharge, max(0, c.chargedTokens-used))))
	}
	if used > c.chargedTokens {
		acct.bucket.ChargeExcess(now, used-c.chargedTokens)
		c.admission.counters.debtTokens.Inc(used - c.chargedTokens)
	}
	acct.wakeHead()
}

// settleLoans tells the lenders how many of their tokens were not used. The local part of the charge is refunded first,
// because that needs no message; unused is the rest.
func (c *charge) settleLoans(unused int64) {
	for _, l := range c.loans {
		refund := min(unused, l.tokens)
		if refund <= 0 {
			return
		}
		unused -= refund
		c.admission.sendLoanDone(l, peer.LoanDone{Customer: c.account.name, LoanID: l.id, Used: true, Settled: true, Unused: refund})
	}
}

// Cancel implements port.Charge.
func (c *charge) Cancel() { c.Settle(0) }

// zeroCharge is the charge of a request that needs no tokens.
type zeroCharge struct{}

func (zeroCharge) Settle(int64) {}
func (zeroCharge) Cancel()      {}
