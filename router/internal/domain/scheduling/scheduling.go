// Package scheduling selects a pair of a prefill and a decode endpoint for a request. Filters remove endpoints that cannot take
// the request, scorers rate each remaining pair, and a picker orders the pairs.
package scheduling

import (
	"cmp"
	"slices"
	"time"

	"tanagerwood.dev/api/catalogue"
)

// Endpoint is the state of one endpoint as known to this instance. It may be stale.
type Endpoint struct {
	Name     string
	Domain   string
	Healthy  bool
	Leaving  bool
	Excluded bool
	// Backlog is the time until a prefill endpoint has finished its queued work.
	Backlog time.Duration
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// CachedTokens is the number of tokens of the job's prompt that a prefill endpoint holds in its prefix cache.
	CachedTokens int64
	// Running, Slots, UsedBlocks, TotalBlocks and BlockTokens describe a decode endpoint.
	Running, Slots          int
	UsedBlocks, TotalBlocks int64
	BlockTokens             int64
	// LinkRate is in bytes per second.
	LinkRate float64
	// TokenInterval is the time between output tokens.
	TokenInterval time.Duration
}

// Job is a request that needs a pair of endpoints.
type Job struct {
	PromptTokens int64
	OutputTokens int64
	KVBytes      int64
	Domain       string
}

// Pair is a candidate pair of endpoints with its estimates.
type Pair struct {
	Prefill, Decode *Endpoint
	// PrefillTime is the duration of the prefill itself, without queueing; TransferTime is that of the KV cache transfer.
	PrefillTime, TransferTime time.Duration
	// TimeToFirstToken is the estimated time from now to the first token.
	TimeToFirstToken time.Duration
	// Score ranks pairs; lower is better.
	Score time.Duration
}

// Filter decides which endpoints can take the job.
type Filter interface {
	Keep(j *Job, e *Endpoint) bool
}

// Scorer rates a pair. The scores of all scorers are added.
type Scorer interface {
	Score(j *Job, p *Pair) time.Duration
}

// Rand is a source of random numbers.
type Rand interface {
	IntN(n int) int
}

// Picker selects pairs and returns them in order of preference.
type Picker interface {
	Pick(r Rand, pairs []Pair) []Pair
}

// ReservationMode says how a policy reserves capacity.
type ReservationMode int

// Reservation modes.
const (
	// NoReservation sends the job without a reservation.
	NoReservation ReservationMode = iota
	// ReserveLocally reserves only in this instance's estimate, which is built from delayed load reports.
	ReserveLocally
	// ReserveAtOwner reserves at the instances that own the endpoints.
	ReserveAtOwner
)

// Scheduler implements a scheduling policy.
type Scheduler struct {
	Filters         []Filter
	Scorers         []Scorer
	Picker          Picker
	ReservationMode ReservationMode
	// DeferDecode selects the decode endpoint only after the prefill.
	DeferDecode bool
}

// New returns the scheduler for a policy name. Unknown and empty names select the reserve policy.
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
		return &Scheduler{Filters: filters, Scorers: estimates, Picker: BestPicker{TieMargin: reserveTieMargin, MaxPairs: reserveMaxPairs}, ReservationMode: ReserveAtOwner}
	}
}

const (
	// reserveTieMargin is the difference in score that delayed load reports cannot resolve.
	reserveTieMargin = 20 * time.Millisecond
	// reserveMaxPairs is the number of pairs that are tried at their owners before the job waits.
	reserveMaxPairs = 4
	// crossDomainPenalty is added for an endpoint in another failure domain: two one-way trips of 2 ms for each call.
	crossDomainPenalty = 4 * time.Millisecond
	// maxCacheSaving bounds the prefill time that a cached prefix saves in the estimate. The prefix index is updated with a
	// delay; a stale entry must not attract jobs to an endpoint whose backlog is longer by more than this.
	maxCacheSaving = 400 * time.Millisecond
)

// Rank returns the pairs to try, best first. Unhealthy and excluded endpoints are used only if no others are left; leaving
// endpoints are never used.
func (s *Scheduler) Rank(r Rand, j *Job, prefills, decodes []*Endpoint) []Pair {
	prefills, decodes = s.filter(j, prefills), s.filter(j, decodes)
	pairs := make([]Pair, 0, len(prefills)*len(decodes))
	for _, p := range prefills {
		for _, d := range decodes {
			pairs = append(pairs, s.newPair(j, p, d))
		}
	}
	if len(pairs) == 0 {
		return nil
	}
	return s.Picker.Pick(r, pairs)
}

func (s *Scheduler) filter(j *Job, all []*Endpoint) []*Endpoint {
	kept := make([]*Endpoint, 0, len(all))
	for _, strict := range []bool{true, false} {
		for _, e := range all {
			if s.accepts(j, e) && (!strict || e.Healthy && !e.Excluded) {
				kept = append(kept, e)
			}
		}
		if len(kept) > 0 {
			break
		}
	}
	return kept
}

func (s *Scheduler) accepts(j *Job, e *Endpoint) bool {
	for _, f := range s.Filters {
		if !f.Keep(j, e) {
			return false
		}
	}
	return true
}

func (s *Scheduler) newPair(j *Job, p, d *Endpoint) Pair {
	pair := Pair{Prefill: p, Decode: d, PrefillTime: PrefillTime(j, p), TransferTime: timeAtRate(j.KVBytes, d.LinkRate)}
	pair.TimeToFirstToken = p.Backlog + pair.PrefillTime + pair.TransferTime + slotWait(j, d)
	for _, scorer := range s.Scorers {
		pair.Score += scorer.Score(j, &pair)
	}
	return pair
}

