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

const limit = 20 * time.Second

// switchedConfig can be replaced while requests run.
type switchedConfig struct {
	snapshot  atomic.Pointer[config.Snapshot]
	endpoints []port.Endpoint
	notify    func(*config.Snapshot)
}

func (c *switchedConfig) Current() *config.Snapshot            { return c.snapshot.Load() }
func (c *switchedConfig) Subscribe(f func(*config.Snapshot))   { c.notify = f }
func (c *switchedConfig) Endpoints() []port.Endpoint           { return c.endpoints }
func (c *switchedConfig) Routers() ([]platform.Instance, bool) { return nil, false }

type freeAdmission struct{}

func (freeAdmission) Admit(context.Context, *config.Customer, int64, time.Duration) (port.Charge, error) {
	return freeAdmission{}, nil
}
func (freeAdmission) Settle(int64) {}
func (freeAdmission) Cancel()      {}

// onlyMember owns all endpoints.
type onlyMember struct{ port.Membership }

func (onlyMember) Self() peer.Member                  { return peer.Member{MemberID: peer.MemberID{Name: "r1"}} }
func (m onlyMember) Owner(string) (peer.Member, bool) { return m.Self(), true }

// canceller repeats each cancel until it is acknowledged.
type canceller struct {
	engine port.Engine
	ctx    context.Context
	wait   *sync.WaitGroup
}

