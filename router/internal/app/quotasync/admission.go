// Package quotasync enforces the customers' token rates and bursts across the fleet. The tokens of a customer are divided
// into shares that several instances hold. To admit a request, an instance charges its own share and borrows the missing
// tokens from the other holders; it lends to them in turn. Requests of a customer that lack tokens wait in arrival order.
// Package quotasync implements port.Admission.
package quotasync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/roster"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Membership is the part of the membership service that admission uses.
type Membership interface {
	Self() peer.Member
	IsAlive(id peer.MemberID) bool
	// Confirmed reports whether this member may use its shares now.
	Confirmed() bool
	// ViewHistory returns the recent roster views, from which the shares are computed.
	ViewHistory() *roster.ViewHistory
}

// LoanClient sends loan messages to other instances.
type LoanClient interface {
	Loan(ctx context.Context, address string, m peer.LoanRequest) (peer.LoanReply, error)
	LoanDone(ctx context.Context, address string, m peer.LoanDone) error
}

// Dependencies are the services that an Admission uses.
type Dependencies struct {
	Membership Membership
	LoanClient LoanClient
	Clock      port.Clock
	Config     port.Config
	Events     port.EventLog
	Metrics    metrics.Registry
}

// Admission admits requests within the customers' limits. Use New to create one.
type Admission struct {
	Dependencies
	counters      counters
	accounts      sync.Map // customer name -> *account
	lastRequestID atomic.Uint64
	lastLoanID    atomic.Uint64
	pendingSends  sync.WaitGroup
}

var _ port.Admission = (*Admission)(nil)

// New returns an Admission that follows changes of the configuration and the roster.
func New(d Dependencies) *Admission {
	a := &Admission{Dependencies: d, counters: newCounters(d.Metrics)}
	// Loan IDs start at the incarnation, so that a late message about a loan of an earlier incarnation matches no loan of
	// this one.
	a.lastLoanID.Store(d.Membership.Self().Incarnation)
	d.Config.Subscribe(func(*config.Snapshot) { a.evictIdleAccounts() })
	return a
}

// Stop waits until the LoanDone messages in flight are sent.
func (a *Admission) Stop() { a.pendingSends.Wait() }

// Admit implements port.Admission.
func (a *Admission) Admit(ctx context.Context, customer *config.Customer, tokens int64, maxWait time.Duration) (port.Charge, error) {
	if tokens <= 0 {
		return zeroCharge{}, nil
	}
	acct := a.lockAccount(customer.Name)
	if tokens > acct.limits.Burst {
		limit := acct.limits.Burst
		acct.mu.Unlock()
		a.counters.overLimit.Inc(1)
		return nil, fault.New(fault.ExceedsBurst, fmt.Sprintf(
			"the request needs %d tokens, but customer %s may use at most %d at once (burstTokens); shorten the prompt or lower max_tokens",
			tokens, customer.Name, limit))
	}
	if len(acct.queue) == 0 {
		if c := a.chargeLocal(acct, tokens); c != nil {
			acct.mu.Unlock()
			return c, nil
		}
	}
	now := a.Clock.Boot()
	if headReadyAt := acct.headReadyAt; len(acct.queue) > 0 && headReadyAt > now+maxWait {
		retryAfter := headReadyAt - now + acct.accrualTime(tokens)
		acct.mu.Unlock()
		return nil, a.refuseRateLimited(customer.Name, retryAfter)
	}
	w := acct.enqueue(tokens, now+maxWait)
	acct.mu.Unlock()
	return a.waitInQueue(ctx, acct, w, maxWait)
}

// chargeLocal charges the local share and returns nil if the share does not suffice. The caller must hold the account's
// lock.
func (a *Admission) chargeLocal(acct *account, tokens int64) *charge {
	now := a.Clock.Boot()
	if acct.bucket.Level(now) < tokens {
		return nil
	}
	held := acct.bucket.Hold(now, tokens)
	if !a.Membership.Confirmed() { // checked after the tokens are taken: the confirmation must be valid at that time
		acct.bucket.Release(now, held)
		return nil
	}
	local, _ := acct.bucket.Commit(now, held)
	a.counters.recordAdmitted(tokens)
	return &charge{admission: a, account: acct, localCharge: local, chargedTokens: tokens}
}

