package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tanagerwood.dev/platform/standin"
)

// kind is a kind of request.
type kind string

const (
	look    kind = "look"    // may be repeated
	book    kind = "book"    // runs at most once
	brief   kind = "brief"   // a stream that runs at most once
	digest  kind = "digest"  // a stream that may be resumed
	moved   kind = "moved"   // on the route that moves between services
	newest  kind = "newest"  // on the newest version's own route
	visitor kind = "visitor" // with the key that comes and goes
	forged  kind = "forged"  // with a key that never was
	limited kind = "limited" // of the customer that asks more than its rate
)

// mix is the relative frequency of the kinds.
var mix = []weighted[kind]{{look, 4}, {book, 10}, {brief, 5}, {digest, 4}, {moved, 3}, {newest, 4}, {visitor, 3}, {forged, 1}, {limited, 5}}

// unrepeatable reports whether a request of the kind may run at most once.
func (k kind) unrepeatable() bool { return k == book || k == brief }

func (k kind) stream() bool { return k == brief || k == digest }

// customer is the customer of the kind's key.
func (k kind) customer() string {
	switch k {
	case visitor:
		return visitorName
	case limited:
		return limitedName
	case forged:
		return ""
	}
	return plantName
}

const (
	streamPatience = 6 * time.Second
	plainPatience  = 1500 * time.Millisecond
	// promptTokens and outputTokens are what streams declare.
	promptTokens = 5000
	outputTokens = 840
	// limitedTokens is what requests of the limited customer declare; 15 callers' worth of them exceeds its rate tenfold.
	limitedTokens = 5000
	// leaveShare is the share of requests whose callers leave, after up to leaveAfter.
	leaveShare = 0.12
	leaveAfter = 500 * time.Millisecond
	// moveShare is how often a caller goes to another instance without a reason.
	moveShare = 0.04
	// meanThink is the mean pause of a caller between requests.
	meanThink = 20 * time.Millisecond
)

// sent is a request with what its caller saw.
type sent struct {
	id, path string
	kind     kind
	instance string
	// boot is the start of the instance's process that ran when the request was sent.
	boot        int
	began, done time.Time
	// left is when the caller left; zero if it did not.
	left time.Time
	// version is the version whose own route was asked; zero for other kinds.
	version int
	answer  standin.Response
}

// load is the callers of a run.
type load struct {
	seed     uint64
	operator *operator
	balancer *balancer

	mu   sync.Mutex
	next int
	sent []*sent
}

// run sends requests with some callers until ctx ends, and returns when all are answered.
func (l *load) run(ctx context.Context, callers int) {
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { l.call(ctx, rand.New(rand.NewPCG(l.seed, uint64(n)+2))) })
	}
	group.Wait()
}

// call is one caller. It stays with its instance until that fails or refuses, as its connection stays open.
func (l *load) call(ctx context.Context, random *rand.Rand) {
	caller := standin.NewCaller()
	defer caller.Close()
	var at *instance
	for ctx.Err() == nil {
		if at == nil || random.Float64() < moveShare {
			at = l.balancer.pick(random)
		}
		s := l.send(caller, at, draw(random, mix), random)
		if s.answer.Err != nil || s.answer.NotRun() {
			at = nil
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThink)))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// send sends one request and records it.
func (l *load) send(caller *standin.Caller, at *instance, k kind, random *rand.Rand) *sent {
	s, q := l.prepare(at, k)
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	if random.Float64() < leaveShare {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, time.Duration(random.Int64N(int64(leaveAfter))))
		defer leave()
	}
	s.began = time.Now()
	s.answer = caller.Send(ctx, at.callers, q)
	s.done = time.Now()
	if s.answer.Err != nil && ctx.Err() != nil {
		s.left = s.done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
	return s
}

func (l *load) prepare(at *instance, k kind) (*sent, standin.Request) {
	l.mu.Lock()
	l.next++
	id := fmt.Sprintf("%s-%d", k, l.next)
	l.mu.Unlock()
	boot, _ := at.running()
	s := &sent{id: id, kind: k, instance: at.name, boot: boot, path: fmt.Sprintf("/%s/%s?of=%%2F%s", k, id, id)}
	q := standin.Request{ID: id, Key: plantKey, Body: body(id), Timeout: plainPatience}
	switch k {
	case newest:
		s.version = l.operator.newest().number
		s.path = versionPath(s.version) + id
	case visitor:
		q.Key, s.path = visitorKey, "/look/"+id
	case forged:
		q.Key, s.path = forgedKey, "/look/"+id
	case limited:
		q.Key, s.path = limitedKey, "/look/"+id
		q.PromptTokens, q.OutputTokens = limitedTokens, 1
	case brief, digest:
		q.PromptTokens, q.OutputTokens, q.Timeout = promptTokens, outputTokens, streamPatience
	}
	q.Path = s.path
	return s, q
}

func body(id string) string { return "question of " + id }

const (
	// askEvery is how often the balancer asks whether an instance is ready, and askTimeout how long it waits.
	askEvery   = 250 * time.Millisecond
	askTimeout = 250 * time.Millisecond
	// misses take an instance out, as on the platform.
	misses = 2
)

// balancer chooses instances for new connections as the platform does: those that are ready, and all if fewer than half are.
type balancer struct {
	instances []*instance

	mu     sync.Mutex
	missed map[string]int
}

func newBalancer(instances []*instance) *balancer {
	return &balancer{instances: instances, missed: map[string]int{}}
}

// run asks all instances until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range b.instances {
			b.ask(ctx, i)
		}
		sleep(ctx, askEvery)
	}
}

func (b *balancer) ask(ctx context.Context, i *instance) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ready := standin.Ready(ctx, i.ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.missed[i.name] = 0
	} else {
		b.missed[i.name]++
	}
}

func (b *balancer) pick(random *rand.Rand) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*instance
	for _, i := range b.instances {
		if b.missed[i.name] < misses {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(b.instances) {
		ready = b.instances
	}
	return ready[random.IntN(len(ready))]
}
