// Package placement queues jobs, selects a pair of prefill and decode endpoints for each job and reserves it.
package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/domain/prefix"
	"tanagerwood.dev/router/internal/domain/scheduling"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// noEndpointRetryAfter is the Retry-After while no endpoint serves the model. The list of endpoints is read every second, so
	// that a new endpoint may be known by then.
	noEndpointRetryAfter = 2 * time.Second
	// minRetryAfter is the minimum Retry-After, which keeps it from being rounded to zero.
	minRetryAfter = 100 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between two attempts to place the head of a queue. A slot that becomes free
	// stays idle for about half the pause, which is short compared with the seconds that a response takes.
	minRetryPause = 2 * time.Millisecond
	maxRetryPause = 20 * time.Millisecond
	// maxPrefillWait is the maximum time that a job may wait in a prefill engine's own queue. Jobs that would wait longer stay in
	// the model's queue, where the order is fair and a refusal costs nothing. A shorter time would leave engines idle between two
	// jobs.
	maxPrefillWait = 100 * time.Millisecond
	// decodeSlotTolerance is how long after the end of the prefill the decode slot may become free. An exported KV cache expires
	// within a second.
	decodeSlotTolerance = 20 * time.Millisecond
	// deadlineMarginDivisor sets the part of the first-token target that is kept as a margin before the deadline. Slots become
	// free some decode steps before or after the prediction, and a job may lose its slot to another job and have to wait for that
	// one's.
	deadlineMarginDivisor = 10
	// continuationTimeout is the time within which an interrupted stream must be placed again.
	continuationTimeout = 10 * time.Second
	// defaultQueueTimeout applies to classes without limits.
	defaultQueueTimeout = time.Minute
)

