package callers_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/adapter/callers"
	"tanagerwood.dev/router/internal/adapter/clock"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

func TestCallers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "callers")
}

const (
	testKey   = "sk-test-1"
	testModel = "Tulis"
)

func testSnapshot() *config.Snapshot {
	digest := config.DigestKey(testKey)
	return config.New(1, catalogue.Catalogue{
		Customers: []catalogue.Customer{{
			Name: "Asahan-1", RateTokens: 1000, BurstTokens: 10000, Models: []string{testModel},
			Keys: []catalogue.Key{{Name: "k", SHA256: hexDigest(digest)}},
		}},
		Models: []catalogue.Model{
			{Name: testModel, Owner: "ops", Class: "interactive", BytesPerToken: 4, MaxPromptTokens: 500, MaxOutputTokens: 100, DefaultOutputTokens: 20},
			{Name: "Lain", Owner: "ops", Class: "interactive", BytesPerToken: 4, MaxPromptTokens: 1000, MaxOutputTokens: 100},
		},
		Classes: []catalogue.Class{{Name: "interactive", Kind: catalogue.ClassInteractive, FirstTokenMS: 1400}},
		Routes: []catalogue.Route{
			{Name: "bookings", PathPrefix: "/bookings", Pool: "Kaunter"},
			{Name: "opening-hours", PathPrefix: "/hours", Pool: "Kaunter", Open: true},
		},
		Policy: catalogue.Policy{MaxBodyBytes: 4096},
	})
}

func hexDigest(d config.KeyDigest) string {
	const digits = "0123456789abcdef"
	var b strings.Builder
	for _, c := range d {
		b.WriteByte(digits[c>>4])
		b.WriteByte(digits[c&15])
	}
	return b.String()
}

type fixedConfig struct{ snapshot *config.Snapshot }

func (c fixedConfig) Current() *config.Snapshot            { return c.snapshot }
func (c fixedConfig) Subscribe(func(*config.Snapshot))     {}
func (c fixedConfig) Endpoints() []port.Endpoint           { return nil }
func (c fixedConfig) Routers() ([]platform.Instance, bool) { return nil, false }

// fakeModelHandler writes its tokens, as many times as set in repeat, and then returns its error, if any.
type fakeModelHandler struct {
	tokens []string
	err    error
	seen   *modelpath.Request
	ended  chan error
	repeat int
}

func (p *fakeModelHandler) Serve(ctx context.Context, req *modelpath.Request, sink modelpath.TokenWriter) (modelpath.Result, error) {
	p.seen = req
	for range max(p.repeat, 1) {
		for _, t := range p.tokens {
			if err := sink.WriteToken(t); err != nil {
				p.ended <- err
				return modelpath.Result{}, err
			}
		}
	}
	if p.err != nil {
		return modelpath.Result{}, p.err
	}
	n := int64(len(p.tokens))
	return modelpath.Result{Usage: openai.Usage{PromptTokens: 7, CompletionTokens: n, TotalTokens: 7 + n}, FinishReason: "stop"}, nil
}

type fakeServiceHandler struct{ seen *servicepath.Call }

func (s *fakeServiceHandler) Handle(_ context.Context, call servicepath.Call) (port.ServiceResponse, error) {
	s.seen = &call
	return port.ServiceResponse{Status: http.StatusCreated, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("booked")}, nil
}

