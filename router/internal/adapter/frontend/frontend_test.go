package frontend_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/app/forward"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/fault"
)

func TestFront(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "front")
}

type headerDecoder struct{}

func (headerDecoder) Decode(h http.Header) routing.Caller { return routing.Caller{Header: h.Clone()} }

type handlerFunc func(ctx context.Context, req *forward.Request, w forward.ResponseWriter) error

func (f handlerFunc) Handle(ctx context.Context, req *forward.Request, w forward.ResponseWriter) error {
	return f(ctx, req, w)
}

func newHandler(path handlerFunc, phase frontend.StopPhase, bodyMemory int64) *frontend.Handler {
	return frontend.New(frontend.Deps{
		CallerDecoder: headerDecoder{}, RequestHandler: path, SinceBoot: func() time.Duration { return 0 }, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		MaxBufferedBodyBytes: bodyMemory, StopPhase: func() frontend.StopPhase { return phase }, Stop: plannedstop.New(),
	})
}

var respondOK = handlerFunc(func(_ context.Context, _ *forward.Request, w forward.ResponseWriter) error {
	return w.WriteResponse(http.StatusOK, http.Header{"X-Kept": {"yes"}}, []byte("whole"))
})

func failWith(err error) handlerFunc {
	return func(context.Context, *forward.Request, forward.ResponseWriter) error { return err }
}

func post(server *httptest.Server, body io.Reader) (*http.Response, string, error) {
	resp, err := http.Post(server.URL+"/a//b/../c?x=%2F", "text/plain", body)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return resp, string(content), err
}