// Reserver reserves capacity at endpoints.
type Reserver interface {
	Reserve(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply
	ReserveLocally(ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply
	Release(ep port.Endpoint, attempt string)
}

// LoadSource provides the load view of the endpoints.
type LoadSource interface{ View() *endpointload.View }

// Deps holds the dependencies of a Placer.
type Deps struct {
	Config       port.Config
	Loads        LoadSource
	PrefixIndex  *prefix.Index
	Reservations Reserver
	Clock        port.Clock
	// Domain is the instance's failure domain.
	Domain string
	// Rand must be safe for concurrent use. If it is nil, the runtime's source is used.
	Rand scheduling.Rand
}

// Placer implements modelpath.Placer.
type Placer struct {
	Deps
	queues sync.Map // model name to *modelQueue
}

// New returns a Placer.
func New(d Deps) *Placer {
	if d.Rand == nil {
		d.Rand = globalRand{}
	}
	return &Placer{Deps: d}
}

// globalRand uses the runtime's per-thread source.
type globalRand struct{}

// IntN implements scheduling.Rand.
func (globalRand) IntN(n int) int { return rand.IntN(n) }

// jobRequirements holds what the placer computes once for each job.
type jobRequirements struct {
	job         scheduling.Job
	prefixMatch prefix.Match
	// deadline is when the first token is due; unloadedLatency is the expected time to first token on idle endpoints.
	deadline        time.Time
	unloadedLatency time.Duration
}

func (r jobRequirements) tokens() int64 { return r.job.PromptTokens + r.job.OutputTokens }

// Place implements modelpath.Placer.
func (p *Placer) Place(ctx context.Context, job modelpath.PlacementRequest) (modelpath.Placement, error) {
	queue := p.queueFor(job.Model.Name)
	requirements := p.requirements(job)
	if queue.waiting.Load() == 0 {
		placement, _, err := p.tryPlace(ctx, job, requirements)
		if err != nil {
			return nil, err
		}
		if placement != nil {
			return placement, nil
		}
	}
	return queue.enqueue(ctx, job, requirements)
}

func (p *Placer) queueFor(model string) *modelQueue {
	if queue, ok := p.queues.Load(model); ok {
		return queue.(*modelQueue)
	}
	queue, _ := p.queues.LoadOrStore(model, newModelQueue(p))
	return queue.(*modelQueue)
}

func (p *Placer) requirements(job modelpath.PlacementRequest) jobRequirements {
	prompt := job.PromptTokens + job.DeliveredTokens
	r := jobRequirements{
		job: scheduling.Job{
			PromptTokens: prompt, OutputTokens: max(job.MaxTokens-job.DeliveredTokens, 1),
			KVBytes: prompt * job.Model.KVBytesPerToken, Domain: p.Domain,
		},
		prefixMatch: p.PrefixIndex.Match(job.BlockHashes),
	}
	group := p.Loads.View().ByModel[job.Model.Name]
	r.unloadedLatency = unloadedLatency(group, &r.job)
	r.deadline = p.firstTokenDeadline(job, r.unloadedLatency)
	return r
}

// firstTokenDeadline is when the first token is due. A prompt that cannot meet the class's target even on idle endpoints is not
// refused for that reason; it may wait for the class's queue patience.
func (p *Placer) firstTokenDeadline(job modelpath.PlacementRequest, unloadedTime time.Duration) time.Time {
	if job.DeliveredTokens > 0 {
		return p.Clock.Now().Add(continuationTimeout)
	}
	patience := time.Duration(job.Class.MaxQueueWaitMS) * time.Millisecond
	if patience == 0 {
		patience = defaultQueueTimeout
	}
	target := time.Duration(job.Class.FirstTokenMS) * time.Millisecond
	if job.Class.Kind == catalogue.ClassBatch || target == 0 {
		return job.AcceptedAt.Add(patience + unloadedTime)
	}
	if unloadedTime > target {
		return job.AcceptedAt.Add(unloadedTime + min(patience, target))
	}
	return job.AcceptedAt.Add(max(target-target/deadlineMarginDivisor, unloadedTime))
}

// unloadedLatency is the minimum time to first token over all pairs of idle endpoints.
func unloadedLatency(group *endpointload.ModelGroup, j *scheduling.Job) time.Duration {
	if group == nil {
		return 0
	}
	var rate, link float64
	step := time.Hour
	for _, s := range group.Prefill {
		rate = max(rate, s.PrefillRate())
	}
	for _, s := range group.Decode {
		link = max(link, s.LinkRate())
		step = min(step, s.TokenInterval())
	}
	var latency time.Duration
	if len(group.Decode) > 0 {
		latency = step
	}
	if rate > 0 {
		latency += time.Duration(float64(j.PromptTokens) / rate * float64(time.Second))
	}
	if link > 0 {
		latency += time.Duration(float64(j.KVBytes) / link * float64(time.Second))
	}
	return latency
}

func overloadedError(wait time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, "the model's endpoints are busy and the deadline of the class cannot be met; come back after Retry-After").
		WithRetryAfter(max(wait, minRetryAfter))
}

// tryPlace selects and reserves a pair now. If it returns neither a placement nor an error, the job should wait for the returned
// pause.
func (p *Placer) tryPlace(ctx context.Context, job modelpath.PlacementRequest, requirements jobRequirements) (*reservedPair, time.Duration, error) {
	group := p.Loads.View().ByModel[job.Model.Name]
	if group == nil {
		return nil, 0, noEndpointError()
	}
	policy := scheduling.New(p.Config.Current().Catalogue.Policy.Scheduling)
	pairs := policy.Rank(p.Rand, &requirements.job, p.candidates(group.Prefill, job, requirements), p.candidates(group.Decode, job, requirements))
	if len(pairs) == 0 {
		return nil, 0, noEndpointError()
	}
	slack := requirements.deadline.Sub(p.Clock.Now())
	pause := maxWaitHint
	for _, pair := range pairs {
		r := &reservedPair{placer: p, job: job, requirements: requirements, policy: policy, pair: pair}
		wait, ok := r.reserve(ctx, slack)
		if ok {
			return r, 0, nil
		}
		if ctx.Err() != nil {
			return nil, 0, context.Cause(ctx)
		}
		pause = min(pause, wait)
	}
	return nil, pause, nil
}

func noEndpointError() error {
	return fault.New(fault.NoEndpoint, "no endpoint serves the model now; come back later").WithRetryAfter(noEndpointRetryAfter)
}

// candidates converts load states to the input of the scheduling policies.
func (p *Placer) candidates(states []*endpointload.State, job modelpath.PlacementRequest, requirements jobRequirements) []*scheduling.Endpoint {
	list := make([]*scheduling.Endpoint, 0, len(states))
	for _, s := range states {
		list = append(list, &scheduling.Endpoint{
			Name: s.Endpoint.Name, Domain: s.Endpoint.Domain,
			Healthy: s.Healthy(), Leaving: s.Leaving, Excluded: job.ExcludedEndpoints[s.Endpoint.Name],
			Backlog: prefillBacklog(s), PrefillRate: s.PrefillRate(), CachedTokens: cachedTokens(requirements.prefixMatch, s, job),
			Running: s.Load.Running, Slots: s.Slots(), UsedBlocks: s.Load.UsedBlocks, TotalBlocks: s.Blocks(),
			BlockTokens: s.BlockTokens(), LinkRate: s.LinkRate(), TokenInterval: s.TokenInterval(),
		})
	}
	return list
}

func prefillBacklog(s *endpointload.State) time.Duration {
	if rate := s.PrefillRate(); rate > 0 {
		return time.Duration(float64(s.Load.PrefillTokens) / rate * float64(time.Second))
	}
	return 0
}

func cachedTokens(m prefix.Match, s *endpointload.State, job modelpath.PlacementRequest) int64 {
	bytes := int64(m.LeadingBlocks(s.Endpoint.Name)) * engine.CacheBlockBytes
	return bytes / max(job.Model.BytesPerToken, 1)
}
