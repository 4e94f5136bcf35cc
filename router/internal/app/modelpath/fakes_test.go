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

// bubble runs f with a fake clock.
func bubble(f func()) {
	synctest.Test(suite, func(*testing.T) {
		defer GinkgoRecover()
		f()
	})
}

// silentError is what the adapter reports for a silent connection.
type silentError struct{}

func (silentError) Error() string          { return "silent" }
func (silentError) SilentConnection() bool { return true }

const (
	prefillTime  = 100 * time.Millisecond
	transferTime = 20 * time.Millisecond
	tokenTime    = 10 * time.Millisecond
	progressTime = 3 * time.Second
	promptTokens = 40
)

// behaviour is how the fake engine handles one call. The zero value is a proper answer.
type behaviour struct {
	// refuse fails the call at once and holds nothing.
	refuse error
	// fail ends a prefill, or a decode after the tokens, as a killed engine does: it forgets what it held.
	fail   bool
	tokens int64
	// silent stops delivering after the tokens and goes on holding memory.
	silent bool
	// crossed mixes in chunks of another attempt; repeated sends each token twice; skip leaves a token out.
	crossed, repeated bool
	skip              int64
	// otherID answers a prefill with another attempt's id.
	otherID bool
}

// fakeEngine plays all engines. It does not notice that callers leave: only Cancel frees memory, as a lost FIN would
// have it.
type fakeEngine struct {
	mu       sync.Mutex
	held     map[string]bool
	prefills []behaviour
	decodes  []behaviour
	calls    []port.EngineCall
	at       []string
	port.Engine
}

func (e *fakeEngine) begin(list *[]behaviour, ep port.Endpoint, call port.EngineCall) behaviour {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls, e.at = append(e.calls, call), append(e.at, ep.Name)
	var b behaviour
	if len(*list) > 0 {
		b, *list = (*list)[0], (*list)[1:]
	}
	if b.refuse == nil {
		e.held[ep.Name+"/"+call.Extension.RequestID] = true
	}
	return b
}

func (e *fakeEngine) free(ep, attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, ep+"/"+attempt)
}

func (e *fakeEngine) holding() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}

func errKilled() error {
	return fault.New(fault.EndpointFailed, "killed").WithOutcome(openai.Unknown)
}

func errSilent() error { return fault.Wrap(silentError{}, fault.Timeout, openai.Unknown, "silent") }

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return fault.Wrap(context.Cause(ctx), fault.CallerGone, openai.Unknown, "cancelled")
	case <-time.After(d):
		return nil
	}
}

func (e *fakeEngine) Prefill(ctx context.Context, ep port.Endpoint, call port.EngineCall) (engine.PrefillResult, error) {
	b := e.begin(&e.prefills, ep, call)
	id := call.Extension.RequestID
	if b.refuse != nil {
		return engine.PrefillResult{}, b.refuse
	}
	if err := wait(ctx, prefillTime); err != nil {
		return engine.PrefillResult{}, err
	}
	if b.fail {
		e.free(ep.Name, id)
		return engine.PrefillResult{}, errKilled()
	}
	kv := engine.KVTransfer{RemoteEngine: ep.Name, RemoteRequestID: id, ExpiresInMS: 800}
	if b.otherID {
		kv.RemoteRequestID = "r9.1.1.1"
	}
	return engine.PrefillResult{PromptTokens: promptTokens, KVTransfer: kv}, nil
}

func (e *fakeEngine) Decode(ctx context.Context, ep port.Endpoint, call port.EngineCall) (port.TokenStream, error) {
	b := e.begin(&e.decodes, ep, call)
	if b.refuse != nil {
		return nil, b.refuse
	}
	if err := wait(ctx, transferTime); err != nil {
		return nil, err
	}
	e.free(call.Extension.KVTransfer.RemoteEngine, call.Extension.KVTransfer.RemoteRequestID)
	s := &fakeStream{engine: e, ctx: ctx, ep: ep, call: call, b: b, end: call.MaxTokens}
	if c := call.Extension.Continuation; c != nil {
		s.next = c.Tokens
	}
	return s, nil
}

// fakeStream sends token i as text(i), numbered.
type fakeStream struct {
	engine  *fakeEngine
	ctx     context.Context
	ep      port.Endpoint
	call    port.EngineCall
	b       behaviour
	next    int64
	end     int64
	sent    int64
	pending []openai.Completion
}

func text(i int64) string { return fmt.Sprintf("t%d ", i) }

func whole(n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(text(i))
	}
	return b.String()
}

func chunk(id string, i int64, content string, last bool) openai.Completion {
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
	if (s.b.fail || s.b.silent) && s.sent == s.b.tokens {
		return openai.Completion{}, s.fault()
	}
	id := s.call.Extension.RequestID
	if s.next >= s.end {
		s.engine.free(s.ep.Name, id)
		return openai.Completion{}, io.EOF
	}
	if err := wait(s.ctx, tokenTime); err != nil {
		return openai.Completion{}, err
	}
	if s.b.skip > 0 && s.next == s.b.skip {
		s.next++
	}
	c := chunk(id, s.next, text(s.next), s.next+1 == s.end)
	if s.b.repeated {
		s.pending = append(s.pending, c)
	}
	if s.b.crossed { // another attempt's id that begins with, and one that ends like, this one
		s.pending = append(s.pending, c)
		c = chunk(id+"0", s.next, "WRONG", false)
		s.pending = append(s.pending, chunk("x"+id, s.next+1, "WRONG", true))
	}
	s.next++
	s.sent++
	return c, nil
}