var _ = Describe("the callers' port", func() {
	serve := func(path handlerFunc, phase frontend.StopPhase) *httptest.Server {
		server := httptest.NewServer(newHandler(path, phase, 1<<20))
		DeferCleanup(server.Close)
		return server
	}

	// Guards against a panic in a request handler that ends the process or leaves the caller without a correct response.
	It("answers a request whose handling panics, and serves the next one", func() {
		calls := 0
		server := serve(func(_ context.Context, _ *forward.Request, w forward.ResponseWriter) error {
			calls++
			switch calls {
			case 1:
				panic("unexpected")
			case 2:
				Expect(w.WriteHeader(http.StatusOK, http.Header{})).To(Succeed())
				Expect(w.WriteChunk([]byte("part"))).To(Succeed())
				panic("unexpected")
			}
			return w.WriteResponse(http.StatusOK, http.Header{}, []byte("whole"))
		}, frontend.Serving)
		resp, _, err := post(server, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadGateway), "the request may have run")
		_, _, err = post(server, nil)
		Expect(err).To(HaveOccurred(), "the incomplete response was read without an error")
		_, body, err := post(server, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("whole"))
	})

	// Guards against a modified response, such as a detected content type or a lost header.
	It("passes a whole answer on unchanged", func() {
		resp, body, err := post(serve(respondOK, frontend.Serving), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("whole"))
		Expect(resp.Header).To(HaveKeyWithValue("X-Kept", []string{"yes"}))
		Expect(resp.Header).NotTo(HaveKey("Content-Type"))
		Expect(resp.ContentLength).To(BeEquivalentTo(5))
	})

	// Guards against a path that is cleaned or decoded before it is forwarded to the endpoint.
	It("hands the request target over byte for byte", func() {
		var target, path string
		server := serve(func(_ context.Context, req *forward.Request, w forward.ResponseWriter) error {
			target, path = req.Target, req.Path
			return w.WriteResponse(http.StatusOK, nil, nil)
		}, frontend.Serving)
		_, _, err := post(server, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(target).To(Equal("/a//b/../c?x=%2F"))
		Expect(path).To(Equal("/a//b/../c"))
	})

	// Guards against an incomplete response that the caller takes for a complete one.
	It("closes the connection of an answer that breaks off", func() {
		server := serve(func(_ context.Context, _ *forward.Request, w forward.ResponseWriter) error {
			return errors.Join(w.WriteHeader(http.StatusOK, nil), w.WriteChunk([]byte("part")), forward.ErrAborted)
		}, frontend.Serving)
		_, body, err := post(server, nil)
		Expect(err).To(HaveOccurred())
		Expect(body).To(Equal("part"))
	})

	// Guards against streams that start on a stopping instance and are cut off when the process exits (LOST on asahan
	// scale-1).
	It("refuses requests once a planned stop has given notice, and asks for new connections before", func() {
		resp, _, err := post(serve(respondOK, frontend.ClosingConnections), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		Expect(resp.Close).To(BeTrue())
		resp, _, err = post(serve(respondOK, frontend.RefusingRequests), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Close).To(BeTrue())
		Expect(resp.Header.Get("Retry-After")).To(Equal("0.010"))
	})

	readBody := func(limit int64) handlerFunc {
		return func(_ context.Context, req *forward.Request, w forward.ResponseWriter) error {
			body, err := req.ReadBody(limit)
			if err != nil {
				return err
			}
			return w.WriteResponse(http.StatusOK, nil, body)
		}
	}

	// Guards against a request that is passed on late in a planned stop because its body arrived slowly.
	It("refuses a request whose body ends after the notice", func() {
		var phase atomic.Int64
		h := frontend.New(frontend.Deps{
			CallerDecoder: headerDecoder{}, RequestHandler: readBody(100), SinceBoot: func() time.Duration { return 0 }, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			MaxBufferedBodyBytes: 1 << 20, StopPhase: func() frontend.StopPhase { return frontend.StopPhase(phase.Load()) },
			Stop: plannedstop.New(),
		})
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		slow, body := io.Pipe()
		go func() {
			_, _ = body.Write([]byte("first"))
			phase.Store(int64(frontend.RefusingRequests))
			_, _ = body.Write([]byte("last"))
			_ = body.Close()
		}()
		resp, _, err := post(server, slow)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Close).To(BeTrue())
		Expect(resp.Header.Get("Retry-After")).To(Equal("0.010"))
	})

	// Guards against a 429 or 503 for a request that may have run: both guarantee that it has not.
	DescribeTable("maps refusals", func(err error, code int, retryAfter string) {
		resp, _, doErr := post(serve(failWith(err), frontend.Serving), nil)
		Expect(doErr).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(code))
		Expect(resp.Header.Get("Retry-After")).To(Equal(retryAfter))
	},
		Entry("over the rate", fault.New(fault.RateLimited, "m").WithRetryAfter(250*time.Millisecond), 429, "0.250"),
		Entry("busy", fault.New(fault.Overloaded, "m").WithRetryAfter(time.Second), 503, "1.000"),
		Entry("busy, but it may have run", fault.New(fault.Overloaded, "m").WithOutcome(openai.Unknown), 502, ""),
		Entry("timed out before it was sent", fault.New(fault.Timeout, "m"), 503, ""),
		Entry("timed out after it was sent", fault.New(fault.Timeout, "m").WithOutcome(openai.Unknown), 504, ""),
		Entry("an endpoint failed", fault.New(fault.EndpointFailed, "m").WithOutcome(openai.Unknown), 502, ""),
		Entry("an unknown key", fault.New(fault.Unauthorized, "m"), 401, ""),
		Entry("no route", fault.New(fault.NotFound, "m"), 404, ""),
		Entry("another error", errors.New("x"), 502, ""),
	)

	// Guards against bodies of unknown length that are read incorrectly, and against limits that apply only to declared lengths.
	DescribeTable("reads bodies", func(size int, declared bool, limit int64, code int) {
		content := strings.Repeat("x", size)
		var body io.Reader = strings.NewReader(content)
		if !declared {
			body = io.MultiReader(body)
		}
		resp, got, err := post(serve(readBody(limit), frontend.Serving), body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(code))
		if code == http.StatusOK {
			Expect(got).To(Equal(content))
		}
	},
		Entry("declared", 100_000, true, int64(100_000), 200),
		Entry("in chunks", 100_000, false, int64(100_000), 200),
		Entry("empty", 0, true, int64(10), 200),
		Entry("declared, too long", 100_001, true, int64(100_000), 413),
		Entry("in chunks, too long", 100_001, false, int64(100_000), 413),
		Entry("more than the memory for bodies", 2<<20, true, int64(4<<20), 503),
		Entry("in chunks, more than the memory for bodies", 2<<20, false, int64(4<<20), 503),
	)
})
