package node_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"tanagerwood.dev/platform/standin"
	"tanagerwood.dev/router/internal/node"
	"tanagerwood.dev/router/internal/settings"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

const eventuallyTimeout = 10 * time.Second

// testCluster is a store and a set of stand-in servers, with routers in front of them.
type testCluster struct {
	store    *standin.Store
	storeURL string
	// urls holds the URLs of the servers by id.
	urls    map[string]string
	plain   []*standin.Server
	prefill *standin.Server
	decode  []*standin.Server
	version int
}

const configurationJSON = `{"version":%d,"routes":[
 {"name":"brief","host":"h.example","path_prefix":"/brief/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"gap_aim_ms":300,"service":"m","max_attempts":1},
 {"name":"digest","host":"h.example","path_prefix":"/digest/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"gap_aim_ms":300,"service":"m","max_attempts":2,"resumable":true},
 {"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"service":"s","max_attempts":1},
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"s","max_attempts":2}%s],
 "services":[{"name":"m","max_connections":100,"engine":{"slots":4,"kv_token_capacity":100000,"stride":70,"handle_ttl_s":0.5,"hold_ms":2000}},{"name":"s","max_connections":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["key"],"unit":"token_stream","plain_tokens":200,"rate_per_s":100000000,"burst":100000000},
  {"name":"small","api_keys":["small-key"],"unit":"token_stream","plain_tokens":200,"rate_per_s":100,"burst":1000}]}`

func newTestCluster() *testCluster {
	cluster := &testCluster{store: standin.NewStore(), urls: map[string]string{}, prefill: standin.NewServer("p-1", "prefill")}
	server := httptest.NewServer(cluster.store)
	DeferCleanup(server.Close)
	cluster.storeURL = strings.TrimPrefix(server.URL, "http://")
	for i := range 2 {
		cluster.plain = append(cluster.plain, standin.NewServer(fmt.Sprint("s-", i), ""))
		cluster.decode = append(cluster.decode, standin.NewServer(fmt.Sprint("d-", i), "decode"))
	}
	cluster.registerServer(cluster.prefill, "m")
	for i := range 2 {
		cluster.registerServer(cluster.plain[i], "s")
		cluster.registerServer(cluster.decode[i], "m")
	}
	cluster.configure("")
	return cluster
}

func (c *testCluster) configure(routes string) {
	c.version++
	c.store.Put("config", "main", fmt.Sprintf(configurationJSON, c.version, routes))
}

// registerServer starts a server and registers it in the store.
func (c *testCluster) registerServer(s *standin.Server, service string) {
	h := httptest.NewServer(s)
	DeferCleanup(func() {
		h.CloseClientConnections()
		h.Close()
	})
	c.store.Put("servers", s.ID, serverEntry(s, service, h.URL, "ready"))
	c.urls[s.ID] = h.URL
}

func serverEntry(s *standin.Server, service, url, state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","slots":4,"state":%q,"stage":%q}`,
		service, strings.TrimPrefix(url, "http://"), state, s.Stage)
}

// announceLeaving has a server announce in the store that it leaves.
func (c *testCluster) announceLeaving(s *standin.Server, service string) {
	c.store.Put("servers", s.ID, serverEntry(s, service, c.urls[s.ID], "draining"))
}

// router is a running node.
type router struct {
	*node.Node
	settings *settings.Node
	done     chan error
}

// freeAddresses returns n distinct unused addresses.
func freeAddresses(n int) []string {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close() // kept open until all are chosen, so that no address is chosen twice
		out[i] = l.Addr().String()
	}
	return out
}

func (c *testCluster) start(name string) *router { return c.startWith(name, func(*settings.Node) {}) }

// startWith starts a router whose settings are changed by the function.
func (c *testCluster) startWith(name string, change func(*settings.Node)) *router {
	r := c.launch(name, change)
	Eventually(r.Ready, eventuallyTimeout).Should(BeTrue())
	return r
}

