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
	safeRequest         kind = "look"    // may be repeated
	unsafeRequest       kind = "book"    // runs at most once
	unsafeStream        kind = "brief"   // a stream that runs at most once
	resumableStream     kind = "digest"  // a stream that may be resumed
	movedRouteRequest   kind = "moved"   // on the route that moves between services
	newestRouteRequest  kind = "newest"  // on the newest version's own route
	revocableKeyRequest kind = "visitor" // with the key that versions add and remove
	unknownKeyRequest   kind = "forged"  // with a key that is in no version
	rateLimitedRequest  kind = "limited" // of the customer that exceeds its rate
)

// kindWeights are the relative frequencies of the kinds.
var kindWeights = []weighted[kind]{{safeRequest, 4}, {unsafeRequest, 10}, {unsafeStream, 5}, {resumableStream, 4}, {movedRouteRequest, 3}, {newestRouteRequest, 4}, {revocableKeyRequest, 3}, {unknownKeyRequest, 1}, {rateLimitedRequest, 5}}

// atMostOnce reports whether a request of the kind may run at most once.
func (k kind) atMostOnce() bool { return k == unsafeRequest || k == unsafeStream }

func (k kind) stream() bool { return k == unsafeStream || k == resumableStream }

// customer returns the customer to which the key of the kind belongs.
func (k kind) customer() string {
	switch k {
	case revocableKeyRequest:
		return revocableCustomer
	case rateLimitedRequest:
		return limitedCustomer
	case unknownKeyRequest:
		return ""
	}
	return defaultCustomer
}

const (
	streamCallerTimeout = 6 * time.Second
	plainCallerTimeout  = 1500 * time.Millisecond
	// promptTokens and outputTokens are the token counts that streams declare.
	promptTokens = 5000
	outputTokens = 840
	// limitedTokens is what requests of the rate-limited customer declare; the load of 15 callers exceeds its rate tenfold.
	limitedTokens = 5000
	// cancelShare is the share of requests whose callers disconnect, after up to maxCancelDelay.
	cancelShare    = 0.12
	maxCancelDelay = 500 * time.Millisecond
	// instanceSwitchShare is the probability that a caller switches to another instance without a cause.
	instanceSwitchShare = 0.04
	// meanThinkTime is the mean pause of a caller between requests.
	meanThinkTime = 20 * time.Millisecond
)

// sentRequest is a request with what its caller observed.
type sentRequest struct {
	id, path string
	kind     kind
	instance string
	// boot is the number of the start of the instance's process that was running when the request was sent.
	boot        int
	began, done time.Time
	// canceledAt is when the caller disconnected; zero if it did not.
	canceledAt time.Time
	// version is the version whose own route was requested; zero for other kinds.
	version int
	// poison is set if the request crashes servers, by a part of its prompt or by itself.
	poison bool
	// body is what the caller sent.
	body     string
	response standin.Response
}

// load generates the traffic of a run.
type load struct {
	seed     uint64
	operator *operator
	balancer *balancer
	poison   *poisonPart

	mu   sync.Mutex
	next int
	sent []*sentRequest
}

// run sends requests from concurrent callers, and what untrusted clients send, until ctx ends, and returns when all have completed.
func (l *load) run(ctx context.Context, callers int) {
	var group sync.WaitGroup
	for n := range callers {
		group.Go(func() { l.runCaller(ctx, rand.New(rand.NewPCG(l.seed, uint64(n)+2))) })
	}
	for n := range untrustedClients {
		group.Go(func() { l.runUntrusted(ctx, rand.New(rand.NewPCG(l.seed, uint64(callers+n)+2))) })
	}
	group.Wait()
}

