// Package quotasync admits requests within the customers' rates and bursts across the fleet. It charges the local share
// of a customer, borrows missing tokens from the other holders, lends to them, and lets requests wait in order. It
// implements port.Admission.
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

// Membership is what admission needs to know about membership.
type Membership interface {
	Self() peer.Member
	IsAlive(id peer.MemberID) bool
	// Confirmed reports whether this member may use its shares now.
	Confirmed() bool
	// Views are the rosters that decide about shares.
	Views() *roster.ViewHistory
}

// LoanClient sends loan messages to other instances.
type LoanClient interface {
	Loan(ctx context.Context, address string, m peer.LoanRequest) (peer.LoanReply, error)
	LoanDone(ctx context.Context, address string, m peer.LoanDone) error
}

// Dependencies of an Admission.
type Dependencies struct {
	Membership Membership
	LoanClient LoanClient
	Clock      port.Clock
	Config     port.Config
	Events     port.EventLog
	Metrics    metrics.Registry
}

// Admission admits requests. Create it with New.
type Admission struct {
	Dependencies
	count    counters
	accounts sync.Map // customer name -> *account
	requests atomic.Uint64
	lastLoan atomic.Uint64
	sending  sync.WaitGroup
}

var _ port.Admission = (*Admission)(nil)

// New returns an Admission that follows the configuration and the roster.
func New(d Dependencies) *Admission {
	a := &Admission{Dependencies: d, count: newCounters(d.Metrics)}
	// Loan ids start at the incarnation, so that a late message about a loan of an earlier life matches none of this one.
	a.lastLoan.Store(d.Membership.Self().Incarnation)
	d.Config.Subscribe(func(*config.Snapshot) { a.evict() })
	return a
}

// Stop waits for messages that are being sent.
func (a *Admission) Stop() { a.sending.Wait() }

// Admit implements port.Admission.
func (a *Admission) Admit(ctx context.Context, customer *config.Customer, tokens int64, patience time.Duration) (port.Charge, error) {
	if tokens <= 0 {
		return freeOfCharge{}, nil
	}
	acct := a.lock(customer.Name)
	if tokens > acct.limits.Burst {
		limit := acct.limits.Burst
		acct.mu.Unlock()
		a.count.overLimit.Inc(1)
		return nil, fault.New(fault.OverLimit, fmt.Sprintf(
			"the request needs %d tokens, but customer %s may use at most %d at once (burstTokens); shorten the prompt or lower max_tokens",
			tokens, customer.Name, limit))
	}
	if len(acct.queue) == 0 {
		if c := a.takeLocal(acct, tokens); c != nil {
			acct.mu.Unlock()
			return c, nil
		}
	}
	now := a.Clock.Boot()
	if until := acct.headUntil; len(acct.queue) > 0 && until > now+patience {
		retry := until - now + acct.accrualTime(tokens)
		acct.mu.Unlock()
		return nil, a.refuse(customer.Name, retry)
	}
	w := acct.enqueue(tokens, now+patience)
	acct.mu.Unlock()
	return a.wait(ctx, acct, w, patience)
}

// takeLocal charges the local share if it suffices. The caller holds the account's lock.
func (a *Admission) takeLocal(acct *account, tokens int64) *charge {
	now := a.Clock.Boot()
	if acct.bucket.Level(now) < tokens {
		return nil
	}
	held := acct.bucket.Hold(now, tokens)
	if !a.Membership.Confirmed() { // checked after the tokens were taken, which is the moment of use
		acct.bucket.Release(now, held)
		return nil
	}
	local, _ := acct.bucket.Commit(now, held)
	a.count.admitted(tokens)
	return &charge{admission: a, account: acct, local: local, total: tokens}
}

func (a *Admission) refuse(customer string, retry time.Duration) error {
	a.count.refused.Inc(1)
	return fault.New(fault.RateLimited, fmt.Sprintf(
		"customer %s has used its rate; come back after the time in Retry-After, or ask the operator for a higher rate", customer)).
		WithRetryAfter(max(retry, time.Millisecond))
}

func (a *Admission) notConfirmed() error {
	a.count.notConfirmed.Inc(1)
	return fault.New(fault.NotConfirmed,
		"this instance can reach neither the platform nor a majority of its peers; send the request to another instance").
		WithRetryAfter(roster.ConfirmationValidity)
}

// grace is how long a request waits for those before it to finish borrowing, even if it has no patience.
const grace = 150 * time.Millisecond

// wait lets the request wait for its turn and then for its tokens.
func (a *Admission) wait(ctx context.Context, acct *account, w *waiter, patience time.Duration) (port.Charge, error) {
	defer acct.leave(w)
	timer := time.NewTimer(max(patience, grace))
	defer timer.Stop()
	select {
	case <-w.turn:
	case <-ctx.Done():
		return nil, a.gone()
	case <-timer.C:
		return nil, a.refuse(acct.name, acct.accrualTime(w.tokens))
	}
	return a.serve(ctx, acct, w)
}

// contention bounds the immediate retries of a request without patience whose tokens are there but were lent out or held
// by another request at that moment.
const (
	contentionRetries = 4
	contentionPause   = 12 * time.Millisecond
	// maxDoublings bounds the growth of the pause between attempts that failed, to 192 ms.
	maxDoublings = 4
	longestPause = time.Second
)

// serve tries to get the tokens for the first request in the queue until its patience ends.
func (a *Admission) serve(ctx context.Context, acct *account, w *waiter) (port.Charge, error) {
	for attempt := 0; ; attempt++ {
		result := a.attempt(ctx, acct, w.tokens)
		switch {
		case result.charge != nil:
			return result.charge, nil
		case ctx.Err() != nil:
			return nil, a.gone()
		case result.unreachable:
			return nil, a.notConfirmed()
		}
		pause := result.wait
		now := a.Clock.Boot()
		contended := pause <= contentionPause && attempt < contentionRetries
		if now+pause > w.deadline && !contended {
			return nil, a.refuse(acct.name, pause)
		}
		if !a.pause(ctx, acct, now, max(pause, contentionPause<<min(attempt, maxDoublings))) {
			return nil, a.gone()
		}
	}
}

// pause waits for tokens to accrue, or for a settlement to return some. It reports false if the caller is gone.
func (a *Admission) pause(ctx context.Context, acct *account, now, d time.Duration) bool {
	a.count.waits.Inc(1)
	acct.setHeadUntil(now + d)
	defer acct.setHeadUntil(0)
	d = min(d, longestPause)
	timer := time.NewTimer(d + rand.N(d/4+time.Millisecond)) // spread, so that two instances do not collide again
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-acct.wake:
	}
	return true
}

func (a *Admission) gone() error {
	return fault.New(fault.CallerGone, "the caller went away while the request waited for tokens")
}
