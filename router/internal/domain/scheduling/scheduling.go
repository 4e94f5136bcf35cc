// Package scheduling chooses a pair of a prefill and a decode endpoint for a job: filters remove endpoints that cannot
// take it, scorers estimate the time to first token of each pair, and a picker orders the pairs.
package scheduling

import (
	"cmp"
	"slices"
	"time"

	"tanagerwood.dev/api/catalogue"
)

// Endpoint is what is known of one endpoint, possibly late.
type Endpoint struct {
	Name     string
	Domain   string
	Healthy  bool
	Leaving  bool
	Excluded bool
	// Backlog is the time until a prefill endpoint has done its present work.
	Backlog time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// CachedTokens is how much of the job's prompt a prefill endpoint has in its cache.
	CachedTokens int64
	// Running, Slots, UsedBlocks, TotalBlocks and BlockTokens describe a decode endpoint.
	Running, Slots          int
	UsedBlocks, TotalBlocks int64
	BlockTokens             int64
	// LinkRate is in bytes a second.
	LinkRate float64
	// TokenInterval is the time between output tokens.
	TokenInterval time.Duration
}

// Job is what is to be placed.
type Job struct {
	PromptTokens int64
	OutputTokens int64
	KVBytes      int64
	Domain       string
}

// Pair is a choice with its estimates.
type Pair struct {
	Prefill, Decode *Endpoint
	// PrefillTime is the time of the prefill itself; TransferTime that of the KV cache.
	PrefillTime, TransferTime time.Duration
	// TimeToFirstToken is the estimated time to first token from now.
	TimeToFirstToken time.Duration
	// Score orders pairs; less is better.
	Score time.Duration
}

// Filter keeps endpoints that can take the job.
type Filter interface {
	Keep(j *Job, e *Endpoint) bool
}

// Scorer adds to the score of a pair.
type Scorer interface {
	Score(j *Job, p *Pair) time.Duration
}

// Rand is a source of random numbers.
type Rand interface {
	IntN(n int) int
}

// Picker orders pairs by preference and returns the best few.
type Picker interface {
	Pick(r Rand, pairs []Pair) []Pair
}

// ReservationMode says how a policy reserves.
type ReservationMode int

// Ways to reserve.
const (
	// NoReservation sends the job without a reservation.
	NoReservation ReservationMode = iota
	// ReserveLocally reserves in the instance's own estimate from lagging reports.
	ReserveLocally
	// ReserveAtOwner reserves at the endpoints' owners.
	ReserveAtOwner
)

// Scheduler is a policy.
type Scheduler struct {
	Filters         []Filter
	Scorers         []Scorer
	Picker          Picker
	ReservationMode ReservationMode
	// DeferDecode says that the decode endpoint is chosen after the prefill.
	DeferDecode bool
}

// New returns the policy of the name; unknown names and the empty one select reserve.
func New(name catalogue.PolicyName) *Scheduler {
	filters := []Filter{LeavingFilter{}, MemoryFilter{}}
	estimates := []Scorer{TimeToFirstTokenScorer{}, DomainScorer{}}
	switch name {
	case catalogue.PolicyTwoChoices:
		return &Scheduler{Filters: filters, Scorers: estimates, Picker: TwoChoicesPicker{}, ReservationMode: ReserveLocally}
	case catalogue.PolicyRandom:
		return &Scheduler{Filters: filters, Picker: RandomPicker{}}
	case catalogue.PolicyLeastLoaded:
		return &Scheduler{Filters: filters, Scorers: []Scorer{LoadScorer{}}, Picker: BestPicker{}, ReservationMode: ReserveLocally}
	case catalogue.PolicyPrefillFirst:
		return &Scheduler{Filters: filters, Scorers: []Scorer{LoadScorer{}}, Picker: BestPicker{}, ReservationMode: ReserveLocally, DeferDecode: true}
	default:
		return &Scheduler{Filters: filters, Scorers: estimates, Picker: BestPicker{TieMargin: reserveTie, MaxPairs: reserveCount}, ReservationMode: ReserveAtOwner}
	}
}

const (
	// reserveTie is the difference in score that reports with their lag cannot tell apart.
	reserveTie = 20 * time.Millisecond
	// reserveCount is how many pairs are tried at their owners before the job waits.
	reserveCount = 4
	// farDomain is the handicap of an endpoint in another domain: two one-way distances of 2 ms, for each of the calls.
	farDomain = 4 * time.Millisecond
	// affinityLimit bounds what a cached prefix may save in the estimate, because the index is late: a wrong entry must
	// not pull jobs to an endpoint whose backlog is longer by more than this.
	affinityLimit = 400 * time.Millisecond
)

// Rank returns the pairs to try, best first. Exclusion and bad health give way if nothing else is left; leaving
// endpoints are never used.
func (s *Scheduler) Rank(r Rand, j *Job, prefills, decodes []*Endpoint) []Pair {
	prefills, decodes = s.keep(j, prefills), s.keep(j, decodes)
	pairs := make([]Pair, 0, len(prefills)*len(decodes))
	for _, p := range prefills {
		for _, d := range decodes {
			pairs = append(pairs, s.pair(j, p, d))
		}
	}
	if len(pairs) == 0 {
		return nil
	}
	return s.Picker.Pick(r, pairs)
}

func (s *Scheduler) keep(j *Job, all []*Endpoint) []*Endpoint {
	kept := make([]*Endpoint, 0, len(all))
	for _, strict := range []bool{true, false} {
		for _, e := range all {
			if s.keeps(j, e) && (!strict || e.Healthy && !e.Excluded) {
				kept = append(kept, e)
			}
		}
		if len(kept) > 0 {
			break
		}
	}
	return kept
}

