package placement_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/placement"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/prefix"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
	"tanagerwood.dev/router/internal/testclock"
)

var suite *testing.T

func TestPlacement(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "placement")
}

// withFakeClock runs f with a fake clock and stops the background loops after it.
func withFakeClock(f func(ctx context.Context)) {
	synctest.Test(suite, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { // let sleeping goroutines observe the cancellation
			cancel()
			time.Sleep(time.Minute)
		}()
		defer GinkgoRecover()
		f(ctx)
	})
}

// simEngine simulates a model engine in fake time: it runs one prefill at a time, has a number of decode slots, and its load
// reports are delayed.
type simEngine struct {
	ep          port.Endpoint
	slots       int
	rate        float64
	interval    time.Duration
	prefillLock chan struct{}

	mu      sync.Mutex
	leaving bool
	dead    bool
	backlog int64
	running map[string]*simStream
	// served counts prefills or decodes, refused the decodes that found no free slot; maxRunning is the highest number of
	// concurrent decodes.
	served, refused, maxRunning int
	polls                       int
	reports                     [2]engine.Load
}

func (e *simEngine) count() (served, polls int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served, e.polls
}

func (e *simEngine) report() engine.Load {
	return engine.Load{
		Engine: e.ep.Name, Slots: e.slots, Running: len(e.running), TotalBlocks: 1000, UsedBlocks: int64(10 * len(e.running)),
		BlockTokens: 100, PrefillTokens: e.backlog, PrefillRate: e.rate, LinkRate: 1e9,
		TokenIntervalMS: float64(e.interval.Milliseconds()), Leaving: e.leaving,
	}
}

// run takes load reports periodically; Load returns the previous one.
func (e *simEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		e.mu.Lock()
		e.reports[0], e.reports[1] = e.reports[1], e.report()
		e.mu.Unlock()
		time.Sleep(250 * time.Millisecond)
	}
}

// fleet is a set of engines and the instances that use them. It implements port.Engine, port.Config and port.Peers.
type fleet struct {
	ctx       context.Context
	engines   map[string]*simEngine
	endpoints atomic.Pointer[[]port.Endpoint]
	snapshot  *config.Snapshot
	instances []*instance
	// unresponsive holds the names of instances that do not answer their peers.
	unresponsive sync.Map
	port.Engine
	port.Peers
}

const (
	promptTokens = 1000
	outputTokens = 50
	firstTokenMS = 1400
)

func newFleet(ctx context.Context, policy catalogue.PolicyName, prefills, decodes int) *fleet {
	f := &fleet{ctx: ctx, engines: map[string]*simEngine{}}
	f.endpoints.Store(&[]port.Endpoint{})
	f.snapshot = config.New(1, catalogue.Catalogue{
		Customers: []catalogue.Customer{customer("quiet"), customer("noisy")},
		Pools: []catalogue.Pool{
			{Name: "prefill", Role: catalogue.RolePrefill, Model: "m", PrefillRate: 10_000},
			{Name: "decode", Role: catalogue.RoleDecode, Model: "m", Slots: 4, Blocks: 1000, BlockTokens: 100},
		},
		Policy: catalogue.Policy{Scheduling: policy},
	})
	for i := range prefills {
		f.add(platform.RolePrefill, "prefill", i)
	}
	for i := range decodes {
		f.add(platform.RoleDecode, "decode", i)
	}
	return f
}

func customer(name string) catalogue.Customer {
	digest := fmt.Sprintf("%x", config.DigestKey(name))
	return catalogue.Customer{Name: name, Keys: []catalogue.Key{{Name: "k", SHA256: digest}}}
}

func (f *fleet) add(role platform.InstanceRole, pool string, i int) {
	e := &simEngine{
		ep: port.Endpoint{Name: fmt.Sprintf("%s%d", pool, i), Role: role, Pool: pool}, slots: 4, rate: 10_000,
		interval: 20 * time.Millisecond, prefillLock: make(chan struct{}, 1), running: map[string]*simStream{},
	}
	f.engines[e.ep.Name] = e
	list := append(slices.Clone(f.Endpoints()), e.ep)
	f.endpoints.Store(&list)
}

func (f *fleet) decodes() (list []*simEngine) {
	for _, ep := range f.Endpoints() {
		if ep.Role == platform.RoleDecode {
			list = append(list, f.engines[ep.Name])
		}
	}
	return list
}

func (f *fleet) refusals() (n int) {
	for _, e := range f.engines {
		e.mu.Lock()
		n += e.refused
		e.mu.Unlock()
	}
	return n
}

