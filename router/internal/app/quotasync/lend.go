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

// ReceiveLoan lends tokens to a peer. Only a confirmed holder lends; the borrower needs no confirmation.
func (a *Admission) ReceiveLoan(_ context.Context, m peer.LoanRequest) (peer.LoanReply, error) {
	if _, ok := a.Config.Current().Customer(m.Customer); !ok {
		return peer.LoanReply{}, fault.New(fault.NotFound, "customer "+m.Customer+" is not in the catalogue in force here")
	}
	acct := a.lock(m.Customer)
	defer acct.mu.Unlock()
	now := a.Clock.Boot()
	id := a.lastLoan.Add(1)
	given := acct.bucket.Lend(now, id, m.From.Name, m.Tokens)
	if !a.Membership.Confirmed() { // checked after the tokens were taken, which is the moment of use
		acct.bucket.EndLoan(now, id, m.From.Name, false)
		return peer.LoanReply{}, fault.New(fault.NotConfirmed, "this holder is not confirmed; ask the next one")
	}
	if given > 0 {
		a.count.loansGiven.Inc(1)
		a.count.lentTokens.Inc(given)
		a.Events.Record(event.Event{Kind: event.LoanGiven, Customer: m.Customer, Tokens: given, Detail: m.From.Name})
	}
	return peer.LoanReply{Request: m.Request, LoanID: id, Tokens: given, Level: acct.bucket.Level(now)}, nil
}

// ReceiveLoanDone ends a loan that was used or is returned.
func (a *Admission) ReceiveLoanDone(_ context.Context, m peer.LoanDone) error {
	if _, ok := a.accounts.Load(m.Customer); !ok {
		return nil // nothing was lent, or it has lapsed long ago
	}
	acct := a.lock(m.Customer)
	defer acct.mu.Unlock()
	// A returned loan does not wake the queue: two instances that both lack tokens would lend to and fro as fast as the
	// network allows.
	now := a.Clock.Boot()
	switch {
	case m.Settled:
		a.settleLoan(acct, now, m)
	case m.Used:
		acct.useLoan(now, m)
	default:
		acct.bucket.EndLoan(now, m.LoanID, m.From.Name, false)
	}
	return nil
}

// settleWithin is how long after its use a loan can be settled. It exceeds the longest answers; later settlements find
// that the tokens have accrued again anyway.
const settleWithin = 3 * time.Minute

// usedLoan is a loan that its borrower has used for a request that may still turn out to need less.
type usedLoan struct {
	charge   quota.Charge
	borrower peer.MemberID
	expires  time.Duration
}

// useLoan keeps the charge of a used loan until it is settled. The caller holds the account's lock.
func (acct *account) useLoan(now time.Duration, m peer.LoanDone) {
	charge, ok := acct.bucket.UseLoan(now, m.LoanID, m.From.Name)
	if !ok {
		return
	}
	acct.closeUnsettled(now)
	if acct.lent == nil {
		acct.lent = make(map[uint64]usedLoan)
	}
	acct.lent[m.LoanID] = usedLoan{charge: charge, borrower: m.From, expires: now + settleWithin}
}

// closeUnsettled ends the charges of loans whose settlement has not come in time. The caller holds the account's lock.
func (acct *account) closeUnsettled(now time.Duration) {
	for id, l := range acct.lent {
		if now >= l.expires {
			acct.bucket.Refund(now, l.charge, 0)
			delete(acct.lent, id)
		}
	}
}

// settleLoan gives back what a request did not need of a loan. The caller holds the account's lock.
func (a *Admission) settleLoan(acct *account, now time.Duration, m peer.LoanDone) {
	l, ok := acct.lent[m.LoanID]
	if !ok || l.borrower != m.From || m.Unused < 0 {
		return
	}
	delete(acct.lent, m.LoanID)
	a.count.refunded.Inc(int64(acct.bucket.Refund(now, l.charge, m.Unused)))
	acct.notify()
}

// charge is what one request took: a local part and loans.
type charge struct {
	admission *Admission
	account   *account
	local     quota.Charge
	loans     []taken
	total     int64
	ended     atomic.Bool
}

// Settle implements port.Charge.
func (c *charge) Settle(used int64) {
	if c.ended.Swap(true) {
		return
	}
	c.admission.count.settled.Inc(used)
	c.settleLoans(c.total - used - c.local.Tokens())
	acct := c.account
	acct.mu.Lock()
	defer acct.mu.Unlock()
	if acct.evicted {
		return
	}
	now := c.admission.Clock.Boot()
	if c.local.Tokens() > 0 {
		c.admission.count.refunded.Inc(int64(acct.bucket.Refund(now, c.local, max(0, c.total-used))))
	}
	if used > c.total {
		acct.bucket.ChargeExcess(now, used-c.total)
		c.admission.count.debt.Inc(used - c.total)
	}
	acct.notify()
}

// settleLoans tells lenders what is unused beyond the local part. The local part is refunded first, because that costs no
// message.
func (c *charge) settleLoans(unused int64) {
	for _, l := range c.loans {
		part := min(unused, l.tokens)
		if part <= 0 {
			return
		}
		unused -= part
		c.admission.tellLender(l, peer.LoanDone{Customer: c.account.name, LoanID: l.id, Used: true, Settled: true, Unused: part})
	}
}

// Cancel implements port.Charge.
func (c *charge) Cancel() { c.Settle(0) }

// freeOfCharge is the charge of a request that costs no tokens.
type freeOfCharge struct{}

func (freeOfCharge) Settle(int64) {}
func (freeOfCharge) Cancel()      {}
