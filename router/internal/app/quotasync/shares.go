package quotasync

import (
	"cmp"
	"slices"

	"tanagerwood.dev/router/internal/domain/quota"
)

// CustomerShare is what this instance holds of one customer.
type CustomerShare struct {
	Customer string
	Share    quota.Share
	// AvailableTokens is the number of tokens that can be taken now, Reserved what is lent or set aside.
	AvailableTokens int64
	ReservedTokens  int64
}

// CustomerShares lists the customers that were seen lately, in order of name.
func (a *Admission) CustomerShares() []CustomerShare {
	var list []CustomerShare
	a.accounts.Range(func(_, value any) bool {
		acct := value.(*account)
		acct.mu.Lock()
		defer acct.mu.Unlock()
		if acct.bucket == nil || acct.evicted {
			return true
		}
		list = append(list, CustomerShare{
			Customer:        acct.name,
			Share:           acct.bucket.Share(),
			AvailableTokens: acct.bucket.Level(a.Clock.Boot()),
			ReservedTokens:  acct.bucket.Reserved(),
		})
		return true
	})
	slices.SortFunc(list, func(a, b CustomerShare) int { return cmp.Compare(a.Customer, b.Customer) })
	return list
}
