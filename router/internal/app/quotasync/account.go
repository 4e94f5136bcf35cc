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

// account is what this instance knows about one customer. It is built when the customer is first seen.
type account struct {
	name string
	wake chan struct{}

	mu     sync.Mutex
	bucket *quota.Bucket
	// evicted accounts are no longer in the map; whoever finds this set looks the customer up again.
	evicted  bool
	snapshot *config.Snapshot
	limits   quota.Limits
	viewSeq  uint64
	lenders  []lender
	queue    []*waiter
	// lent holds the used loans that may be settled, by loan id.
	lent map[uint64]usedLoan
	// headUntil is when the first request in the queue expects its tokens, or 0 while it does not wait for them.
	headUntil time.Duration
}

// lender is another holder and what is known about its level.
type lender struct {
	peer.Member
	share quota.Share
	level int64
	// at is when the level was known; known is false before the first answer.
	at    time.Duration
	known bool
	// failedAt is when the holder last did not answer, and failed says that it has not answered since.
	failedAt time.Duration
	failed   bool
}

// waiter is one request in a customer's queue.
type waiter struct {
	tokens   int64
	deadline time.Duration
	turn     chan struct{}
}

// lock returns the customer's account, up to date and locked.
func (a *Admission) lock(customer string) *account {
	for {
		found, ok := a.accounts.Load(customer)
		if !ok {
			found, _ = a.accounts.LoadOrStore(customer, &account{name: customer, wake: make(chan struct{}, 1)})
		}
		acct := found.(*account)
		acct.mu.Lock()
		if !acct.evicted {
			a.refresh(acct)
			return acct
		}
		acct.mu.Unlock()
	}
}

// refresh applies the views and the configuration that came into force since the account was used last. The caller holds
// the account's lock.
func (a *Admission) refresh(acct *account) {
	views, snapshot := a.Membership.Views(), a.Config.Current()
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
	acct.applyViews(views, self)
	if acct.limits != limits {
		acct.limits = limits
		acct.bucket.SetShare(a.Clock.Boot(), views.Newest().Share(limits, acct.name, self))
	}
	acct.snapshot = snapshot
	acct.setLenders(views.Newest().Holders(acct.name), self)
}

// applyViews brings the bucket through all views since it was used last. A bucket that missed a view that is no longer
// kept starts empty, because its share may have been lost meanwhile. A new bucket accrues from the oldest view on: as it
// was not used, this is what it would hold.
func (acct *account) applyViews(views *roster.ViewHistory, self peer.MemberID) {
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

// setLenders keeps what is known about holders that stay.
func (acct *account) setLenders(holders []peer.Member, self peer.MemberID) {
	names := make([]string, 0, len(holders))
	for _, h := range holders {
		names = append(names, h.Name)
	}
	old := acct.lenders
	acct.lenders = make([]lender, 0, len(holders))
	for _, h := range holders {
		if h.MemberID == self {
			continue
		}
		l := lender{Member: h}
		if i := slices.IndexFunc(old, func(o lender) bool { return o.MemberID == h.MemberID }); i >= 0 {
			l = old[i]
		}
		l.share = quota.ShareOf(acct.limits, names, h.Name)
		acct.lenders = append(acct.lenders, l)
	}
}

// estimate is the greatest level the holder can have now, as far as is known.
func (l *lender) estimate(now time.Duration) float64 {
	if !l.known {
		return l.share.Burst
	}
	return min(l.share.Burst, float64(l.level)+l.share.Rate*(now-l.at).Seconds())
}

// accrualTime is how long the customer's whole rate takes to accrue the tokens.
func (acct *account) accrualTime(tokens int64) time.Duration {
	if acct.limits.Rate <= 0 {
		return longestPause
	}
	return time.Duration(float64(tokens) / float64(acct.limits.Rate) * float64(time.Second))
}

// enqueue appends a request; the first one has its turn at once. The caller holds the lock.
func (acct *account) enqueue(tokens int64, deadline time.Duration) *waiter {
	w := &waiter{tokens: tokens, deadline: deadline, turn: make(chan struct{})}
	acct.queue = append(acct.queue, w)
	if len(acct.queue) == 1 {
		close(w.turn)
	}
	return w
}

// leave removes a request from the queue and gives the next one its turn.
func (acct *account) leave(w *waiter) {
	acct.mu.Lock()
	defer acct.mu.Unlock()
	i := slices.Index(acct.queue, w)
	acct.queue = slices.Delete(acct.queue, i, i+1)
	if i == 0 && len(acct.queue) > 0 {
		close(acct.queue[0].turn)
	}
	if len(acct.queue) == 0 {
		acct.queue = nil
	}
}

func (acct *account) setHeadUntil(t time.Duration) {
	acct.mu.Lock()
	defer acct.mu.Unlock()
	acct.headUntil = t
}

// notify makes the first request in the queue try again.
func (acct *account) notify() {
	select {
	case acct.wake <- struct{}{}:
	default:
	}
}

// evict drops accounts that are as good as new: full, with nothing open. Accounts of customers that are not in the
// catalogue stay, so that a customer that is removed and added again does not get its burst twice.
func (a *Admission) evict() {
	a.accounts.Range(func(name, value any) bool {
		acct := value.(*account)
		acct.mu.Lock()
		defer acct.mu.Unlock()
		if acct.bucket == nil {
			return true
		}
		a.refresh(acct)
		acct.closeUnsettled(a.Clock.Boot())
		if acct.limits.Burst > 0 && acct.bucket.Share().Burst > 0 && len(acct.queue) == 0 && acct.bucket.Idle(a.Clock.Boot()) {
			acct.evicted = true
			a.accounts.Delete(name)
		}
		return true
	})
}