func (f *fleet) Current() *config.Snapshot            { return f.snapshot }
func (f *fleet) Subscribe(func(*config.Snapshot))     {}
func (f *fleet) Endpoints() []port.Endpoint           { return *f.endpoints.Load() }
func (f *fleet) Routers() ([]platform.Instance, bool) { return nil, true }

var errDead = fault.New(fault.EndpointFailed, "dead").WithOutcome(openai.Unknown)

func (f *fleet) Load(_ context.Context, ep port.Endpoint) (engine.Load, error) {
	e := f.engines[ep.Name]
	e.mu.Lock()
	defer e.mu.Unlock()
	e.polls++
	if e.dead {
		return engine.Load{}, errDead
	}
	return e.reports[0], nil
}

func (f *fleet) CacheEvents(context.Context, port.Endpoint, uint64) (engine.CacheEventPage, error) {
	return engine.CacheEventPage{}, nil
}

func (f *fleet) Requests(_ context.Context, ep port.Endpoint) (engine.RequestList, error) {
	e := f.engines[ep.Name]
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead {
		return engine.RequestList{}, errDead
	}
	list := engine.RequestList{}
	for id, s := range e.running {
		list.Requests = append(list.Requests, engine.Request{
			ID: id, Phase: engine.PhaseDecode, Blocks: 10, PromptTokens: promptTokens, OutputTokens: s.next, MaxTokens: s.end,
		})
	}
	return list, nil
}

func (f *fleet) Prefill(ctx context.Context, ep port.Endpoint, call port.EngineCall) (engine.PrefillResult, error) {
	e := f.engines[ep.Name]
	e.mu.Lock()
	e.backlog += promptTokens
	e.mu.Unlock()
	e.prefillLock <- struct{}{}
	time.Sleep(time.Duration(float64(promptTokens) / e.rate * float64(time.Second)))
	<-e.prefillLock
	e.mu.Lock()
	e.backlog -= promptTokens
	e.served++
	e.mu.Unlock()
	kv := engine.KVTransfer{RemoteRequestID: call.Extension.RequestID, ExpiresInMS: 800}
	return engine.PrefillResult{PromptTokens: promptTokens, KVTransfer: kv}, ctx.Err()
}

func (f *fleet) Decode(_ context.Context, ep port.Endpoint, call port.EngineCall) (port.TokenStream, error) {
	e := f.engines[ep.Name]
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.running) >= e.slots {
		e.refused++
		return nil, fault.New(fault.EndpointRefused, "full")
	}
	s := &simStream{engine: e, id: call.Extension.RequestID, end: call.MaxTokens}
	e.running[s.id] = s
	e.served++
	e.maxRunning = max(e.maxRunning, len(e.running))
	return s, nil
}

type simStream struct {
	engine    *simEngine
	id        string
	next, end int64
}

func (s *simStream) Next() (openai.Completion, error) {
	if s.next >= s.end {
		return openai.Completion{}, io.EOF
	}
	time.Sleep(s.engine.interval)
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	i, text := s.next, "t"
	s.next++
	choice := openai.Choice{Text: &text, TokenIndex: &i}
	if s.next == s.end {
		reason := "stop"
		choice.FinishReason = &reason
		delete(s.engine.running, s.id)
	}
	return openai.Completion{ID: s.id, Choices: []openai.Choice{choice}}, nil
}

func (s *simStream) Close() error {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	delete(s.engine.running, s.id)
	return nil
}

// Reserve and Release implement port.Peers between the instances.
func (f *fleet) Reserve(ctx context.Context, address string, m peer.ReserveRequest) (peer.ReserveReply, error) {
	if _, silent := f.unresponsive.Load(address); silent {
		<-ctx.Done()
		return peer.ReserveReply{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	return f.instance(address).service.HandleReserve(ctx, m), nil
}

func (f *fleet) Release(ctx context.Context, address string, m peer.ReleaseRequest) error {
	if _, silent := f.unresponsive.Load(address); silent {
		<-ctx.Done()
		return ctx.Err()
	}
	f.instance(address).service.HandleRelease(m)
	return nil
}

func (f *fleet) instance(name string) *instance {
	for _, i := range f.instances {
		if i.name == name {
			return i
		}
	}
	return nil
}

// instance is one router instance. It implements port.Membership.
type instance struct {
	name    string
	fleet   *fleet
	poller  *endpointload.Poller
	service *reservations.Service
	placer  *placement.Placer
	path    *modelpath.Handler
	metrics metrics.Registry
	// alive holds the names of the members that this instance considers alive; nil means all.
	alive atomic.Pointer[[]string]
	seq   atomic.Int64
	port.Membership
}

func (i *instance) member(name string) peer.Member {
	return peer.Member{MemberID: peer.MemberID{Name: name, Incarnation: 1}, Address: name}
}

func (i *instance) Self() peer.Member { return i.member(i.name) }

func (i *instance) Owner(endpoint string) (peer.Member, bool) {
	var names []string
	if alive := i.alive.Load(); alive != nil {
		names = *alive
	} else {
		for _, other := range i.fleet.instances {
			names = append(names, other.name)
		}
	}
	owner := slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+endpoint), xxhash.Sum64String(b+endpoint))
	})
	return i.member(owner), owner == i.name
}

