package modelpath_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
	"tanagerwood.dev/router/internal/testclock"
)

var suite *testing.T

func TestModelPath(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "model path")
}

// withFakeClock runs f in a synctest bubble, which has a fake clock.
func withFakeClock(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

// silentError is what the engine adapter returns for a silent connection.
type silentError struct{}

func (silentError) Error() string          { return "silent" }
func (silentError) SilentConnection() bool { return true }

const (
	prefillTime     = 100 * time.Millisecond
	transferTime    = 20 * time.Millisecond
	tokenInterval   = 10 * time.Millisecond
	progressTimeout = 3 * time.Second
	promptTokens    = 40
)

// callBehaviour is how the fake engine handles one call. The zero value is a correct answer.
type callBehaviour struct {
	// refuse fails the call immediately; the engine allocates no memory.
	refuse error
	// killed fails a prefill, or a decode after its tokens, like a killed engine, which loses its memory.
	killed bool
	tokens int64
	// goesSilent stops the stream after the tokens; the engine keeps its memory.
	goesSilent bool
	// mixedIn adds chunks of other attempts, duplicated sends each token twice, and skippedToken leaves out one token.
	mixedIn, duplicated bool
	skippedToken        int64
	// wrongAttemptID answers a prefill with the id of another attempt.
	wrongAttemptID bool
}

// fakeEngine stands in for all engines. It does not notice disconnects, as if every FIN were lost: only Cancel releases memory.
type fakeEngine struct {
	mu         sync.Mutex
	heldMemory map[string]bool
	prefills   []callBehaviour
	decodes    []callBehaviour
	calls      []port.EngineCall
	endpoints  []string
	port.Engine
}

func (e *fakeEngine) beginCall(list *[]callBehaviour, ep port.Endpoint, call port.EngineCall) callBehaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls, e.endpoints = append(e.calls, call), append(e.endpoints, ep.Name)
	var b callBehaviour
	if len(*list) > 0 {
		b, *list = (*list)[0], (*list)[1:]
	}
	if b.refuse == nil {
		e.heldMemory[ep.Name+"/"+call.Extension.RequestID] = true
	}
	return b
}

func (e *fakeEngine) releaseMemory(ep, attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.heldMemory, ep+"/"+attempt)
}

func (e *fakeEngine) heldCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heldMemory)
}

func errKilled() error {
	return fault.New(fault.EndpointFailed, "killed").WithOutcome(openai.Unknown)
}

func errSilent() error { return fault.Wrap(silentError{}, fault.Timeout, openai.Unknown, "silent") }

func sleepOrCancel(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.CallerDisconnected, openai.Unknown, "cancelled")
	case <-time.After(d):
		return nil
	}
}

func (e *fakeEngine) Prefill(ctx context.Context, ep port.Endpoint, call port.EngineCall) (engine.PrefillResult, error) {
	b := e.beginCall(&e.prefills, ep, call)
	id := call.Extension.RequestID
	if b.refuse != nil {
		return engine.PrefillResult{}, b.refuse
	}
	if err := sleepOrCancel(ctx, prefillTime); err != nil {
		return engine.PrefillResult{}, err
	}
	if b.killed {
		e.releaseMemory(ep.Name, id)
		return engine.PrefillResult{}, errKilled()
	}
	kv := engine.KVTransfer{RemoteEngine: ep.Name, RemoteRequestID: id, ExpiresInMS: 800}
	if b.wrongAttemptID {
		kv.RemoteRequestID = "r9.1.1.1"
	}
	return engine.PrefillResult{PromptTokens: promptTokens, KVTransfer: kv}, nil
}

func (e *fakeEngine) Decode(ctx context.Context, ep port.Endpoint, call port.EngineCall) (port.TokenStream, error) {
	b := e.beginCall(&e.decodes, ep, call)
	if b.refuse != nil {
		return nil, b.refuse
	}
	if err := sleepOrCancel(ctx, transferTime); err != nil {
		return nil, err
	}
	e.releaseMemory(call.Extension.KVTransfer.RemoteEngine, call.Extension.KVTransfer.RemoteRequestID)
	s := &fakeStream{engine: e, ctx: ctx, ep: ep, call: call, behaviour: b, end: call.MaxTokens}
	if c := call.Extension.Continuation; c != nil {
		s.next = c.Tokens
	}
	return s, nil
}

// fakeStream sends token i as tokenText(i).
type fakeStream struct {
	engine    *fakeEngine
	ctx       context.Context
	ep        port.Endpoint
	call      port.EngineCall
	behaviour callBehaviour
	next      int64
	end       int64
	sent      int64
	pending   []openai.Completion
}

