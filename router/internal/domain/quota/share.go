// Package quota divides the token limits of a customer between instances: which instances hold shares of its rate and
// burst, how much of a share is left, what a holder lends, and what is refunded for a completed request. It does no
// I/O; the time is passed in.
package quota

import (
	"cmp"
	"slices"

	"tanagerwood.dev/router/internal/domain/rendezvous"
)

// MaxHolders is the largest number of holders of a customer. It keeps a large fleet from splitting a burst into shares
// that are smaller than one request.
const MaxHolders = 8

// rateMargin lowers the rate of each share, so that with rounding errors the shares still never accrue more than the
// customer's rate.
const rateMargin = 1 - 1e-9

// Limits holds a customer's rate, in tokens per second, and burst, in tokens, across the fleet.
type Limits struct {
	Rate  int64
	Burst int64
}

// Share is one holder's part of a customer's limits, in tokens per second and tokens.
type Share struct {
	Rate  float64
	Burst float64
}

// Min returns a share with the smaller rate and the smaller burst.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// Holders returns the members that hold a share of a customer's limits, in descending order of rendezvous hash.
func Holders(customer string, members []string) []string {
	ranked := make([]rankedMember, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, rankedMember{name: m, weight: rendezvous.Weight(customer, m)})
	}
	slices.SortFunc(ranked, func(a, b rankedMember) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	holders := make([]string, 0, MaxHolders)
	for _, r := range ranked[:min(MaxHolders, len(ranked))] {
		holders = append(holders, r.name)
	}
	return holders
}

type rankedMember struct {
	name   string
	weight uint64
}

// ShareOf returns the share of a member, which is zero if it is not a holder. The bursts of the holders are whole
// tokens and add up to the customer's burst, so that a request as large as the burst can be admitted.
func ShareOf(l Limits, holders []string, member string) Share {
	rank := slices.Index(holders, member)
	if rank < 0 {
		return Share{}
	}
	k := int64(len(holders))
	burst := l.Burst / k
	if int64(rank) < l.Burst%k {
		burst++
	}
	return Share{Rate: float64(l.Rate) / float64(k) * rateMargin, Burst: float64(burst)}
}
