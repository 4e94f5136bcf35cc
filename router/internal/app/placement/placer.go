// Package placement queues jobs, chooses a pair of endpoints for each and reserves it.
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
	// retryNoEndpoint is how soon a new endpoint can have appeared: the instance list is read each second.
	retryNoEndpoint = 2 * time.Second
	// minRetry keeps a Retry-After from being rounded to nothing.
	minRetry = 100 * time.Millisecond
	// minPause and maxPause bound the pause between two tries of the head of a queue. A slot that gets free stays idle for
	// about half of it, which is little next to the seconds that an answer takes.
	minPause = 2 * time.Millisecond
	maxPause = 20 * time.Millisecond
	// prefillQueue is how long a job may wait in a prefill engine's own queue. Longer waits stay in the entry queue, where
	// the order is fair and a refusal costs nothing; shorter ones would leave engines idle between two jobs.
	prefillQueue = 100 * time.Millisecond
	// decodeWithin is how much later than the prefill's end the decode slot may get free. An exported KV cache lives
	// under a second.
	decodeWithin = 20 * time.Millisecond
	// marginPart of the first-token target is kept free before the deadline. Slots get free some decode steps before or
	// after the prediction, and a job may lose its slot to the next one and wait for that one's.
	marginPart = 10
	// continuationTime is what a lost stream has to be placed again.
	continuationTime = 10 * time.Second
	// defaultPatience applies to classes without limits.
	defaultPatience = time.Minute
)