var _ = Describe("the callers' port", func() {
	var (
		models  *fakeModelHandler
		service *fakeServiceHandler
		server  *httptest.Server
		stop    *plannedstop.Signals
	)
	BeforeEach(func() {
		models = &fakeModelHandler{tokens: []string{"Kua", "la ", "\"Lum\npur\""}, ended: make(chan error, 1)}
		service = &fakeServiceHandler{}
		stop = plannedstop.New()
		handler := callers.New(callers.Deps{
			Config: fixedConfig{testSnapshot()}, Models: models, Service: service,
			IDs: modelpath.NewIDGenerator(peer.MemberID{Name: "r1", Incarnation: 5}), Clock: clock.System{},
			WriteTimeout: 300 * time.Millisecond, Stop: stop,
		})
		server = httptest.NewServer(handler)
		DeferCleanup(server.Close)
	})

	do := func(method, path, body string, header ...string) (*http.Response, string) {
		req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+testKey)
		for i := 0; i+1 < len(header); i += 2 {
			req.Header.Add(header[i], header[i+1])
		}
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		raw, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		return resp, string(raw)
	}
	chat := `{"model":"Tulis","messages":[{"role":"user","content":"hello"}]`

	It("streams the same text as the whole answer, with the router's ids and usage", func() {
		for _, path := range []string{"/v1/chat/completions", "/v1/completions"} {
			body := chat
			if path == "/v1/completions" {
				body = `{"model":"Tulis","prompt":"hello"`
			}
			_, raw := do("POST", path, body+"}")
			var whole openai.Completion
			Expect(json.Unmarshal([]byte(raw), &whole)).To(Succeed())
			Expect(whole.Usage.TotalTokens).To(Equal(int64(10)))

			resp, raw := do("POST", path, body+`,"stream":true,"stream_options":{"include_usage":true}}`)
			Expect(resp.Header.Get("Content-Type")).To(Equal("text/event-stream"))
			chunks := parseEvents(raw)
			text := ""
			for _, c := range chunks {
				Expect(c.Model).To(Equal(testModel))
				Expect(c.ID).To(HaveSuffix(resp.Header.Get(openai.RequestIDHeader)))
				if len(c.Choices) > 0 {
					text += contentOf(c.Choices[0])
				}
			}
			Expect(text).To(Equal(contentOf(whole.Choices[0])))
			last := chunks[len(chunks)-1]
			Expect(last.Choices).To(BeEmpty())
			Expect(last.Usage.PromptTokens).To(Equal(int64(7)))
			Expect(raw).To(HaveSuffix("data: [DONE]\n\n"))
		}
	})

	It("returns kind, outcome and retry delay in error responses", func() {
		models.tokens = nil
		models.err = fault.New(fault.RateLimited, "later").WithRetryAfter(1200 * time.Millisecond)
		resp, raw := do("POST", "/v1/chat/completions", chat+"}")
		Expect(resp.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(resp.Header.Get("Retry-After")).To(Equal("2"))
		Expect(resp.Header.Get("Retry-After-Ms")).To(Equal("1200"))
		Expect(resp.Header.Get(openai.OutcomeHeader)).To(Equal("not_run"))
		var body openai.ErrorBody
		Expect(json.Unmarshal([]byte(raw), &body)).To(Succeed())
		Expect(body.Error).To(Equal(openai.Error{Message: "later", Type: "rate_limit_error", Code: "rate_limited", Outcome: openai.NotRun}))
	})

	It("ends a started stream with an error event and without the end marker", func() {
		models.err = fault.New(fault.EndpointFailed, "lost").WithOutcome(openai.Partial)
		resp, raw := do("POST", "/v1/chat/completions", chat+`,"stream":true}`)
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(raw).To(ContainSubstring(`"outcome":"partial"`))
		Expect(raw).NotTo(ContainSubstring("[DONE]"))
	})

	DescribeTable("refuses malformed requests",
		func(body string, status int, message string) {
			resp, raw := do("POST", "/v1/chat/completions", body)
			Expect(resp.StatusCode).To(Equal(status))
			Expect(raw).To(ContainSubstring(message))
			Expect(resp.Header.Get(openai.OutcomeHeader)).To(Equal("not_run"))
			Expect(models.seen).To(BeNil())
		},
		Entry("not JSON", `{"model":`, 400, "not one JSON object"),
		Entry("two values", chat+`}{}`, 400, "not one JSON object"),
		Entry("not UTF-8", chat+",\"x\":\"\xff\"}", 400, "UTF-8"),
		Entry("null", `null`, 400, "null"),
		Entry("no model", `{"messages":[{"role":"user","content":"x"}]}`, 400, "model"),
		Entry("a field name in other case", `{"MODEL":"Tulis","messages":[{"role":"user","content":"x"}]}`, 400, "model"),
		Entry("no messages", `{"model":"Tulis"}`, 400, "messages"),
		Entry("wrong type", chat+`,"max_tokens":"9"}`, 400, "max_tokens"),
		Entry("limit out of range", chat+`,"max_tokens":101}`, 400, "between 1 and 100"),
		Entry("several answers", chat+`,"n":2}`, 400, "not supported"),
		Entry("unknown model", `{"model":"none","messages":[{"role":"user","content":"x"}]}`, 404, "GET /v1/models"),
		Entry("model of others", `{"model":"Lain","messages":[{"role":"user","content":"x"}]}`, 404, "GET /v1/models"),
		Entry("long prompt", `{"model":"Tulis","messages":[{"role":"user","content":"`+strings.Repeat("x", 2000)+`"}]}`, 400, "shorten it"),
		Entry("long body", `{"model":"Tulis","messages":[{"role":"user","content":"`+strings.Repeat("x", 5000)+`"}]}`, 413, "4096 bytes"),
	)

	It("accepts one key only, in one header", func() {
		for _, values := range [][]string{nil, {"Bearer"}, {"Bearer wrong"}, {"Basic " + testKey}, {"Bearer " + testKey + ", Bearer x"}} {
			req, _ := http.NewRequest("POST", server.URL+"/v1/chat/completions", strings.NewReader(chat+"}"))
			req.Header["Authorization"] = values
			resp, err := http.DefaultClient.Do(req)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		}
		resp, _ := do("POST", "/v1/chat/completions", chat+"}", "Authorization", "Bearer other")
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(models.seen).To(BeNil())
	})

	// Guards against a request whose body arrives slowly, and whose connection a planned stop closes without an answer.
	It("refuses a request whose body is still arriving when a planned stop ends the waits", func() {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 900\r\n\r\n{")
		Expect(err).NotTo(HaveOccurred())
		reader := bufio.NewReader(conn)
		Expect(conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))).To(Succeed())
		_, err = reader.Peek(1)
		Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		stop.EndWaits()
		Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		resp, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Header.Get(openai.OutcomeHeader)).To(Equal("not_run"))
	})

	DescribeTable("refuses requests that two parsers may read differently",
		func(raw string) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			_, err = io.WriteString(conn, strings.ReplaceAll(raw, "\n", "\r\n"))
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(BeNumerically(">=", 400)) // net/http answers some with 501
			Expect(models.seen).To(BeNil())
			Expect(service.seen).To(BeNil())
		},
		Entry("two lengths", "POST /hours HTTP/1.1\nHost: x\nContent-Length: 2\nContent-Length: 3\n\nabc"),
		Entry("unknown transfer coding", "POST /hours HTTP/1.1\nHost: x\nTransfer-Encoding: xchunked\n\n"),
		Entry("folded header", "GET /hours HTTP/1.1\nHost: x\n Authorization: y\n\n"),
		Entry("space before the colon", "GET /hours HTTP/1.1\nHost: x\nAuthorization : Bearer y\n\n"),
		Entry("underscore", "GET /hours HTTP/1.1\nHost: x\nX_Api_Key: y\n\n"),
		Entry("header named in Connection", "GET /hours HTTP/1.1\nHost: x\nConnection: X-Request-Id\n\n"),
		Entry("dot segments", "GET /hours/../bookings HTTP/1.1\nHost: x\n\n"),
		Entry("encoded slash", "GET /hours/..%2fbookings HTTP/1.1\nHost: x\n\n"),
		Entry("two idempotency keys", "POST /hours HTTP/1.1\nHost: x\nIdempotency-Key: a\nIdempotency-Key: b\nContent-Length: 0\n\n"),
	)

	It("forwards service calls without credentials", func() {
		resp, raw := do("POST", "/bookings/7?key=a&x=1&API_KEY=b&access%5Ftoken=c", "slot", "Idempotency-Key", "i1", "Cookie", "c=1")
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(raw).To(Equal("booked"))
		Expect(service.seen.Path).To(Equal("/bookings/7?x=1"))
		Expect(service.seen.Customer.Name).To(Equal("Asahan-1"))
		Expect(service.seen.IdempotencyKey).To(Equal("i1"))
		Expect(service.seen.Header).NotTo(Or(HaveKey("Authorization"), HaveKey("Cookie")))
	})

	It("asks for a key on routes that are not open, and for none on open ones", func() {
		resp, err := http.Get(server.URL + "/bookings/7")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		resp, err = http.Get(server.URL + "/hours")
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusCreated))
		Expect(service.seen.Customer).To(BeNil())
	})

	It("lists the customer's models", func() {
		_, raw := do("GET", "/v1/models", "")
		Expect(raw).To(ContainSubstring(`"id":"Tulis"`))
		Expect(raw).NotTo(ContainSubstring("Lain"))
		resp, _ := do("GET", "/v1/models/Lain", "")
		Expect(resp.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("treats a caller that reads no bytes as disconnected", func() {
		models.tokens, models.repeat = []string{strings.Repeat("x", 1<<16)}, 1<<10
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		body := chat + `,"stream":true}`
		req, _ := http.NewRequest("POST", server.URL+"/v1/chat/completions", strings.NewReader(body))
		req.Header.Set("Authorization", "Bearer "+testKey)
		Expect(req.Write(conn)).To(Succeed())
		var ended error
		Eventually(models.ended, "20s").Should(Receive(&ended))
		var timeout net.Error
		Expect(errors.As(ended, &timeout) && timeout.Timeout()).To(BeTrue())
	})
})

func parseEvents(raw string) []openai.Completion {
	var chunks []openai.Completion
	for line := range strings.SplitSeq(raw, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c openai.Completion
		Expect(json.Unmarshal([]byte(data), &c)).To(Succeed())
		chunks = append(chunks, c)
	}
	return chunks
}

func contentOf(c openai.Choice) string {
	switch {
	case c.Message != nil:
		return c.Message.Content
	case c.Delta != nil:
		return c.Delta.Content
	default:
		return *c.Text
	}
}
