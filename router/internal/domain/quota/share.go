// Package quota decides about the tokens of a customer: which instances hold shares of its rate and burst, how much a
// share has left, what it lends, and what a settled request gives back. It does no I/O; the time is passed in.
package quota

import (
	"cmp"
	"slices"

	"tanagerwood.dev/router/internal/domain/rendezvous"
)

// MaxHolders bounds the holders of a customer, so that a large fleet does not split a burst into shares that are
// smaller than one request.
const MaxHolders = 8

// rateMargin lowers each share's rate, so that rounding in accrual never adds up to more than the customer's rate.
const rateMargin = 1 - 1e-9

// Limits are a customer's rate and burst across the fleet, in tokens a second and tokens.
type Limits struct {
	Rate  int64
	Burst int64
}

// Share is one holder's part of a customer's limits, in tokens a second and tokens.
type Share struct {
	Rate  float64
	Burst float64
}

// Min returns the smaller rate and the smaller burst.
func (s Share) Min(o Share) Share {
	return Share{Rate: min(s.Rate, o.Rate), Burst: min(s.Burst, o.Burst)}
}

// Holders returns the holders of a customer among the members, in descending order of rendezvous hash.
func Holders(customer string, members []string) []string {
	ranked := make([]ranking, 0, len(members))
	for _, m := range members {
		ranked = append(ranked, ranking{name: m, weight: rendezvous.Weight(customer, m)})
	}
	slices.SortFunc(ranked, func(a, b ranking) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
	})
	holders := make([]string, 0, MaxHolders)
	for _, r := range ranked[:min(MaxHolders, len(ranked))] {
		holders = append(holders, r.name)
	}
	return holders
}

type ranking struct {
	name   string
	weight uint64
}

// ShareOf returns the share of a member, which is zero if it is not among the holders. The bursts of all holders are
// whole tokens and add up to the customer's burst, so that a request as large as the burst can be admitted.
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
