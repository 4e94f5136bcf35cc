package quotasync

import (
	"slices"
	"sync"
	"time"

	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/quota"
	"tanagerwood.dev/router/internal/domain/roster"
)

// account is the state of one customer at this instance: the local bucket, the other holders and the queue of waiting
// requests. It is created on the customer's first request.
type account struct {
	name     string
	headWake chan struct{}

	mu     sync.Mutex
	bucket *quota.Bucket
	// evicted is set when the account is removed from the map. A caller that finds it set looks the customer up again.
	evicted  bool
	snapshot *config.Snapshot
	limits   quota.Limits
	viewSeq  uint64
	lenders  []lender
	queue    []*waiter
	// usedLoans holds the loans given by this instance that are used but not settled yet, by loan ID.
	usedLoans map[uint64]usedLoan
	// headReadyAt is when the first request in the queue expects to have its tokens, or 0 if it is not waiting for them.
	headReadyAt time.Duration
}

// lender is another holder of the customer's shares, with the last known level of its bucket.
type lender struct {
	peer.Member
	share quota.Share
	level int64
	// levelAt is the time at which level was reported. levelKnown is false until the holder has replied once.
	levelAt    time.Duration
	levelKnown bool
	// failedAt is the time of the last failed request to the holder. failed is set until the holder replies again.
	failedAt time.Duration
	failed   bool
}

// waiter is a request in a customer's queue. reachedHead is closed when the request becomes the first one.
type waiter struct {
	tokens      int64
	deadline    time.Duration
	reachedHead chan struct{}
}

// lockAccount returns the customer's account locked and refreshed. It creates the account if there is none.
func (a *Admission) lockAccount(customer string) *account {
	for {
		found, ok := a.accounts.Load(customer)
		if !ok {
			found, _ = a.accounts.LoadOrStore(customer, &account{name: customer, headWake: make(chan struct{}, 1)})
		}
		acct := found.(*account)
		acct.mu.Lock()
		if !acct.evicted {
			a.refreshAccount(acct)
			return acct
		}
		acct.mu.Unlock()
	}
}

// refreshAccount applies the roster views and the configuration that took effect since the account was last used. The
// caller must hold the account's lock.
func (a *Admission) refreshAccount(acct *account) {
	views, snapshot := a.Membership.ViewHistory(), a.Config.Current()
	if acct.bucket != nil && acct.snapshot == snapshot && acct.viewSeq == views.Newest().Seq {
		return
	}
	limits := acct.limits
	if acct.snapshot != snapshot {
		limits = quota.Limits{}
		if c, ok := snapshot.Customer(acct.name); ok {
			limits = quota.Limits{Rate: c.RateTokens, Burst: c.BurstTokens}
		}
	}
	self := a.Membership.Self().MemberID
	if acct.bucket == nil {
		acct.limits = limits
	}
	acct.applyRosterViews(views, self)
	if acct.limits != limits {
		acct.limits = limits
		acct.bucket.SetShare(a.Clock.Boot(), views.Newest().Share(limits, acct.name, self))
	}
	acct.snapshot = snapshot
	acct.updateLenders(views.Newest().Holders(acct.name), self)
}

// applyRosterViews applies all roster views since the account was last used to the bucket. If a view in between is no
// longer in the history, the bucket starts empty, because the share may have been lost in that view. A new bucket accrues
// from the oldest view in the history on: no tokens were taken from it, so it would hold that much now.
func (acct *account) applyRosterViews(views *roster.ViewHistory, self peer.MemberID) {
	pending, complete := views.Since(acct.viewSeq)
	if len(pending) == 0 {
		return
	}
	if acct.bucket == nil {
		acct.bucket = quota.NewBucket(pending[0].EffectiveFrom)
	} else if !complete {
		acct.bucket.Reset(pending[0].EffectiveFrom)
	}
	for i := range pending {
		if pending[i].Reset {
			acct.bucket.Reset(pending[i].EffectiveFrom)
		}
		acct.bucket.SetShare(pending[i].EffectiveFrom, pending[i].Share(acct.limits, acct.name, self))
	}
	acct.viewSeq = views.Newest().Seq
}

// updateLenders replaces the list of lenders. The state of holders that stay in the list is kept.
func (acct *account) updateLenders(holders []peer.Member, self peer.MemberID) {
	names := make([]string, 0, len(holders))
	for _, h := range holders {
		names = append(names, h.Name)
	}
	previous := acct.lenders
	acct.lenders = make([]lender, 0, len(holders))
	for _, h := range holders {
		if h.MemberID == self {
			continue
		}
		l := lender{Member: h}
		if i := slices.IndexFunc(previous, func(o lender) bool { return o.MemberID == h.MemberID }); i >= 0 {
			l = previous[i]
		}
		l.share = quota.ShareOf(acct.limits, names, h.Name)
		acct.lenders = append(acct.lenders, l)
	}
}

// estimatedLevel returns the highest level that the holder's bucket can have now, given its last reported level.
func (l *lender) estimatedLevel(now time.Duration) float64 {
	if !l.levelKnown {
		return l.share.Burst
	}
	return min(l.share.Burst, float64(l.level)+l.share.Rate*(now-l.levelAt).Seconds())
}

// accrualTime returns how long the tokens take to accrue at the customer's full rate.
func (acct *account) accrualTime(tokens int64) time.Duration {
	if acct.limits.Rate <= 0 {
		return maxRetryDelay
	}
	return time.Duration(float64(tokens) / float64(acct.limits.Rate) * float64(time.Second))
}

// enqueue appends a request to the queue. If the queue was empty, the request is at the head at once. The caller must hold
// the lock.
func (acct *account) enqueue(tokens int64, deadline time.Duration) *waiter {
	w := &waiter{tokens: tokens, deadline: deadline, reachedHead: make(chan struct{})}
	acct.queue = append(acct.queue, w)
	if len(acct.queue) == 1 {
		close(w.reachedHead)
	}
	return w
}

// dequeue removes a request from the queue. If it was at the head, the next one moves up.
func (acct *account) dequeue(w *waiter) {
	acct.mu.Lock()
	defer acct.mu.Unlock()
	i := slices.Index(acct.queue, w)
	acct.queue = slices.Delete(acct.queue, i, i+1)
	if i == 0 && len(acct.queue) > 0 {
		close(acct.queue[0].reachedHead)
	}
	if len(acct.queue) == 0 {
		acct.queue = nil
	}
}

func (acct *account) setHeadReadyAt(t time.Duration) {
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.headReadyAt = t
}

// wakeHead makes the first request in the queue retry without waiting for its timer.
func (acct *account) wakeHead() {
	select {
	case acct.headWake <- struct{}{}:
	default:
	}
}

// evictIdleAccounts removes accounts that are equal to a new one: the bucket is full and has no open loans or charges.
// Accounts of customers that are not in the catalogue are kept, so that a customer that is removed and added again does
// not get its burst twice.
func (a *Admission) evictIdleAccounts() {
	a.accounts.Range(func(name, value any) bool {
		acct := value.(*account)
		acct.mu.Lock()
		defer acct.mu.Unlock()
		if acct.bucket == nil {
			return true
		}
		a.refreshAccount(acct)
		acct.expireUsedLoans(a.Clock.Boot())
		if acct.limits.Burst > 0 && acct.bucket.Share().Burst > 0 && len(acct.queue) == 0 && acct.bucket.Idle(a.Clock.Boot()) {
			acct.evicted = true
			a.accounts.Delete(name)
		}
		return true
	})
}