// Reserver reserves at endpoints.
type Reserver interface {
	Reserve(ctx context.Context, ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply
	Estimate(ep port.Endpoint, m peer.ReserveRequest) peer.ReserveReply
	Release(ep port.Endpoint, attempt string)
}

// LoadSource gives the view of the endpoints.
type LoadSource interface{ View() *endpointload.View }

// Deps are the parts that a placer works with.
type Deps struct {
	Config       port.Config
	Loads        LoadSource
	PrefixIndex  *prefix.Index
	Reservations Reserver
	Clock        port.Clock
	// Domain is the instance's failure domain.
	Domain string
	// Rand is safe for concurrent use; the runtime's source if nil.
	Rand scheduling.Rand
}

// Placer implements modelpath.Placer.
type Placer struct {
	Deps
	lanes sync.Map // model name to *lane
}

// New returns a placer.
func New(d Deps) *Placer {
	if d.Rand == nil {
		d.Rand = globalRand{}
	}
	return &Placer{Deps: d}
}

// globalRand draws from the runtime's per-thread source.
type globalRand struct{}

// IntN implements scheduling.Rand.
func (globalRand) IntN(n int) int { return rand.IntN(n) }

// need is what the placer derives from a job once.
type need struct {
	job   scheduling.Job
	match prefix.Match
	// deadline is when the first token is due; unloaded is the time to it on idle endpoints.
	deadline time.Time
	unloaded time.Duration
}

func (n need) tokens() int64 { return n.job.PromptTokens + n.job.OutputTokens }

// Place implements modelpath.Placer.
func (p *Placer) Place(ctx context.Context, job modelpath.PlacementRequest) (modelpath.Placement, error) {
	l := p.lane(job.Model.Name)
	n := p.need(job)
	if l.waiting.Load() == 0 {
		placement, _, err := p.try(ctx, job, n)
		if err != nil {
			return nil, err
		}
		if placement != nil {
			return placement, nil
		}
	}
	return l.wait(ctx, job, n)
}

func (p *Placer) lane(model string) *lane {
	if l, ok := p.lanes.Load(model); ok {
		return l.(*lane)
	}
	l, _ := p.lanes.LoadOrStore(model, newLane(p))
	return l.(*lane)
}

func (p *Placer) need(job modelpath.PlacementRequest) need {
	prompt := job.PromptTokens + job.DeliveredTokens
	n := need{
		job: scheduling.Job{
			PromptTokens: prompt, OutputTokens: max(job.MaxTokens-job.DeliveredTokens, 1),
			KVBytes: prompt * job.Model.KVBytesPerToken, Domain: p.Domain,
		},
		match: p.PrefixIndex.Match(job.BlockHashes),
	}
	group := p.Loads.View().ByModel[job.Model.Name]
	n.unloaded = unloaded(group, &n.job)
	n.deadline = p.deadline(job, n.unloaded)
	return n
}

// deadline is when the first token is due. A prompt that cannot meet the class's target on idle endpoints is not
// refused for that; it may wait as long as the class is patient.
func (p *Placer) deadline(job modelpath.PlacementRequest, unloaded time.Duration) time.Time {
	if job.DeliveredTokens > 0 {
		return p.Clock.Now().Add(continuationTime)
	}
	patience := time.Duration(job.Class.QueuePatienceMS) * time.Millisecond
	if patience == 0 {
		patience = defaultPatience
	}
	target := time.Duration(job.Class.FirstTokenMS) * time.Millisecond
	if job.Class.Kind == catalogue.ClassBatch || target == 0 {
		return job.AcceptedAt.Add(patience + unloaded)
	}
	if unloaded > target {
		return job.AcceptedAt.Add(unloaded + min(patience, target))
	}
	return job.AcceptedAt.Add(max(target-target/marginPart, unloaded))
}

// unloaded is the least time to first token that any pair could reach.
func unloaded(group *endpointload.ModelGroup, j *scheduling.Job) time.Duration {
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
	var d time.Duration
	if len(group.Decode) > 0 {
		d = step
	}
	if rate > 0 {
		d += time.Duration(float64(j.PromptTokens) / rate * float64(time.Second))
	}
	if link > 0 {
		d += time.Duration(float64(j.KVBytes) / link * float64(time.Second))
	}
	return d
}

func overloaded(wait time.Duration) *fault.Error {
	return fault.New(fault.Overloaded, "the model's endpoints are busy and the deadline of the class cannot be met; come back after Retry-After").
		WithRetryAfter(max(wait, minRetry))
}

// try chooses and reserves a pair now. Without a placement and an error, the job waits for the pause.
func (p *Placer) try(ctx context.Context, job modelpath.PlacementRequest, n need) (*reserved, time.Duration, error) {
	group := p.Loads.View().ByModel[job.Model.Name]
	if group == nil {
		return nil, 0, noEndpoint()
	}
	policy := scheduling.New(p.Config.Current().Catalogue.Policy.Scheduling)
	pairs := policy.Rank(p.Rand, &n.job, p.candidates(group.Prefill, job, n), p.candidates(group.Decode, job, n))
	if len(pairs) == 0 {
		return nil, 0, noEndpoint()
	}
	slack := n.deadline.Sub(p.Clock.Now())
	pause := maxHint
	for _, pair := range pairs {
		r := &reserved{placer: p, job: job, need: n, policy: policy, pair: pair}
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

func noEndpoint() error {
	return fault.New(fault.NoEndpoint, "no endpoint serves the model now; come back later").WithRetryAfter(retryNoEndpoint)
}

// candidates turns states into what the policies look at.
func (p *Placer) candidates(states []*endpointload.State, job modelpath.PlacementRequest, n need) []*scheduling.Endpoint {
	list := make([]*scheduling.Endpoint, 0, len(states))
	for _, s := range states {
		list = append(list, &scheduling.Endpoint{
			Name: s.Endpoint.Name, Domain: s.Endpoint.Domain,
			Healthy: s.Healthy(), Leaving: s.Leaving, Excluded: job.ExcludedEndpoints[s.Endpoint.Name],
			Backlog: backlog(s), PrefillRate: s.PrefillRate(), CachedTokens: cachedTokens(n.match, s, job),
			Running: s.Load.Running, Slots: s.Slots(), UsedBlocks: s.Load.UsedBlocks, TotalBlocks: s.Blocks(),
			BlockTokens: s.BlockTokens(), LinkRate: s.LinkRate(), TokenInterval: s.TokenInterval(),
		})
	}
	return list
}

func backlog(s *endpointload.State) time.Duration {
	if rate := s.PrefillRate(); rate > 0 {
		return time.Duration(float64(s.Load.PrefillTokens) / rate * float64(time.Second))
	}
	return 0
}

func cachedTokens(m prefix.Match, s *endpointload.State, job modelpath.PlacementRequest) int64 {
	bytes := int64(m.LeadingBlocks(s.Endpoint.Name)) * engine.CacheBlockBytes
	return bytes / max(job.Model.BytesPerToken, 1)
}