func (a *Admission) refuseRateLimited(customer string, retryAfter time.Duration) error {
	a.counters.refused.Inc(1)
	return fault.New(fault.RateLimited, fmt.Sprintf(
		"customer %s has used its rate; come back after the time in Retry-After, or ask the operator for a higher rate", customer)).
		WithRetryAfter(max(retryAfter, time.Millisecond))
}

func (a *Admission) refuseNotConfirmed() error {
	a.counters.notConfirmed.Inc(1)
	return fault.New(fault.InstanceNotConfirmed,
		"this instance can reach neither the platform nor a majority of its peers; send the request to another instance").
		WithRetryAfter(roster.ConfirmationValidity)
}

// minQueueWait is how long a request waits for those ahead of it to finish borrowing, even if its maximum wait is shorter.
const minQueueWait = 150 * time.Millisecond

// waitInQueue waits until the request is at the head of the queue, and then for its tokens.
func (a *Admission) waitInQueue(ctx context.Context, acct *account, w *waiter, maxWait time.Duration) (port.Charge, error) {
	defer acct.dequeue(w)
	timer := time.NewTimer(max(maxWait, minQueueWait))
	defer timer.Stop()
	select {
	case <-w.reachedHead:
	case <-ctx.Done():
		return nil, a.callerGone()
	case <-timer.C:
		return nil, a.refuseRateLimited(acct.name, acct.accrualTime(w.tokens))
	}
	return a.admitAtHead(ctx, acct, w)
}

// Retry limits. A request whose tokens exist but are lent out or held by another request at that moment is retried up to
// maxContentionRetries times, baseRetryDelay apart at first, even if its maximum wait is over.
const (
	maxContentionRetries = 4
	baseRetryDelay       = 12 * time.Millisecond
	// maxBackoffDoublings limits the exponential backoff between failed attempts, to 192 ms.
	maxBackoffDoublings = 4
	maxRetryDelay       = time.Second
)

// admitAtHead tries to get the tokens for the request at the head of the queue until its deadline.
func (a *Admission) admitAtHead(ctx context.Context, acct *account, w *waiter) (port.Charge, error) {
	for attempt := 0; ; attempt++ {
		result := a.tryAdmit(ctx, acct, w.tokens)
		switch {
		case result.charge != nil:
			return result.charge, nil
		case ctx.Err() != nil:
			return nil, a.callerGone()
		case result.unreachable:
			return nil, a.refuseNotConfirmed()
		}
		delay := result.accrualWait
		now := a.Clock.Boot()
		contended := delay <= baseRetryDelay && attempt < maxContentionRetries
		if now+delay > w.deadline && !contended {
			return nil, a.refuseRateLimited(acct.name, delay)
		}
		if !a.waitForTokens(ctx, acct, now, max(delay, baseRetryDelay<<min(attempt, maxBackoffDoublings))) {
			return nil, a.callerGone()
		}
	}
}

// waitForTokens waits for d, or until a settlement returns tokens. It reports false if the caller has disconnected.
func (a *Admission) waitForTokens(ctx context.Context, acct *account, now, d time.Duration) bool {
	a.counters.tokenWaits.Inc(1)
	acct.setHeadReadyAt(now + d)
	defer acct.setHeadReadyAt(0)
	d = min(d, maxRetryDelay)
	timer := time.NewTimer(d + rand.N(d/4+time.Millisecond)) // jitter, so that two instances do not collide again
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-acct.headWake:
	}
	return true
}

func (a *Admission) callerGone() error {
	return fault.New(fault.CallerDisconnected, "the caller went away while the request waited for tokens")
}