// launch is startWith without the wait until the router is ready.
func (c *testCluster) launch(name string, change func(*settings.Node)) *router {
	free := freeAddresses(4)
	s := &settings.Node{
		Instance: name, Domain: "z", CallerListen: free[0], ReadyListen: free[1], MetricsListen: free[2],
		PeerListen: free[3], PlatformAddress: c.storeURL, MemoryMB: 134, StopGrace: 8 * time.Second,
		CPUShare: 1, ConfigPropagationLimit: 2 * time.Second, DrainPropagationLimit: 2 * time.Second,
		RetryRatio: 0.2, FixedRetries: 1000, RetryWindow: 10 * time.Second,
	}
	change(s)
	r := &router{settings: s, done: make(chan error, 1)}
	r.Node = node.New(node.Options{Settings: s, Logger: &log.Logger{Writer: &log.IOWriter{Writer: GinkgoWriter}}})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { r.done <- r.Run(ctx) }()
	DeferCleanup(cancel)
	return r
}

var requests atomic.Int64

type response struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends a caller request on a new connection, without retries.
func (r *router) send(ctx context.Context, method, path, key string, header ...string) response {
	return r.sendWith(ctx, method, path, key, "question", header...)
}

// sendWith is send with a body.
func (r *router) sendWith(ctx context.Context, method, path, key, body string, header ...string) response {
	a := response{id: fmt.Sprint("id-", requests.Add(1))}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.settings.CallerListen+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "5000")
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(answer), err
	return a
}

func (r *router) stream(path string, header ...string) response {
	return r.send(context.Background(), http.MethodPost, path, "key", append([]string{"X-Token-Counts", "5000,9100", "X-Model", "m"}, header...)...)
}

// completeStreamBody is the body of a complete stream of three events.
func completeStreamBody(request string) (body string) {
	for i := 1; i <= 3; i++ {
		body += fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, request)
	}
	return body
}

func (c *testCluster) runs() (out []standin.Run) {
	for _, s := range append(append([]*standin.Server{c.prefill}, c.plain...), c.decode...) {
		out = append(out, s.Runs()...)
	}
	return out
}