// runCaller runs one caller. It stays with its instance until that fails or refuses a request, as a caller does that keeps its
// connection open.
func (l *load) runCaller(ctx context.Context, random *rand.Rand) {
	caller := standin.NewCaller()
	defer caller.Close()
	var at *instance
	for ctx.Err() == nil {
		if at == nil || random.Float64() < instanceSwitchShare {
			at = l.balancer.pick(random)
		}
		s := l.send(caller, at, draw(random, kindWeights), random)
		if s.response.Err != nil || s.response.NotRun() {
			at = nil
		}
		sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime)))
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
func (l *load) send(caller *standin.Caller, at *instance, k kind, random *rand.Rand) *sentRequest {
	s, q := l.prepare(at, k)
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	if random.Float64() < cancelShare {
		var leave context.CancelFunc
		ctx, leave = context.WithTimeout(ctx, time.Duration(random.Int64N(int64(maxCancelDelay))))
		defer leave()
	}
	l.sendPrepared(ctx, caller, at, s, q)
	return s
}

// sendPrepared sends a request that was prepared for the instance and records it.
func (l *load) sendPrepared(ctx context.Context, caller *standin.Caller, at *instance, s *sentRequest, q standin.Request) {
	s.began = time.Now()
	s.response = caller.Send(ctx, at.callers, q)
	s.done = time.Now()
	if s.response.Err != nil && ctx.Err() != nil {
		s.canceledAt = s.done
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

func (l *load) prepare(at *instance, k kind) (*sentRequest, standin.Request) {
	l.mu.Lock()
	l.next++
	id := fmt.Sprintf("%s-%d", k, l.next)
	l.mu.Unlock()
	boot, _ := at.running()
	s := &sentRequest{id: id, kind: k, instance: at.name, boot: boot, body: body(id), path: fmt.Sprintf("/%s/%s?of=%%2F%s", k, id, id)}
	q := standin.Request{ID: id, Key: defaultKey, Body: s.body, Timeout: plainCallerTimeout}
	switch k {
	case newestRouteRequest:
		s.version = l.operator.newest().number
		s.path = versionPath(s.version) + id
	case revocableKeyRequest:
		q.Key, s.path = revocableKey, "/look/"+id
	case unknownKeyRequest:
		q.Key, s.path = unknownKey, "/look/"+id
	case rateLimitedRequest:
		q.Key, s.path = limitedKey, "/look/"+id
		q.PromptTokens, q.OutputTokens = limitedTokens, 1
	case unsafeStream, resumableStream:
		q.PromptTokens, q.OutputTokens, q.Timeout = promptTokens, outputTokens, streamCallerTimeout
		q.PromptParts, s.poison = l.poison.promptParts(id)
	}
	q.Path = s.path
	return s, q
}

func body(id string) string { return "question of " + id }

const (
	// probeInterval is how often the balancer probes the readiness of an instance, and probeTimeout how long it waits.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	// probeFailureThreshold is the number of consecutive failed probes that take an instance out of rotation, as on the
	// platform.
	probeFailureThreshold = 2
)

// balancer chooses instances for new connections as the platform does: the ready ones, or all if fewer than half are ready.
type balancer struct {
	instances []*instance

	mu           sync.Mutex
	failedProbes map[string]int
}

func newBalancer(instances []*instance) *balancer {
	return &balancer{instances: instances, failedProbes: map[string]int{}}
}

// run probes all instances until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, i := range b.instances {
			b.probe(ctx, i)
		}
		sleep(ctx, probeInterval)
	}
}

func (b *balancer) probe(ctx context.Context, i *instance) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := standin.Ready(ctx, i.ready)
	b.mu.Lock()
	defer b.mu.Unlock()
	if ready {
		b.failedProbes[i.name] = 0
	} else {
		b.failedProbes[i.name]++
	}
}

func (b *balancer) pick(random *rand.Rand) *instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*instance
	for _, i := range b.instances {
		if b.failedProbes[i.name] < probeFailureThreshold {
			ready = append(ready, i)
		}
	}
	if 2*len(ready) < len(b.instances) {
		ready = b.instances
	}
	return ready[random.IntN(len(ready))]
}