func (s *fakeStream) fault() error {
	if s.b.fail {
		s.engine.free(s.ep.Name, s.call.Extension.RequestID)
		return errKilled()
	}
	if err := wait(s.ctx, progressTime); err != nil {
		return err
	}
	return errSilent()
}

func (s *fakeStream) Close() error { return nil }

// fakeCanceller frees the memory at once.
type fakeCanceller struct{ engine *fakeEngine }

func (c fakeCanceller) Cancel(ep port.Endpoint, attempt string) { c.engine.free(ep.Name, attempt) }

// fakePlacer places on p1, p2 and d1, d2 and avoids excluded ones.
type fakePlacer struct {
	mu       sync.Mutex
	jobs     []modelpath.PlacementRequest
	released int
	// queue holds jobs back until it is closed.
	queue chan struct{}
}

func (p *fakePlacer) Place(ctx context.Context, job modelpath.PlacementRequest) (modelpath.Placement, error) {
	if p.queue != nil {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-p.queue:
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.jobs = append(p.jobs, job)
	return &fakePlacement{placer: p, prefill: choose(job.ExcludedEndpoints, "p1", "p2"), decode: choose(job.ExcludedEndpoints, "d1", "d2")}, nil
}

func choose(avoid map[string]bool, names ...string) port.Endpoint {
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
func (p *fakePlacement) FinishPrefill(int64)                                   {}
func (p *fakePlacement) QueueTime() time.Duration                              { return 0 }
func (p *fakePlacement) SwitchDecodeEndpoint(_ context.Context, avoid map[string]bool) (port.Endpoint, bool) {
	other := choose(avoid, "d1", "d2")
	return other, !avoid[other.Name]
}
func (p *fakePlacement) Release() {
	p.once.Do(func() {
		p.placer.mu.Lock()
		p.placer.released++
		p.placer.mu.Unlock()
	})
}

// fakeAdmission records charges.
type fakeAdmission struct {
	charged, settled int64
	cancelled        bool
	patience         time.Duration
}

func (a *fakeAdmission) Admit(_ context.Context, _ *config.Customer, tokens int64, patience time.Duration) (port.Charge, error) {
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

func snapshot(keys ...string) *config.Snapshot {
	customer := catalogue.Customer{Name: "Asahan-1"}
	for _, k := range keys {
		customer.Keys = append(customer.Keys, catalogue.Key{Name: k, SHA256: fmt.Sprintf("%x", config.DigestKey(k))})
	}
	return config.New(1, catalogue.Catalogue{Customers: []catalogue.Customer{customer}})
}

// sink collects the answer. It fails after a number of tokens if failAt is set.
type sink struct {
	mu     sync.Mutex
	tokens []string
	failAt int
}

func (s *sink) WriteToken(t string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failAt > 0 && len(s.tokens) == s.failAt {
		return io.ErrClosedPipe
	}
	s.tokens = append(s.tokens, t)
	return nil
}

func (s *sink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.tokens, "")
}

// world is one path with its fakes.
type world struct {
	engine    *fakeEngine
	placer    *fakePlacer
	admission *fakeAdmission
	config    *fakeConfig
	registry  *modelpath.InflightRegistry
	metrics   metrics.Registry
	log       *event.Log
	path      *modelpath.Handler
	sink      *sink
	ids       int
}

func newWorld() *world {
	w := &world{
		engine: &fakeEngine{held: map[string]bool{}}, placer: &fakePlacer{}, admission: &fakeAdmission{},
		config: &fakeConfig{snapshot: snapshot(testKey)}, registry: modelpath.NewInflightRegistry(),
		metrics: metrics.NewRegistry(), log: event.NewLog("r1", "1", 1000, time.Now), sink: &sink{},
	}
	w.path = modelpath.New(modelpath.Deps{
		Config: w.config, Admission: w.admission, Placer: w.placer, Engine: w.engine, Canceller: fakeCanceller{w.engine},
		Clock: testclock.Bubble{}, Events: w.log, Metrics: w.metrics, Inflight: w.registry,
	})
	return w
}

const outputTokens = 20

func (w *world) request() *modelpath.Request {
	customer, _ := w.config.Current().Customer("Asahan-1")
	w.ids++
	return &modelpath.Request{
		ID: fmt.Sprintf("r1.1.%d", w.ids), Customer: customer, KeyDigest: config.DigestKey(testKey),
		Model: &catalogue.Model{Name: "m"}, Class: &catalogue.Class{}, Path: "/v1/chat/completions",
		Body: []byte(`{}`), PromptTokens: 50, MaxTokens: outputTokens, AcceptedAt: time.Now(),
	}
}

func (w *world) serve(ctx context.Context) (modelpath.Result, error) {
	return w.path.Serve(ctx, w.request(), w.sink)
}

func (w *world) count(name string) int64 {
	c, ok := w.metrics.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

func (w *world) kinds() []event.Kind {
	var kinds []event.Kind
	for _, e := range w.log.Since(0).Events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}