func tokenText(i int64) string { return fmt.Sprintf("t%d ", i) }

func wholeAnswer(n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(tokenText(i))
	}
	return b.String()
}

func tokenChunk(id string, i int64, content string, last bool) openai.Completion {
	choice := openai.Choice{Delta: &openai.Text{Content: content}, TokenIndex: &i}
	if last {
		reason := "length"
		choice.FinishReason = &reason
	}
	return openai.Completion{ID: id, Choices: []openai.Choice{choice}}
}

func (s *fakeStream) Next() (openai.Completion, error) {
	if len(s.pending) > 0 {
		c := s.pending[0]
		s.pending = s.pending[1:]
		return c, nil
	}
	if (s.behaviour.killed || s.behaviour.goesSilent) && s.sent == s.behaviour.tokens {
		return openai.Completion{}, s.fault()
	}
	id := s.call.Extension.RequestID
	if s.next >= s.end {
		s.engine.releaseMemory(s.ep.Name, id)
		return openai.Completion{}, io.EOF
	}
	if err := sleepOrCancel(s.ctx, tokenInterval); err != nil {
		return openai.Completion{}, err
	}
	if s.behaviour.skippedToken > 0 && s.next == s.behaviour.skippedToken {
		s.next++
	}
	c := tokenChunk(id, s.next, tokenText(s.next), s.next+1 == s.end)
	if s.behaviour.duplicated {
		s.pending = append(s.pending, c)
	}
	if s.behaviour.mixedIn { // one id that has this attempt's id as a prefix, and one that has it as a suffix
		s.pending = append(s.pending, c)
		c = tokenChunk(id+"0", s.next, "WRONG", false)
		s.pending = append(s.pending, tokenChunk("x"+id, s.next+1, "WRONG", true))
	}
	s.next++
	s.sent++
	return c, nil
}

func (s *fakeStream) fault() error {
	if s.behaviour.killed {
		s.engine.releaseMemory(s.ep.Name, s.call.Extension.RequestID)
		return errKilled()
	}
	if err := sleepOrCancel(s.ctx, progressTimeout); err != nil {
		return err
	}
	return errSilent()
}

func (s *fakeStream) Close() error { return nil }

// fakeCanceller releases the memory immediately.
type fakeCanceller struct{ engine *fakeEngine }

func (c fakeCanceller) Cancel(ep port.Endpoint, attempt string) {
	c.engine.releaseMemory(ep.Name, attempt)
}

// fakePlacer selects from p1 and p2 for prefill and from d1 and d2 for decode, and avoids excluded endpoints.
type fakePlacer struct {
	mu       sync.Mutex
	requests []modelpath.PlacementRequest
	released int
	// leaving holds the decode endpoints that leave once a pair is reserved.
	leaving map[string]bool
	// queueGate blocks placements until it is closed.
	queueGate chan struct{}
}

func (p *fakePlacer) Place(ctx context.Context, job modelpath.PlacementRequest) (modelpath.Placement, error) {
	if p.queueGate != nil {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-p.queueGate:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, job)
	return &fakePlacement{placer: p, prefill: firstAllowed(job.ExcludedEndpoints, "p1", "p2"), decode: firstAllowed(job.ExcludedEndpoints, "d1", "d2")}, nil
}

func firstAllowed(avoid map[string]bool, names ...string) port.Endpoint {
	for _, n := range names {
		if !avoid[n] {
			return port.Endpoint{Name: n}
		}
	}
	return port.Endpoint{Name: names[0]}
}

type fakePlacement struct {
	placer          *fakePlacer
	prefill, decode port.Endpoint
	once            sync.Once
}

func (p *fakePlacement) PrefillEndpoint() port.Endpoint                        { return p.prefill }
func (p *fakePlacement) DecodeEndpoint(context.Context) (port.Endpoint, error) { return p.decode, nil }
func (p *fakePlacement) DecodeLeaves() bool                                    { return p.placer.leaving[p.decode.Name] }
func (p *fakePlacement) FinishPrefill(int64)                                   {}
func (p *fakePlacement) QueueTime() time.Duration                              { return 0 }
func (p *fakePlacement) SwitchDecodeEndpoint(_ context.Context, avoid map[string]bool) (port.Endpoint, bool) {
	other := firstAllowed(avoid, "d1", "d2")
	if avoid[other.Name] || p.placer.leaving[other.Name] {
		return port.Endpoint{}, false
	}
	p.decode = other
	return other, true
}
func (p *fakePlacement) Release() {
	p.once.Do(func() {
		p.placer.mu.Lock()
		p.placer.released++
		p.placer.mu.Unlock()
	})
}