func (c canceller) Cancel(ep port.Endpoint, attempt string) {
	c.wait.Go(func() {
		for c.ctx.Err() == nil && c.engine.Cancel(c.ctx, ep, attempt) != nil {
			select {
			case <-c.ctx.Done():
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
}

// node is one engine of the world.
type node struct {
	*standin.Engine
	server *httptest.Server
}

// kill ends the engine as a lost process does.
func (n *node) kill() {
	n.server.CloseClientConnections()
	n.server.Listener.Close()
	n.Engine.Close()
}

// world is a router with two prefill and two decode engines, all over real sockets.
type world struct {
	config  *switchedConfig
	prefill []*node
	decode  []*node
	url     string
}

func newWorld(o standin.Options) *world {
	w := &world{config: &switchedConfig{}}
	o.Model, o.BytesPerToken, o.TokenInterval = testModel, 4, 2*time.Millisecond
	if o.KVExpiry == 0 {
		o.KVExpiry = 800 * time.Millisecond
	}
	w.prefill = w.start(o, standin.RolePrefill)
	w.decode = w.start(o, standin.RoleDecode)
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
		Membership: onlyMember{}, Engine: engines, Loads: poller, Config: w.config, Clock: clock.System{}, Metrics: metrics.NewRegistry(),
	})
	cancels.Go(func() { poller.Run(ctx) })
	cancels.Go(func() { service.Run(ctx) })
	placer := placement.New(placement.Deps{Config: w.config, Loads: poller, PrefixIndex: index, Reservations: service, Clock: clock.System{}})
	path := modelpath.New(modelpath.Deps{
		Config: w.config, Admission: freeAdmission{}, Placer: placer, Engine: engines,
		Canceller: canceller{engines, ctx, cancels}, Clock: clock.System{}, Events: log, Metrics: metrics.NewRegistry(),
		Inflight: modelpath.NewInflightRegistry(),
	})
	server := httptest.NewServer(callers.New(callers.Deps{
		Config: w.config, Models: path, IDs: modelpath.NewIDGenerator(peer.MemberID{Name: "r1", Incarnation: 1}), Clock: clock.System{},
	}))
	w.url = server.URL
	Eventually(func() bool { // until all engines have reported
		return !slices.ContainsFunc(slices.Collect(maps.Values(poller.View().ByName)), func(s *endpointload.State) bool { return s.ReportedAt == 0 })
	}, limit).Should(BeTrue())
	DeferCleanup(func() {
		server.CloseClientConnections()
		server.Close()
		stop()
		cancels.Wait()
	})
	return w
}

func (w *world) start(o standin.Options, role standin.Role) []*node {
	var nodes []*node
	for i := range 2 {
		o.Role, o.Name = role, fmt.Sprintf("%s-%d", role, i)
		e := standin.New(o)
		n := &node{e, httptest.NewServer(e.Handler())}
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

func (w *world) snapshot(key string) *config.Snapshot {
	c := testSnapshot().Catalogue
	c.Customers[0].Keys[0].SHA256 = hexDigest(config.DigestKey(key))
	c.Pools = []catalogue.Pool{{Name: "prefill", Role: catalogue.RolePrefill, Model: testModel}, {Name: "decode", Role: catalogue.RoleDecode, Model: testModel}}
	return config.New(1, c)
}

func (w *world) faults(nodes []*node, f standin.Faults) {
	for _, n := range nodes {
		n.SetFaults(f)
	}
}

func (w *world) post(ctx context.Context, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", w.url+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+testKey)
	return http.DefaultClient.Do(req)
}

const (
	prompt = "Complaint summary for the visits of this week: the slot was moved twice."
	body   = `{"model":"Tulis","prompt":"` + prompt + `","max_tokens":60`
)

// ask returns the text of a streamed answer and the whole answer's.
func (w *world) ask() (streamed, whole string) {
	GinkgoHelper()
	resp, err := w.post(context.Background(), body+`,"stream":true}`)
	Expect(err).NotTo(HaveOccurred())
	raw, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.StatusCode).To(Equal(http.StatusOK), string(raw))
	Expect(string(raw)).To(HaveSuffix("data: [DONE]\n\n"))
	for _, c := range events(string(raw)) {
		streamed += contentOf(c.Choices[0])
	}
	resp, err = w.post(context.Background(), body+"}")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var c openai.Completion
	Expect(json.NewDecoder(resp.Body).Decode(&c)).To(Succeed())
	Expect(c.Choices).NotTo(BeEmpty())
	return streamed, contentOf(c.Choices[0])
}

// idle expects that no engine holds memory, by the engines' own count.
func (w *world) idle() {
	GinkgoHelper()
	for _, n := range append(append([]*node{}, w.prefill...), w.decode...) {
		Eventually(func() int64 { return n.Stats().UsedBlocks }, limit).Should(BeZero())
	}
}

var _ = Describe("a router with engines", func() {
	expected := strings.Join(standin.Output(prompt, 60), "")

	DescribeTable("answers byte for byte under faults of engines",
		func(o standin.Options, fail func(w *world)) {
			w := newWorld(o)
			fail(w)
			for range 3 {
				streamed, whole := w.ask()
				Expect(streamed).To(Equal(expected))
				Expect(whole).To(Equal(expected))
			}
			w.idle()
		},
		Entry("none", standin.Options{}, func(*world) {}),
		Entry("a prefill engine is dead", standin.Options{}, func(w *world) { w.prefill[0].kill() }),
		Entry("a decode engine is dead", standin.Options{}, func(w *world) { w.decode[0].kill() }),
		Entry("engines cut a stream", standin.Options{}, func(w *world) {
			// Three cuts can meet one request, which has four attempts.
			w.decode[0].SetFaults(standin.Faults{KillStreamAfter: 7, KillStreams: 2})
			w.decode[1].SetFaults(standin.Faults{KillStreamAfter: 7, KillStreams: 1})
		}),
		Entry("replies are late and crossed", standin.Options{}, func(w *world) {
			w.faults(w.decode, standin.Faults{CrossReplies: true, LateReplyMS: 50})
		}),
		Entry("an engine's transfers stall", standin.Options{}, func(w *world) {
			w.decode[0].SetFaults(standin.Faults{StallTransfers: true})
		}),
		Entry("an engine refuses", standin.Options{}, func(w *world) {
			w.prefill[0].SetFaults(standin.Faults{Refuse: true})
			w.decode[1].SetFaults(standin.Faults{Refuse: true})
		}),
		Entry("pooled connections are silent", standin.Options{}, func(w *world) {
			for range 4 {
				w.ask()
			}
			w.faults(w.prefill, standin.Faults{Silent: true})
			w.faults(w.decode, standin.Faults{Silent: true})
		}),
	)

	It("repeats the prefill when the KV cache expires before the transfer", func() {
		w := newWorld(standin.Options{KVExpiry: time.Nanosecond})
		resp, err := w.post(context.Background(), body+"}")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		// Every KV cache expires here, so the request fails in the end, after one repeat without and some within the budget.
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(resp.Header.Get(openai.OutcomeHeader)).To(Equal("unknown"))
		w.idle()
	})

	It("continues answers when a decode engine dies", func() {
		w := newWorld(standin.Options{})
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
		for _, c := range events(string(first) + string(rest)) {
			text += contentOf(c.Choices[0])
		}
		Expect(text).To(Equal(expected))
	})

	DescribeTable("frees the engines' memory when the caller is gone",
		func(o standin.Options, busy func(w *world) bool) {
			w := newWorld(o)
			if o.LinkRate == 1 {
				w.faults(w.decode, standin.Faults{StallTransfers: true})
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
			Eventually(func() bool { return busy(w) }, limit, time.Millisecond).Should(BeTrue())
			leave()
			<-done
			w.idle()
		},
		Entry("at prefill", standin.Options{PrefillRate: 0.1}, func(w *world) bool { return w.held(w.prefill) > 0 }),
		Entry("at the transfer", standin.Options{LinkRate: 1}, func(w *world) bool { return w.held(w.decode) > 0 }),
		Entry("at decode", standin.Options{}, func(w *world) bool { return w.output() > 3 }),
	)

	It("ends streams whose key is withdrawn, with outcome partial", func() {
		w := newWorld(standin.Options{})
		w.faults(w.decode, standin.Faults{Slow: 100})
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
		w.idle()
		resp, err = w.post(context.Background(), body+"}")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
	})
})

func (w *world) held(nodes []*node) (blocks int64) {
	for _, n := range nodes {
		blocks += n.Stats().UsedBlocks
	}
	return blocks
}

func (w *world) output() (tokens int64) {
	for _, n := range w.decode {
		tokens += n.Stats().OutputTokens
	}
	return tokens
}