var _ = Describe("a node", func() {
	var cluster *testCluster
	var r *router
	BeforeEach(func() {
		cluster = newTestCluster()
		r = cluster.start("r-1")
	})

	It("serves a stream through prefill and decode", func() {
		a := r.stream("/brief/x?y=%2F")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		Expect(a.header.Get("X-Response-Stamp")).To(HavePrefix("stamp-d-"))
		runs := cluster.runs()
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Target).To(Equal("/brief/x?y=%2F"))
		Expect(runs[0].Body).To(Equal("question"))
		Expect(runs[0].Tenant).To(Equal("t"))
		Expect(runs[0].Header.Get("X-Kv-Source")).To(ContainSubstring("/p-1-"))
		Expect(runs[0].Header.Get("Authorization")).To(BeEmpty())
	})

	It("forwards plain requests and returns the answer unchanged", func() {
		a := r.send(context.Background(), http.MethodGet, "/look/a", "key")
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(a.body).To(Equal("answer to " + a.id))
		Expect(a.header.Get("X-Request-Id")).To(Equal(a.id))
	})

	DescribeTable("refuses", func(path, key string, status int) {
		a := r.send(context.Background(), http.MethodGet, path, key)
		Expect(a.status).To(Equal(status))
		Expect(cluster.runs()).To(BeEmpty())
	},
		Entry("an unknown key", "/look/a", "forged", 401),
		Entry("an unknown route", "/none/a", "key", 404),
	)

	// Guards against retrying a non-idempotent request whose answer was lost, which would make a booking twice.
	It("never retries an unsafe request that may have run", func() {
		for _, s := range cluster.plain {
			s.Intercept(func(_ http.ResponseWriter, req *http.Request) bool {
				s.RecordRun(req)
				panic(http.ErrAbortHandler) // the answer is lost
			})
		}
		a := r.send(context.Background(), http.MethodPost, "/book/a", "key")
		Expect(a.status).To(Equal(http.StatusBadGateway))
		Expect(cluster.runs()).To(HaveLen(1))
	})

	It("retries a request that an endpoint has not run, and a safe request that failed", func() {
		first := true
		for _, s := range cluster.plain {
			s.Intercept(func(rw http.ResponseWriter, req *http.Request) bool {
				if !first {
					return false
				}
				first = false
				if req.Method == http.MethodPost {
					standin.Refuse(rw)
				} else {
					rw.WriteHeader(http.StatusInternalServerError)
				}
				return true
			})
		}
		Expect(r.send(context.Background(), http.MethodPost, "/book/a", "key").status).To(Equal(http.StatusOK))
		first = true
		Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").status).To(Equal(http.StatusOK))
	})

	// Guards against replacing an endpoint's error response with one of the router.
	It("returns the last endpoint failure when no endpoint succeeds", func() {
		for _, s := range cluster.plain {
			s.Intercept(func(rw http.ResponseWriter, _ *http.Request) bool {
				rw.Header().Set("X-Response-Stamp", "failed-"+s.ID)
				rw.WriteHeader(http.StatusInternalServerError)
				return true
			})
		}
		a := r.send(context.Background(), http.MethodGet, "/look/a", "key")
		Expect(a.status).To(Equal(http.StatusInternalServerError))
		Expect(a.header.Get("X-Response-Stamp")).To(HavePrefix("failed-"))
	})

	// Guards against failing a stream because its KV cache expired; the decode engine must recompute the prompt.
	It("decodes without the KV cache when it has expired", func() {
		for _, s := range cluster.decode {
			s.Intercept(func(rw http.ResponseWriter, req *http.Request) bool {
				if req.Header.Get("X-Kv-Source") == "" {
					return false
				}
				standin.Refuse(rw)
				return true
			})
		}
		a := r.stream("/brief/x")
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
	})

	It("decodes without a prefill engine when that fails", func() {
		cluster.prefill.Intercept(func(http.ResponseWriter, *http.Request) bool { panic(http.ErrAbortHandler) })
		a := r.stream("/brief/x")
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
	})

	breakFirstStream := func() {
		broken := false
		for _, s := range cluster.decode {
			s.Intercept(func(rw http.ResponseWriter, req *http.Request) bool {
				if broken || req.Header.Get("X-Stage") != "" {
					return false
				}
				broken = true
				s.RecordRun(req)
				rw.Header().Set("X-Response-Stamp", "stamp-first")
				s.Stream(rw, req, 2)
				_, _ = io.WriteString(rw, "id: 3\nda")
				_ = http.NewResponseController(rw).Flush()
				panic(http.ErrAbortHandler)
			})
		}
	}

	// Guards against missing or duplicate events at the point where a stream is resumed (ORDER on bfq trouble-1).
	It("resumes a resumable stream after its last event", func() {
		breakFirstStream()
		a := r.stream("/digest/x")
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		Expect(a.header.Get("X-Response-Stamp")).To(Equal("stamp-first"))
	})

	// Guards against a truncated stream that looks complete, and against executing the request twice.
	It("aborts a stream that may not be resumed", func() {
		breakFirstStream()
		a := r.stream("/brief/x")
		Expect(a.err).To(HaveOccurred())
		Expect(a.body).NotTo(ContainSubstring("token 3"))
		Expect(cluster.runs()).To(HaveLen(1))
	})

	// Guards against engines that keep memory allocated for callers that disconnected.
	It("cancels the work of callers that disconnect", func() {
		ended := make(chan struct{}, 1)
		for _, s := range cluster.decode {
			s.Intercept(func(rw http.ResponseWriter, req *http.Request) bool {
				if req.Header.Get("X-Stage") != "" || strings.HasPrefix(req.URL.Path, "/-/") {
					return false
				}
				s.Stream(rw, req, 1)
				<-req.Context().Done()
				ended <- struct{}{}
				return true
			})
		}
		conn, err := net.Dial("tcp", r.settings.CallerListen)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /brief/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: gone\r\nX-Deadline-Ms: 9000\r\n"+
			"Authorization: Bearer key\r\nX-Token-Counts: 5,5\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = bufio.NewReader(conn).ReadString('\n')
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		Eventually(ended, eventuallyTimeout).Should(Receive())
	})

	It("limits the rate of customers and sends Retry-After", func() {
		var a response
		Eventually(func() int {
			a = r.send(context.Background(), http.MethodGet, "/look/a", "small-key")
			return a.status
		}, eventuallyTimeout).Should(Equal(http.StatusTooManyRequests))
		Expect(a.header).To(HaveKey("Retry-After"))
		Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").status).To(Equal(http.StatusOK))
	})

	It("applies a new configuration and keeps it while the store is unavailable", func() {
		cluster.configure(`,{"name":"new","host":"h.example","path_prefix":"/new/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"s","public":true}`)
		get := func() int { return r.send(context.Background(), http.MethodGet, "/new/a", "").status }
		Eventually(get, eventuallyTimeout).Should(Equal(http.StatusOK))
		cluster.store.Refuse(http.StatusServiceUnavailable)
		Consistently(get, "500ms").Should(Equal(http.StatusOK))
		cluster.store.Refuse(0)
	})

	// Guards against routing requests to a draining endpoint.
	It("sends no requests to endpoints that are leaving", func() {
		cluster.store.Put("servers", "s-0", `{"service":"s","address":"127.0.0.1:1","zone":"z","version":"v1","slots":4,"state":"draining"}`)
		Eventually(func() int {
			before := len(cluster.plain[0].Runs())
			for range 5 {
				Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").status).To(Equal(http.StatusOK))
			}
			return len(cluster.plain[0].Runs()) - before
		}, eventuallyTimeout).Should(BeZero())
	})

	// Guards against a planned stop that aborts open requests, or that keeps accepting new ones.
	It("stops as planned: not ready at once, open streams complete, then no more requests", func() {
		for _, s := range cluster.decode {
			s.EventInterval = 300 * time.Millisecond
		}
		got := make(chan response, 1)
		go func() { got <- r.stream("/brief/x") }()
		Eventually(cluster.runs, eventuallyTimeout).Should(HaveLen(1))
		r.Stop()
		Expect(r.Ready()).To(BeFalse())
		resp, err := http.Get("http://" + r.settings.ReadyListen + "/-/readiness")
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		a := <-got
		Expect(a.body).To(Equal(completeStreamBody(a.id)))
		Eventually(r.done, eventuallyTimeout).Should(Receive(BeNil()))
		Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").err).To(HaveOccurred())
	})

	// Guards against data races between requests, peer messages and the start of other instances (found by lab/soak); fails
	// under the race detector.
	It("serves concurrent requests while other instances start", func() {
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() {
				defer GinkgoRecover()
				for range 8 {
					Expect(r.stream("/digest/x").err).NotTo(HaveOccurred())
					Expect(r.send(context.Background(), http.MethodGet, "/look/a", "key").status).To(Equal(http.StatusOK))
				}
			})
		}
		cluster.start("r-2")
		cluster.start("r-3")
		group.Wait()
	})

	It("serves metrics", func() {
		Expect(r.stream("/brief/x").status).To(Equal(http.StatusOK))
		Eventually(func() string {
			resp, err := http.Get("http://" + r.settings.MetricsListen + "/metrics")
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			return string(body)
		}, eventuallyTimeout).Should(SatisfyAll(ContainSubstring("tanagerwood_requests_answered_total 1"), ContainSubstring("tanagerwood_first_event_milliseconds")))
	})
})