// fakeAdmission records charges and the maximum wait.
type fakeAdmission struct {
	charged, settled int64
	cancelled        bool
	patience         time.Duration
	// queueGate blocks requests until it is closed.
	queueGate chan struct{}
}

func (a *fakeAdmission) Admit(ctx context.Context, _ *config.Customer, tokens int64, patience time.Duration) (port.Charge, error) {
	if a.queueGate != nil {
		select {
		case <-ctx.Done():
			return nil, fault.New(fault.CallerDisconnected, "the caller is gone")
		case <-a.queueGate:
		}
	}
	a.charged, a.patience = tokens, patience
	return a, nil
}
func (a *fakeAdmission) Settle(used int64) { a.settled = used }
func (a *fakeAdmission) Cancel()           { a.cancelled = true }

type fakeConfig struct {
	mu       sync.Mutex
	snapshot *config.Snapshot
	notify   func(*config.Snapshot)
}

func (c *fakeConfig) Current() *config.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}
func (c *fakeConfig) Subscribe(f func(*config.Snapshot))   { c.notify = f }
func (c *fakeConfig) Endpoints() []port.Endpoint           { return nil }
func (c *fakeConfig) Routers() ([]platform.Instance, bool) { return nil, false }
func (c *fakeConfig) apply(s *config.Snapshot) {
	c.mu.Lock()
	c.snapshot = s
	c.mu.Unlock()
	c.notify(s)
}

const testKey = "sk-1"

func snapshotWithKeys(keys ...string) *config.Snapshot {
	customer := catalogue.Customer{Name: "Asahan-1"}
	for _, k := range keys {
		customer.Keys = append(customer.Keys, catalogue.Key{Name: k, SHA256: fmt.Sprintf("%x", config.DigestKey(k))})
	}
	return config.New(1, catalogue.Catalogue{Customers: []catalogue.Customer{customer}})
}

// fakeTokenWriter collects the answer. If failAfterTokens is set, it fails after that many tokens.
type fakeTokenWriter struct {
	mu              sync.Mutex
	tokens          []string
	failAfterTokens int
}

func (s *fakeTokenWriter) WriteToken(t string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failAfterTokens > 0 && len(s.tokens) == s.failAfterTokens {
		return io.ErrClosedPipe
	}
	s.tokens = append(s.tokens, t)
	return nil
}

func (s *fakeTokenWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, "")
}

// testEnv is a Handler with its fakes.
type testEnv struct {
	engine    *fakeEngine
	placer    *fakePlacer
	admission *fakeAdmission
	config    *fakeConfig
	registry  *modelpath.InflightRegistry
	metrics   metrics.Registry
	log       *event.Log
	handler   *modelpath.Handler
	writer    *fakeTokenWriter
	ids       int
}

func newTestEnv() *testEnv {
	env := &testEnv{
		engine: &fakeEngine{heldMemory: map[string]bool{}}, placer: &fakePlacer{}, admission: &fakeAdmission{},
		config: &fakeConfig{snapshot: snapshotWithKeys(testKey)}, registry: modelpath.NewInflightRegistry(),
		metrics: metrics.NewRegistry(), log: event.NewLog("r1", "1", 1000, time.Now), writer: &fakeTokenWriter{},
	}
	env.handler = modelpath.New(modelpath.Deps{
		Config: env.config, Admission: env.admission, Placer: env.placer, Engine: env.engine, Canceller: fakeCanceller{env.engine},
		Clock: testclock.Bubble{}, Events: env.log, Metrics: env.metrics, Inflight: env.registry,
	})
	return env
}

const outputTokens = 20

func (env *testEnv) request() *modelpath.Request {
	customer, _ := env.config.Current().Customer("Asahan-1")
	env.ids++
	return &modelpath.Request{
		ID: fmt.Sprintf("r1.1.%d", env.ids), Customer: customer, KeyDigest: config.DigestKey(testKey),
		Model: &catalogue.Model{Name: "m"}, Class: &catalogue.Class{}, Path: "/v1/chat/completions",
		Body: []byte(`{}`), PromptTokens: 50, MaxTokens: outputTokens, AcceptedAt: time.Now(),
	}
}

func (env *testEnv) serve(ctx context.Context) (modelpath.Result, error) {
	return env.handler.Serve(ctx, env.request(), env.writer)
}

func (env *testEnv) counterValue(name string) int64 {
	c, ok := env.metrics.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

func (env *testEnv) eventKinds() []event.Kind {
	var kinds []event.Kind
	for _, e := range env.log.Since(0).Events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}