func (s *Scheduler) keeps(j *Job, e *Endpoint) bool {
	for _, f := range s.Filters {
		if !f.Keep(j, e) {
			return false
		}
	}
	return true
}

func (s *Scheduler) pair(j *Job, p, d *Endpoint) Pair {
	pair := Pair{Prefill: p, Decode: d, PrefillTime: PrefillTime(j, p), TransferTime: perSecond(j.KVBytes, d.LinkRate)}
	pair.TimeToFirstToken = p.Backlog + pair.PrefillTime + pair.TransferTime + decodeWait(j, d)
	for _, scorer := range s.Scorers {
		pair.Score += scorer.Score(j, &pair)
	}
	return pair
}

// PrefillTime estimates the prefill of the job at the endpoint.
func PrefillTime(j *Job, e *Endpoint) time.Duration {
	cached := min(e.CachedTokens, j.PromptTokens)
	full := perSecond(j.PromptTokens, e.PrefillRate)
	return max(perSecond(j.PromptTokens-cached, e.PrefillRate), full-affinityLimit)
}

func perSecond(amount int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(amount) / rate * float64(time.Second))
}

// decodeWait estimates the wait for a slot: with all slots taken by requests of about the same length, one gets free
// each length/slots.
func decodeWait(j *Job, e *Endpoint) time.Duration {
	missing := e.Running - e.Slots + 1
	needed := blocks(j, e)
	if missing <= 0 && e.UsedBlocks+needed <= e.TotalBlocks || e.Slots == 0 {
		return 0
	}
	length := time.Duration(j.OutputTokens) * e.TokenInterval
	return length / time.Duration(e.Slots) * time.Duration(max(missing, 1))
}

func blocks(j *Job, e *Endpoint) int64 {
	if e.BlockTokens <= 0 {
		return 0
	}
	return (j.PromptTokens + j.OutputTokens + e.BlockTokens - 1) / e.BlockTokens
}

// LeavingFilter removes leaving endpoints.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Job, e *Endpoint) bool { return !e.Leaving }

// MemoryFilter removes decode endpoints whose memory is too small for the job, even when it is empty.
type MemoryFilter struct{}

// Keep implements Filter.
func (MemoryFilter) Keep(j *Job, e *Endpoint) bool {
	return e.TotalBlocks == 0 || blocks(j, e) <= e.TotalBlocks
}

// TimeToFirstTokenScorer scores by the estimated time to first token.
type TimeToFirstTokenScorer struct{}

// Score implements Scorer.
func (TimeToFirstTokenScorer) Score(_ *Job, p *Pair) time.Duration { return p.TimeToFirstToken }

// DomainScorer prefers endpoints in the instance's own domain, and pairs within one domain.
type DomainScorer struct{}

// Score implements Scorer.
func (DomainScorer) Score(j *Job, p *Pair) time.Duration {
	var d time.Duration
	if p.Prefill.Domain != j.Domain {
		d += farDomain
	}
	if p.Decode.Domain != j.Domain {
		d += farDomain
	}
	if p.Prefill.Domain != p.Decode.Domain {
		d += farDomain
	}
	return d
}

// LoadScorer scores by reported load alone, as many balancers do.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Job, p *Pair) time.Duration {
	d := p.Prefill.Backlog
	if p.Decode.Slots > 0 {
		d += time.Duration(float64(p.Decode.Running) / float64(p.Decode.Slots) * float64(time.Second))
	}
	return d
}

// BestPicker takes the pairs of least score.
type BestPicker struct {
	// TieMargin is the difference in score within which the order is random.
	TieMargin time.Duration
	// MaxPairs is how many pairs are returned; 1 if zero.
	MaxPairs int
}

// Pick implements Picker. Later pairs prefer endpoints that no earlier one has, so that a refusal at one endpoint does
// not spoil all.
func (b BestPicker) Pick(r Rand, pairs []Pair) []Pair {
	shuffle(r, pairs)
	slices.SortStableFunc(pairs, func(x, y Pair) int { return cmp.Compare(x.Score, y.Score) })
	count := min(max(b.MaxPairs, 1), len(pairs))
	picked := make([]Pair, 0, count)
	first := b.tied(pairs)
	picked = append(picked, pairs[r.IntN(first)])
	for len(picked) < count {
		picked = append(picked, pairs[next(pairs, picked)])
	}
	return picked
}

func (b BestPicker) tied(pairs []Pair) int {
	n := 1
	for n < len(pairs) && pairs[n].Score <= pairs[0].Score+b.TieMargin {
		n++
	}
	return n
}

// next finds the best pair that shares the least endpoints with those already picked.
func next(pairs, picked []Pair) int {
	best, least := 0, 1<<30
	for i, p := range pairs {
		shared := 0
		for _, q := range picked {
			if p.Prefill == q.Prefill && p.Decode == q.Decode {
				shared += len(pairs)
			} else if p.Prefill == q.Prefill || p.Decode == q.Decode {
				shared++
			}
		}
		if shared < least {
			best, least = i, shared
		}
	}
	return best
}

// TwoChoicesPicker takes the better of two random pairs, so that instances with the same late reports do not all choose the
// same endpoint.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(r Rand, pairs []Pair) []Pair {
	a, b := pairs[r.IntN(len(pairs))], pairs[r.IntN(len(pairs))]
	if b.Score < a.Score {
		a = b
	}
	return []Pair{a}
}

// RandomPicker takes a random pair.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(r Rand, pairs []Pair) []Pair { return []Pair{pairs[r.IntN(len(pairs))]} }

func shuffle(r Rand, pairs []Pair) {
	for i := len(pairs) - 1; i > 0; i-- {
		j := r.IntN(i + 1)
		pairs[i], pairs[j] = pairs[j], pairs[i]
	}
}