// PrefillTime estimates the duration of the job's prefill at the endpoint, with the cached part of the prompt skipped.
func PrefillTime(j *Job, e *Endpoint) time.Duration {
	cached := min(e.CachedTokens, j.PromptTokens)
	full := timeAtRate(j.PromptTokens, e.PrefillRate)
	return max(timeAtRate(j.PromptTokens-cached, e.PrefillRate), full-maxCacheSaving)
}

func timeAtRate(amount int64, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(amount) / rate * float64(time.Second))
}

// slotWait estimates the wait for a decode slot. With all slots taken by requests of similar length, one is released every
// length/slots.
func slotWait(j *Job, e *Endpoint) time.Duration {
	missing := e.Running - e.Slots + 1
	needed := blocksNeeded(j, e)
	if missing <= 0 && e.UsedBlocks+needed <= e.TotalBlocks || e.Slots == 0 {
		return 0
	}
	length := time.Duration(j.OutputTokens) * e.TokenInterval
	return length / time.Duration(e.Slots) * time.Duration(max(missing, 1))
}

func blocksNeeded(j *Job, e *Endpoint) int64 {
	if e.BlockTokens <= 0 {
		return 0
	}
	return (j.PromptTokens + j.OutputTokens + e.BlockTokens - 1) / e.BlockTokens
}

// LeavingFilter removes leaving endpoints.
type LeavingFilter struct{}

// Keep implements Filter.
func (LeavingFilter) Keep(_ *Job, e *Endpoint) bool { return !e.Leaving }

// MemoryFilter removes decode endpoints whose total memory is too small for the job.
type MemoryFilter struct{}

// Keep implements Filter.
func (MemoryFilter) Keep(j *Job, e *Endpoint) bool {
	return e.TotalBlocks == 0 || blocksNeeded(j, e) <= e.TotalBlocks
}

// TimeToFirstTokenScorer scores by the estimated time to first token.
type TimeToFirstTokenScorer struct{}

// Score implements Scorer.
func (TimeToFirstTokenScorer) Score(_ *Job, p *Pair) time.Duration { return p.TimeToFirstToken }

// DomainScorer penalizes endpoints outside the instance's failure domain and pairs that span two domains.
type DomainScorer struct{}

// Score implements Scorer.
func (DomainScorer) Score(j *Job, p *Pair) time.Duration {
	var d time.Duration
	if p.Prefill.Domain != j.Domain {
		d += crossDomainPenalty
	}
	if p.Decode.Domain != j.Domain {
		d += crossDomainPenalty
	}
	if p.Prefill.Domain != p.Decode.Domain {
		d += crossDomainPenalty
	}
	return d
}

// LoadScorer scores by reported load alone, like a least-loaded balancer.
type LoadScorer struct{}

// Score implements Scorer.
func (LoadScorer) Score(_ *Job, p *Pair) time.Duration {
	d := p.Prefill.Backlog
	if p.Decode.Slots > 0 {
		d += time.Duration(float64(p.Decode.Running) / float64(p.Decode.Slots) * float64(time.Second))
	}
	return d
}

// BestPicker picks the pairs with the lowest scores.
type BestPicker struct {
	// TieMargin is the difference in score within which the first pair is picked at random.
	TieMargin time.Duration
	// MaxPairs is the number of pairs to return; zero means 1.
	MaxPairs int
}

// Pick implements Picker. Pairs after the first prefer endpoints that no earlier pair uses, so that one endpoint's refusal does
// not rule out all pairs.
func (b BestPicker) Pick(r Rand, pairs []Pair) []Pair {
	shuffle(r, pairs)
	slices.SortStableFunc(pairs, func(x, y Pair) int { return cmp.Compare(x.Score, y.Score) })
	count := min(max(b.MaxPairs, 1), len(pairs))
	picked := make([]Pair, 0, count)
	first := b.countTied(pairs)
	picked = append(picked, pairs[r.IntN(first)])
	for len(picked) < count {
		picked = append(picked, pairs[nextPair(pairs, picked)])
	}
	return picked
}

func (b BestPicker) countTied(pairs []Pair) int {
	n := 1
	for n < len(pairs) && pairs[n].Score <= pairs[0].Score+b.TieMargin {
		n++
	}
	return n
}

// nextPair returns the index of the best pair among those that share the fewest endpoints with the picked ones.
func nextPair(pairs, picked []Pair) int {
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

// TwoChoicesPicker picks the better of two random pairs (power of two choices), so that instances with the same stale load
// reports do not all pick the same endpoint.
type TwoChoicesPicker struct{}

// Pick implements Picker.
func (TwoChoicesPicker) Pick(r Rand, pairs []Pair) []Pair {
	a, b := pairs[r.IntN(len(pairs))], pairs[r.IntN(len(pairs))]
	if b.Score < a.Score {
		a = b
	}
	return []Pair{a}
}

// RandomPicker picks a random pair.
type RandomPicker struct{}

// Pick implements Picker.
func (RandomPicker) Pick(r Rand, pairs []Pair) []Pair { return []Pair{pairs[r.IntN(len(pairs))]} }

func shuffle(r Rand, pairs []Pair) {
	for i := len(pairs) - 1; i > 0; i-- {
		j := r.IntN(i + 1)
		pairs[i], pairs[j] = pairs[j], pairs[i]
	}
}