var _ = Describe("settings files", func() {
	// Guards against an invalid settings file that terminates the process or is applied in part.
	It("are reloaded, and rejected as a whole if they are invalid", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		write := func(text string) { Expect(os.WriteFile(file, []byte(text), 0o600)).To(Succeed()) }
		good := `{"instance":"i","domain":"z","caller-listen":"127.0.0.1:1","ready-listen":"127.0.0.1:2","peer-listen":"127.0.0.1:3",
			"platform-address":"127.0.0.1:4","memory-mb":134,"stop-grace":"8s","retry-ratio":"0.2","retry-fixed":"54","seeds":"10.0.0.1:9,10.0.0.2:9"}`
		write(good)
		n, err := (&settings.Node{File: file}).Reload()
		Expect(err).NotTo(HaveOccurred())
		Expect(n.StopGrace).To(Equal(8 * time.Second))
		Expect(n.SeedAddresses()).To(Equal([]string{"10.0.0.1:3", "10.0.0.2:3"}))
		for _, bad := range []string{
			`{`, `[]`, strings.Replace(good, `"8s"`, `"8"`, 1), strings.Replace(good, `"i"`, `""`, 1),
			strings.Replace(good, `134`, `3`, 1), strings.Replace(good, `127.0.0.1:4`, `nowhere`, 1),
		} {
			write(bad)
			_, err := (&settings.Node{File: file}).Reload()
			Expect(err).To(MatchError(ContainSubstring("last good settings hold")), bad)
		}
	})
})
