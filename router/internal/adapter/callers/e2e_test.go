package callers_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	standin "tanagerwood.dev/lab/standin/engine"
	"tanagerwood.dev/router/internal/adapter/callers"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/adapter/enginehttp"
	"tanagerwood.dev/router/internal/app/endpointload"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/placement"
	"tanagerwood.dev/router/internal/app/reservations"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/domain/prefix"
	"tanagerwood.dev/router/internal/port"
)

const eventuallyTimeout = 20 * time.Second

// replaceableConfig is a port.Config whose snapshot can be replaced while requests run.
type replaceableConfig struct {
	snapshot  atomic.Pointer[config.Snapshot]
	endpoints []port.Endpoint
	notify    func(*config.Snapshot)
}

func (c *replaceableConfig) Current() *config.Snapshot            { return c.snapshot.Load() }
func (c *replaceableConfig) Subscribe(f func(*config.Snapshot))   { c.notify = f }
func (c *replaceableConfig) Endpoints() []port.Endpoint           { return c.endpoints }
func (c *replaceableConfig) Routers() ([]platform.Instance, bool) { return nil, false }

type unlimitedAdmission struct{}

func (unlimitedAdmission) Admit(context.Context, *config.Customer, int64, time.Duration) (port.Charge, error) {
	return unlimitedAdmission{}, nil
}
func (unlimitedAdmission) Settle(int64) {}
func (unlimitedAdmission) Cancel()      {}

// singleMember is a membership with one instance, which owns all endpoints.
type singleMember struct{ port.Membership }

func (singleMember) Self() peer.Member                  { return peer.Member{MemberID: peer.MemberID{Name: "r1"}} }
func (m singleMember) Owner(string) (peer.Member, bool) { return m.Self(), true }

// retryingCanceller retries each cancellation until the engine acknowledges it.
type retryingCanceller struct {
	engine port.Engine
	ctx    context.Context
	wait   *sync.WaitGroup
}