type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

type unlimitedAdmission struct{}

func (unlimitedAdmission) Admit(context.Context, *config.Customer, int64, time.Duration) (port.Charge, error) {
	return unlimitedAdmission{}, nil
}
func (unlimitedAdmission) Settle(int64) {}
func (unlimitedAdmission) Cancel()      {}

type noCanceller struct{}

func (noCanceller) Cancel(port.Endpoint, string) {}

func (f *fleet) start(n int) {
	for k := range n {
		i := &instance{name: "r" + strconv.Itoa(k), fleet: f, metrics: metrics.NewRegistry()}
		log := event.NewLog(i.name, "1", 1000, time.Now)
		index := prefix.New(1000)
		i.poller = endpointload.New(endpointload.Deps{Config: f, Engine: f, Clock: testclock.Bubble{}, Events: log, PrefixIndex: index, InstanceName: i.name})
		i.service = reservations.New(reservations.Deps{
			Membership: i, Peers: f, Engine: f, Loads: i.poller, Config: f, Clock: testclock.Bubble{}, Metrics: i.metrics,
		})
		i.placer = placement.New(placement.Deps{
			Config: f, Loads: i.poller, PrefixIndex: index, Reservations: i.service, Clock: testclock.Bubble{},
			Rand: &lockedRand{r: rand.New(rand.NewPCG(uint64(k), 7))},
		})
		i.path = modelpath.New(modelpath.Deps{
			Config: f, Admission: unlimitedAdmission{}, Placer: i.placer, Engine: f, Canceller: noCanceller{},
			Clock: testclock.Bubble{}, Events: log, Metrics: i.metrics, Inflight: modelpath.NewInflightRegistry(),
		})
		f.instances = append(f.instances, i)
	}
	for _, e := range f.engines {
		go e.run(f.ctx)
	}
	for _, i := range f.instances {
		go i.poller.Run(f.ctx)
		go i.service.Run(f.ctx)
	}
	time.Sleep(2 * time.Second) // wait for the first load reports
}

func (i *instance) job(customer string, kind catalogue.ClassKind) modelpath.PlacementRequest {
	c, _ := i.fleet.snapshot.Customer(customer)
	req := &modelpath.Request{
		ID: i.name + ".1." + strconv.FormatInt(i.seq.Add(1), 10), Customer: c, KeyDigest: config.DigestKey(customer), AcceptedAt: time.Now(),
		Model:        &catalogue.Model{Name: "m", BytesPerToken: 4, KVBytesPerToken: 1000},
		Class:        &catalogue.Class{Kind: kind, FirstTokenMS: firstTokenMS, MaxQueueWaitMS: 60_000},
		PromptTokens: promptTokens, MaxTokens: outputTokens,
	}
	return modelpath.PlacementRequest{Request: req, AttemptID: req.ID + ".1"}
}

// outcome is the result of one request.
type outcome struct {
	customer   string
	began      time.Time
	firstToken time.Duration
	took       time.Duration
	err        error
}

type firstTokenRecorder struct {
	began time.Time
	first time.Duration
}

func (s *firstTokenRecorder) WriteToken(string) error {
	if s.first == 0 {
		s.first = time.Since(s.began)
	}
	return nil
}

// serve runs a request through placement, prefill and decode, without API keys and quotas.
func (i *instance) serve(customer string, kind catalogue.ClassKind) outcome {
	job := i.job(customer, kind)
	o := outcome{customer: customer, began: time.Now()}
	recorder := &firstTokenRecorder{began: o.began}
	_, o.err = i.path.Serve(i.fleet.ctx, job.Request, recorder)
	o.firstToken, o.took = recorder.first, time.Since(o.began)
	return o
}

func isOverloaded(err error) bool {
	var typed *fault.Error
	return errors.As(err, &typed) && typed.Kind == fault.Overloaded
}
