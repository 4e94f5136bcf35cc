package enginehttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	standin "tanagerwood.dev/lab/standin/engine"
	"tanagerwood.dev/router/internal/adapter/enginehttp"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

func TestEngineHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "engine client")
}

const eventuallyTimeout = 20 * time.Second

func newClient(opts enginehttp.Options) *enginehttp.Client {
	return enginehttp.New(opts, event.NewLog("r1", "1", 100, time.Now))
}

func startServer(h http.Handler) port.Endpoint {
	s := httptest.NewServer(h)
	DeferCleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	return port.Endpoint{Name: "e1", URL: s.URL}
}

func startEngine(o standin.Options) (*standin.Engine, port.Endpoint) {
	e := standin.New(o)
	ep := startServer(e.Handler())
	DeferCleanup(e.Close)
	return e, ep
}

func call(id string, kv *engine.KVTransfer) port.EngineCall {
	return port.EngineCall{
		Path: "/v1/completions", Body: []byte(`{"model":"model","prompt":"route briefing"}`), MaxTokens: 8,
		Extension: engine.Extension{RequestID: id, KVTransfer: kv},
	}
}

var prefillTransfer = &engine.KVTransfer{DoRemoteDecode: true}

// readText concatenates the texts of a stream up to its end.
func readText(s port.TokenStream) (string, error) {
	defer s.Close()
	var b strings.Builder
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
		if len(c.Choices) > 0 {
			b.WriteString(*c.Choices[0].Text)
		}
	}
}

// eventStreamHandler responds with a raw event stream. If hang is set, it then sends keep-alive comments until the request
// ends.
func eventStreamHandler(raw string, hang bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, raw)
		_ = http.NewResponseController(w).Flush()
		for hang && r.Context().Err() == nil {
			_, _ = io.WriteString(w, ": keep-alive\n\n")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-r.Context().Done():
			case <-time.After(10 * time.Millisecond):
			}
		}
	})
}

func isSilentConnection(err error) bool {
	var silent *enginehttp.SilentConnectionError
	return errors.As(err, &silent)
}