func (c retryingCanceller) Cancel(ep port.Endpoint, attempt string) {
	c.wait.Go(func() {
		for c.ctx.Err() == nil && c.engine.Cancel(c.ctx, ep, attempt) != nil {
			select {
			case <-c.ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
}

// testEngine is one engine behind the router.
type testEngine struct {
	*standin.Engine
	server *httptest.Server
}

// kill closes the engine's connections and listener, as when its process dies.
func (n *testEngine) kill() {
	n.server.CloseClientConnections()
	n.server.Listener.Close()
	n.Engine.Close()
}

// testRouter is a router with two prefill and two decode engines, which communicate over real sockets.
type testRouter struct {
	config  *replaceableConfig
	prefill []*testEngine
	decode  []*testEngine
	url     string
}

func newTestRouter(o standin.Options) *testRouter {
	w := &testRouter{config: &replaceableConfig{}}
	o.Model, o.BytesPerToken, o.TokenInterval = testModel, 4, 2*time.Millisecond
	if o.KVExpiry == 0 {
		o.KVExpiry = 800 * time.Millisecond
	}
	w.prefill = w.startEngines(o, standin.RolePrefill)
	w.decode = w.startEngines(o, standin.RoleDecode)
	w.config.snapshot.Store(w.snapshot(testKey))
	log := event.NewLog("r1", "1", 1000, time.Now)
	engines := enginehttp.New(enginehttp.Options{
		ProgressTimeout: 200 * time.Millisecond, FirstTokenTimeout: 400 * time.Millisecond, ProbeInterval: 50 * time.Millisecond,
	}, log)
	ctx, stop := context.WithCancel(context.Background())
	cancels := &sync.WaitGroup{}
	index := prefix.New(1000)
	poller := endpointload.New(endpointload.Deps{Config: w.config, Engine: engines, Clock: clock.System{}, Events: log, PrefixIndex: index, InstanceName: "r1"})
	service := reservations.New(reservations.Deps{
		Membership: singleMember{}, Engine: engines, Loads: poller, Config: w.config, Clock: clock.System{}, Metrics: metrics.NewRegistry(),
	})
	cancels.Go(func() { poller.Run(ctx) })
	cancels.Go(func() { service.Run(ctx) })
	placer := placement.New(placement.Deps{Config: w.config, Loads: poller, PrefixIndex: index, Reservations: service, Clock: clock.System{}})
	path := modelpath.New(modelpath.Deps{
		Config: w.config, Admission: unlimitedAdmission{}, Placer: placer, Engine: engines,
		Canceller: retryingCanceller{engines, ctx, cancels}, Clock: clock.System{}, Events: log, Metrics: metrics.NewRegistry(),
		Inflight: modelpath.NewInflightRegistry(),
	})
	server := httptest.NewServer(callers.New(callers.Deps{
		Config: w.config, Models: path, IDs: modelpath.NewIDGenerator(peer.MemberID{Name: "r1", Incarnation: 1}), Clock: clock.System{},
	}))
	w.url = server.URL
	Eventually(func() bool { // wait until all engines have reported their load
		return !slices.ContainsFunc(slices.Collect(maps.Values(poller.View().ByName)), func(s *endpointload.State) bool { return s.ReportedAt == 0 })
	}, eventuallyTimeout).Should(BeTrue())
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
		stop()
		cancels.Wait()
	})
	return w
}

func (w *testRouter) startEngines(o standin.Options, role standin.Role) []*testEngine {
	var nodes []*testEngine
	for i := range 2 {
		o.Role, o.Name = role, fmt.Sprintf("%s-%d", role, i)
		e := standin.New(o)
		n := &testEngine{e, httptest.NewServer(e.Handler())}
		DeferCleanup(func() {
			e.Close()
			n.server.CloseClientConnections()
			n.server.Close()
		})
		nodes = append(nodes, n)
		w.config.endpoints = append(w.config.endpoints, port.Endpoint{
			Name: o.Name, Role: platform.InstanceRole(role), Pool: string(role), URL: n.server.URL,
		})
	}
	return nodes
}

func (w *testRouter) snapshot(key string) *config.Snapshot {
	c := testSnapshot().Catalogue
	c.Customers[0].Keys[0].SHA256 = hexDigest(config.DigestKey(key))
	c.Policy.RetryBudgetPercent = 100 // a spec's six requests may need two retries each, more than the initial balance
	c.Pools = []catalogue.Pool{{Name: "prefill", Role: catalogue.RolePrefill, Model: testModel}, {Name: "decode", Role: catalogue.RoleDecode, Model: testModel}}
	return config.New(1, c)
}

func (w *testRouter) setFaults(nodes []*testEngine, f standin.Faults) {
	for _, n := range nodes {
		n.SetFaults(f)
	}
}

func (w *testRouter) post(ctx context.Context, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", w.url+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(req)
}

const (
	prompt = "Complaint summary for the visits of this week: the slot was moved twice."
	body   = `{"model":"Tulis","prompt":"` + prompt + `","max_tokens":60`
)

// complete returns the text of a streamed response, and that of a response to the same prompt without streaming.
func (w *testRouter) complete() (streamed, whole string) {
	GinkgoHelper()
	resp, err := w.post(context.Background(), body+`,"stream":true}`)
	Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
	Expect(string(raw)).To(HaveSuffix("data: [DONE]\n\n"))
	for _, c := range parseEvents(string(raw)) {
		streamed += contentOf(c.Choices[0])
	}
	resp, err = w.post(context.Background(), body+"}")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	raw, err = io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
	var c openai.Completion
	Expect(json.Unmarshal(raw, &c)).To(Succeed())
	Expect(c.Choices).NotTo(BeEmpty())
	return streamed, contentOf(c.Choices[0])
}

// expectNoUsedBlocks expects that no engine holds KV cache blocks, according to the engines' own statistics.
func (w *testRouter) expectNoUsedBlocks() {
	GinkgoHelper()
	for _, n := range append(append([]*testEngine{}, w.prefill...), w.decode...) {
		Eventually(func() int64 { return n.Stats().UsedBlocks }, eventuallyTimeout).Should(BeZero())
	}
}

var _ = Describe("a router with engines", func() {
	expected := strings.Join(standin.Output(prompt, 60), "")

	DescribeTable("returns the exact output when engines fail",
		func(o standin.Options, fail func(w *testRouter)) {
			w := newTestRouter(o)
			fail(w)
			for range 3 {
				streamed, whole := w.complete()
				Expect(streamed).To(Equal(expected))
				Expect(whole).To(Equal(expected))
			}
			w.expectNoUsedBlocks()
		},
		Entry("none", standin.Options{}, func(*testRouter) {}),
		Entry("a prefill engine is dead", standin.Options{}, func(w *testRouter) { w.prefill[0].kill() }),
		Entry("a decode engine is dead", standin.Options{}, func(w *testRouter) { w.decode[0].kill() }),
		Entry("engines cut a stream", standin.Options{}, func(w *testRouter) {
			// One request can be hit by all three cuts, and has four attempts.
			w.decode[0].SetFaults(standin.Faults{KillStreamAfter: 7, KillStreams: 2})
			w.decode[1].SetFaults(standin.Faults{KillStreamAfter: 7, KillStreams: 1})
		}),
		Entry("replies are late and crossed", standin.Options{}, func(w *testRouter) {
			w.setFaults(w.decode, standin.Faults{CrossReplies: true, LateReplyMS: 50})
		}),
		Entry("an engine's transfers stall", standin.Options{}, func(w *testRouter) {
			w.decode[0].SetFaults(standin.Faults{StallTransfers: true})
		}),
		Entry("an engine refuses", standin.Options{}, func(w *testRouter) {
			w.prefill[0].SetFaults(standin.Faults{Refuse: true})
			w.decode[1].SetFaults(standin.Faults{Refuse: true})
		}),
		Entry("pooled connections are silent", standin.Options{}, func(w *testRouter) {
			for range 4 {
				w.complete()
			}
			w.setFaults(w.prefill, standin.Faults{Silent: true})
			w.setFaults(w.decode, standin.Faults{Silent: true})
		}),
	)

	It("repeats the prefill when the KV cache expires before the transfer", func() {
		w := newTestRouter(standin.Options{KVExpiry: time.Nanosecond})
		resp, err := w.post(context.Background(), body+"}")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		// Every KV cache expires here, so the request fails in the end, after one retry that does not count against the retry
		// budget and some that do.
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get(openai.OutcomeHeader)).To(Equal("unknown"))
		w.expectNoUsedBlocks()
	})

	It("continues answers when a decode engine dies", func() {
		w := newTestRouter(standin.Options{})
		resp, err := w.post(context.Background(), body+`,"stream":true}`)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		first := make([]byte, 1)
		_, err = io.ReadFull(resp.Body, first)
		Expect(err).NotTo(HaveOccurred())
		for _, n := range w.decode {
			if n.Stats().UsedSlots > 0 {
				n.kill()
				break
			}
		}
		rest, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		text := ""
		for _, c := range parseEvents(string(first) + string(rest)) {
			text += contentOf(c.Choices[0])
		}
		Expect(text).To(Equal(expected))
	})

	DescribeTable("frees the engines' memory when the caller disconnects",
		func(o standin.Options, busy func(w *testRouter) bool) {
			w := newTestRouter(o)
			if o.LinkRate == 1 {
				w.setFaults(w.decode, standin.Faults{StallTransfers: true})
			}
			ctx, leave := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp, err := w.post(ctx, body+`,"stream":true}`)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}()
			Eventually(func() bool { return busy(w) }, eventuallyTimeout, time.Millisecond).Should(BeTrue())
			leave()
			<-done
			w.expectNoUsedBlocks()
		},
		Entry("at prefill", standin.Options{PrefillRate: 0.1}, func(w *testRouter) bool { return w.usedBlocks(w.prefill) > 0 }),
		Entry("at the transfer", standin.Options{LinkRate: 1}, func(w *testRouter) bool { return w.usedBlocks(w.decode) > 0 }),
		Entry("at decode", standin.Options{}, func(w *testRouter) bool { return w.outputTokens() > 3 }),
	)

	It("ends streams whose key is withdrawn, with outcome partial", func() {
		w := newTestRouter(standin.Options{})
		w.setFaults(w.decode, standin.Faults{SlowFactor: 100})
		resp, err := w.post(context.Background(), body+`,"stream":true}`)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		s := w.snapshot("sk-another")
		w.config.snapshot.Store(s)
		w.config.notify(s)
		raw, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(raw)).To(ContainSubstring(`"code":"key_withdrawn"`))
		Expect(string(raw)).To(ContainSubstring(`"outcome":"partial"`))
		w.expectNoUsedBlocks()
		resp, err = w.post(context.Background(), body+"}")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})

func (w *testRouter) usedBlocks(nodes []*testEngine) (blocks int64) {
	for _, n := range nodes {
		blocks += n.Stats().UsedBlocks
	}
	return blocks
}

func (w *testRouter) outputTokens() (tokens int64) {
	for _, n := range w.decode {
		tokens += n.Stats().OutputTokens
	}
	return tokens
}
