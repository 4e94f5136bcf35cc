package quotasync

import (
	"cmp"
	"slices"

	"tanagerwood.dev/router/internal/domain/quota"
)

// CustomerShare is the share of one customer that this instance holds, with the state of its bucket.
type CustomerShare struct {
	Customer string
	Share    quota.Share
	// AvailableTokens can be taken now. ReservedTokens are lent, or held for requests that are being admitted.
	AvailableTokens int64
	ReservedTokens  int64
}

// CustomerShares lists the shares of the customers with an account at this instance, sorted by customer name.
func (a *Admission) CustomerShares() []CustomerShare {
	var shares []CustomerShare
	a.accounts.Range(func(_, value any) bool {
		acct := value.(*account)
		acct.mu.Lock()
		defer acct.mu.Unlock()
		if acct.bucket == nil || acct.evicted {
			return true
		}
		shares = append(shares, CustomerShare{
			Customer:        acct.name,
			Share:           acct.bucket.Share(),
			AvailableTokens: acct.bucket.Level(a.Clock.Boot()),
			ReservedTokens:  acct.bucket.Reserved(),
		})
		return true
	})
	slices.SortFunc(shares, func(a, b CustomerShare) int { return cmp.Compare(a.Customer, b.Customer) })
	return shares
}