var _ = Describe("the engine client", func() {
	ctx := context.Background()

	It("runs prefill and decode of a request on engines", func() {
		_, prefill := startEngine(standin.Options{Role: standin.RolePrefill})
		_, decode := startEngine(standin.Options{Role: standin.RoleDecode})
		c := newClient(enginehttp.Options{})
		result, err := c.Prefill(ctx, prefill, call("a", prefillTransfer))
		Expect(err).NotTo(HaveOccurred())
		kv := result.KVTransfer
		stream, err := c.Decode(ctx, decode, call("a", &kv))
		Expect(err).NotTo(HaveOccurred())
		text, err := readText(stream)
		Expect(err).NotTo(HaveOccurred())
		Expect(text).To(Equal(strings.Join(standin.Output("route briefing", 8), "")))
	})

	It("sets its fields in the caller's body, keeps the others, and sends only its own headers", func() {
		var fields map[string]json.RawMessage
		var header http.Header
		ep := startServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			header = r.Header
			raw, _ := io.ReadAll(r.Body)
			fields = nil
			_ = json.Unmarshal(raw, &fields)
			_, _ = io.WriteString(w, "{}")
		}))
		c := newClient(enginehttp.Options{})
		hostileCall := call("a", prefillTransfer)
		hostileCall.Body = []byte(`{"model":"m","seed":12345678901234567890,"x":{"b":1,"a":2},"stream":true,"stream_options":{"include_usage":false,"y":1},` +
			`"request_id":"other","kv_transfer_params":{"remote_url":"http://intruder"},"continuation":{"text":"x"},"max_completion_tokens":99}`)
		_, err := c.Prefill(ctx, ep, hostileCall)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(fields["seed"])).To(Equal("12345678901234567890"))
		Expect(string(fields["x"])).To(Equal(`{"b":1,"a":2}`))
		Expect(string(fields["stream"])).To(Equal("false"))
		Expect(string(fields["request_id"])).To(Equal(`"a"`))
		Expect(string(fields["kv_transfer_params"])).To(Equal(`{"do_remote_decode":true}`))
		Expect(string(fields["max_completion_tokens"])).To(Equal("8"))
		Expect(fields).NotTo(HaveKey("continuation"))
		names := []string{}
		for name := range header {
			names = append(names, name)
		}
		slices.Sort(names)
		Expect(names).To(Equal([]string{"Accept", "Content-Length", "Content-Type", "User-Agent", event.ClockHeader, openai.RequestIDHeader}))

		stream, err := c.Decode(ctx, ep, hostileCall)
		Expect(err).NotTo(HaveOccurred())
		stream.Close()
		Expect(string(fields["stream"])).To(Equal("true"))
		Expect(string(fields["stream_options"])).To(Equal(`{"include_usage":true,"y":1}`))
	})

	// Guards against an open connection that stops delivering data permanently while new connections work.
	It("detects a silent pooled connection by a probe over another one, and replaces it", func() {
		e, ep := startEngine(standin.Options{Role: standin.RolePrefill})
		c := newClient(enginehttp.Options{ProbeInterval: 50 * time.Millisecond, PrefillTimeout: time.Hour})
		e.SetFaults(standin.Faults{LateReplyMS: 200})
		errs := make(chan error, 2)
		for _, id := range []string{"a1", "a2"} { // two concurrent calls leave two pooled connections
			go func() {
				_, err := c.Prefill(ctx, ep, call(id, prefillTransfer))
				errs <- err
			}()
		}
		Expect(<-errs).To(Succeed())
		Expect(<-errs).To(Succeed())
		e.SetFaults(standin.Faults{Silent: true})
		_, err := c.Prefill(ctx, ep, call("b", prefillTransfer))
		Expect(isSilentConnection(err)).To(BeTrue(), fmt.Sprint(err))
		Expect(fault.Is(err, fault.Timeout)).To(BeTrue())
		_, err = c.Prefill(ctx, ep, call("c", prefillTransfer))
		Expect(err).NotTo(HaveOccurred())
	})

	It("waits for an engine that is busy with the attempt", func() {
		_, ep := startEngine(standin.Options{Role: standin.RolePrefill, PrefillRate: 10})
		c := newClient(enginehttp.Options{ProbeInterval: 20 * time.Millisecond})
		_, err := c.Prefill(ctx, ep, call("a", prefillTransfer))
		Expect(err).NotTo(HaveOccurred())
	})

	It("does not count comments as progress", func() {
		chunk := `data: {"id":"a","choices":[{"text":"x"}]}` + "\n\n"
		ep := startServer(eventStreamHandler(chunk, true))
		c := newClient(enginehttp.Options{ProgressTimeout: 100 * time.Millisecond, ProbeInterval: time.Hour})
		stream, err := c.Decode(ctx, ep, call("a", prefillTransfer))
		Expect(err).NotTo(HaveOccurred())
		text, err := readText(stream)
		Expect(text).To(Equal("x"))
		Expect(isSilentConnection(err)).To(BeTrue(), fmt.Sprint(err))
	})

	It("does not treat a closed connection as the end of a stream", func() {
		ep := startServer(eventStreamHandler(`data: {"id":"a","choices":[{"text":"x"}]}`+"\n\n", false))
		stream, err := newClient(enginehttp.Options{}).Decode(ctx, ep, call("a", prefillTransfer))
		Expect(err).NotTo(HaveOccurred())
		_, err = readText(stream)
		Expect(fault.Is(err, fault.EndpointFailed)).To(BeTrue(), fmt.Sprint(err))
	})

	DescribeTable("parses event streams according to the standard",
		func(raw, text string, ok bool) {
			ep := startServer(eventStreamHandler(raw, false))
			stream, err := newClient(enginehttp.Options{}).Decode(ctx, ep, call("a", prefillTransfer))
			Expect(err).NotTo(HaveOccurred())
			got, err := readText(stream)
			Expect(got).To(Equal(text))
			Expect(err == nil).To(Equal(ok), fmt.Sprint(err))
		},
		Entry("carriage returns, comments and other fields", "\r\n: hi\r\nevent: m\r\ndata:{\"choices\":[{\"text\":\"x\"}]}\r\n\r\ndata: [DONE]\r\n\r\n", "x", true),
		Entry("data in several lines", "data: {\"choices\":\ndata: [{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n", "x", true),
		Entry("an error event", "data: {\"error\":{\"message\":\"out of memory\"}}\n\ndata: [DONE]\n\n", "", false),
		Entry("malformed JSON", "data: {\n\n", "", false),
		Entry("a line over the size limit", "data: "+strings.Repeat("x", 2<<20), "", false),
	)

	DescribeTable("maps error responses of engines to fault kinds and outcomes",
		func(status int, body string, kind fault.Kind, outcome openai.Outcome) {
			ep := startServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(status)
				_, _ = io.WriteString(w, body)
			}))
			_, err := newClient(enginehttp.Options{}).Decode(ctx, ep, call("a", prefillTransfer))
			Expect(fault.As(err).Kind).To(Equal(kind))
			Expect(fault.As(err).Outcome).To(Equal(outcome))
		},
		Entry("bad request", 400, "", fault.BadRequest, openai.NotRun),
		Entry("changed role", 400, `{"error":{"message":"x","code":"wrong_role"}}`, fault.EndpointRefused, openai.NotRun),
		Entry("full", 429, "", fault.EndpointRefused, openai.NotRun),
		Entry("stopping", 503, "", fault.EndpointRefused, openai.NotRun),
		Entry("expired KV cache", 410, "", fault.NotFound, openai.NotRun),
		Entry("lost KV cache", 502, `{"error":{"message":"x","code":"kv_lost"}}`, fault.NotFound, openai.NotRun),
		Entry("internal error", 500, "", fault.EndpointFailed, openai.Unknown),
	)

	It("does not follow a redirect to another host", func() {
		followed := false
		other := startServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { followed = true }))
		ep := startServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
		c := newClient(enginehttp.Options{})
		_, err := c.Prefill(ctx, ep, call("a", prefillTransfer))
		Expect(fault.Is(err, fault.EndpointFailed)).To(BeTrue())
		_, err = c.Load(ctx, ep)
		Expect(err).To(HaveOccurred())
		Expect(followed).To(BeFalse())
	})

	It("reports the outcome not_run if no connection was made", func() {
		s := httptest.NewServer(http.NotFoundHandler())
		ep := port.Endpoint{URL: s.URL}
		s.Close()
		_, err := newClient(enginehttp.Options{}).Prefill(ctx, ep, call("a", prefillTransfer))
		Expect(fault.As(err).Kind).To(Equal(fault.EndpointFailed))
		Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
	})

	It("closes the connection when the caller disconnects, and cancels by id", func() {
		e, ep := startEngine(standin.Options{TokenInterval: time.Hour})
		c := newClient(enginehttp.Options{})
		callerCtx, disconnect := context.WithCancel(ctx)
		stream, err := c.Decode(callerCtx, ep, call("a", nil))
		Expect(err).NotTo(HaveOccurred())
		list, err := c.Requests(ctx, ep)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Requests).To(HaveLen(1))
		disconnect()
		_, err = stream.Next()
		Expect(fault.Is(err, fault.CallerDisconnected)).To(BeTrue(), fmt.Sprint(err))
		Expect(c.Cancel(ctx, ep, "a")).To(Succeed())
		Eventually(func() int64 { return e.Stats().UsedBlocks }, eventuallyTimeout).Should(BeZero())
	})

	It("reads load, cache events and orders", func() {
		_, ep := startEngine(standin.Options{Name: "e1", Role: standin.RolePrefill, Slots: 7, ChecksFencing: true})
		c := newClient(enginehttp.Options{})
		load, err := c.Load(ctx, ep)
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Slots).To(Equal(7))
		page, err := c.CacheEvents(ctx, ep, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(page.Events).NotTo(BeEmpty())
		order := engine.Order{Kind: engine.OrderSetRole, Argument: "prefill", Fencing: 5}
		result, err := c.Order(ctx, ep, order)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Accepted).To(BeTrue())
		order.Fencing = 4
		result, err = c.Order(ctx, ep, order)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(engine.OrderResult{HighestFencing: 5}))
	})
})
