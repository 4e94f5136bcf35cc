// Package front serves callers over HTTP/1.1 with requests whose bodies are opaque to the router.
package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/app/forward"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// defaultBody bounds bodies if the configuration does not.
	defaultBody = 4 << 20
	// bodyTimeout bounds the reading of a body if the caller does not say how long it waits.
	bodyTimeout = 10 * time.Second
	// firstBodyBytes is the first step in which a body of unknown length is read.
	firstBodyBytes = 4 << 10
	// writeTimeout is how long a caller may take no bytes before it counts as gone.
	writeTimeout = 10 * time.Second
	// memoryRetry is when a caller should come back whose body finds no memory.
	memoryRetry = 500 * time.Millisecond
)

// CallerDecoder reads what callers declare.
type CallerDecoder interface {
	Decode(h http.Header) routing.Caller
}

// RequestHandler carries requests.
type RequestHandler interface {
	Handle(ctx context.Context, req *forward.Request, sink forward.ResponseWriter) error
}

// Deps are what a Handler works with.
type Deps struct {
	CallerDecoder  CallerDecoder
	RequestHandler RequestHandler
	SinceBoot      func() time.Duration
	Logger         *log.Logger
	// MaxBufferedBodyBytes bounds the bytes of all bodies that are held at once.
	MaxBufferedBodyBytes int64
	// StopPhase tells how far a planned stop is.
	StopPhase func() StopPhase
}

// StopPhase is how far a planned stop is.
type StopPhase int

// Phases of a planned stop.
const (
	// Serving: no stop is planned.
	Serving StopPhase = iota
	// ClosingConnections: requests are served, and connections end with their next answer.
	ClosingConnections
	// RefusingRequests: requests are refused, because the process may end before their answers do.
	RefusingRequests
)

// elsewhereRetry is when a caller should come back, on a new connection, that is refused by a stopping instance.
const elsewhereRetry = 10 * time.Millisecond

// Handler serves callers.
type Handler struct {
	Deps
	bodyBytes atomic.Int64
	open      atomic.Int64
}

// New returns a handler.
func New(d Deps) *Handler { return &Handler{Deps: d} }

// OpenRequests is the number of requests that are being served.
func (h *Handler) OpenRequests() int { return int(h.open.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.open.Add(1)
	defer h.open.Add(-1)
	phase := h.StopPhase()
	if phase != Serving {
		w.Header().Set("Connection", "close")
	}
	if phase == RefusingRequests {
		h.refuse(w, fault.New(fault.Overloaded, "this instance stops; use a new connection").WithRetryAfter(elsewhereRetry))
		return
	}
	body := &bodyReader{handler: h, w: w, r: r}
	defer body.release()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req := &forward.Request{
		Caller: h.CallerDecoder.Decode(r.Header), Method: r.Method, Target: r.RequestURI, Path: path, Host: r.Host,
		ReadBody: body.read, Arrived: h.SinceBoot(),
	}
	sink := &sink{w: w, controller: http.NewResponseController(w)}
	err := h.handle(r.Context(), req, sink)
	switch {
	case err == nil:
	case errors.Is(err, forward.ErrAborted) || fault.Is(err, fault.CallerGone):
		abort(w, r)
	default:
		h.refuse(w, fault.As(err))
	}
}

// handle serves a request. A panic ends this request only.
func (h *Handler) handle(ctx context.Context, req *forward.Request, s *sink) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		h.Logger.Error().Str("event", "request.panic").Str("request", req.Caller.RequestID).Any("cause", cause).
			Str("stack", string(debug.Stack())).Msg("")
		if s.begun {
			err = forward.ErrAborted
			return
		}
		err = fault.New(fault.EndpointFailed, "an unexpected error; the request may have run").WithOutcome(openai.Unknown)
	}()
	return h.RequestHandler.Handle(ctx, req, s)
}

// abort ends the connection of an answer that broke off. Callers of HTTP/1.0 read an answer up to the end of the connection, so
// that only a reset tells them.
func abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed
	}
	_ = conn.Close()
}

// statuses are the HTTP statuses of refusals. Those of requests that may have run promise nothing; see status.
var statuses = map[fault.Kind]int{
	fault.BadRequest:     http.StatusBadRequest,
	fault.Unauthorized:   http.StatusUnauthorized,
	fault.NotFound:       http.StatusNotFound,
	fault.TooLarge:       http.StatusRequestEntityTooLarge,
	fault.RateLimited:    http.StatusTooManyRequests,
	fault.Overloaded:     http.StatusServiceUnavailable,
	fault.NotConfirmed:   http.StatusServiceUnavailable,
	fault.NoEndpoint:     http.StatusServiceUnavailable,
	fault.Timeout:        http.StatusGatewayTimeout,
	fault.EndpointFailed: http.StatusBadGateway,
}

// status maps an error to a status. 429 and 503 promise that the request has not run and never will.
func status(e *fault.Error) int {
	code, known := statuses[e.Kind]
	switch {
	case !known:
		return http.StatusBadGateway
	case e.Outcome == openai.NotRun && code >= 500:
		return http.StatusServiceUnavailable
	case e.Outcome != openai.NotRun && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests):
		return http.StatusBadGateway
	}
	return code
}

func (h *Handler) refuse(w http.ResponseWriter, e *fault.Error) {
	code := status(e)
	if e.RetryAfter > 0 && (code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests) {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	if _, err := io.WriteString(w, e.Message+"\n"); err != nil {
		h.Logger.Debug().Str("event", "refusal.not_sent").Err(err).Msg("")
	}
}

// sink passes an answer on to the caller.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	begun      bool
}

func (s *sink) setHeader(header http.Header) {
	out := s.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		out["Content-Type"] = nil // no type is guessed
	}
}

// WriteResponse implements forward.Sink.
func (s *sink) WriteResponse(status int, header http.Header, body []byte) error {
	s.begun = true
	s.setHeader(header)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(status)
	s.extend()
	_, err := s.w.Write(body)
	return err
}

// WriteHeader implements forward.Sink.
func (s *sink) WriteHeader(status int, header http.Header) error {
	s.begun = true
	s.setHeader(header)
	s.w.WriteHeader(status)
	return nil
}

// WriteChunk implements forward.Sink.
func (s *sink) WriteChunk(p []byte) error {
	s.extend()
	if _, err := s.w.Write(p); err != nil {
		return err
	}
	return s.controller.Flush()
}

// extend sets the write deadline anew, so that only a caller that takes no bytes is cut.
func (s *sink) extend() {
	// Recorders of tests have no deadlines; a connection always has them.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// bodyReader reads a body within the memory for bodies.
type bodyReader struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	held    int64
}

func (b *bodyReader) release() { b.handler.bodyBytes.Add(-b.held) }

// reserve takes memory for bodies.
func (b *bodyReader) reserve(n int64) error {
	if b.handler.bodyBytes.Add(n) > b.handler.MaxBufferedBodyBytes {
		b.handler.bodyBytes.Add(-n)
		return fault.New(fault.Overloaded, "there is no memory for the body; come back after Retry-After").WithRetryAfter(memoryRetry)
	}
	b.held += n
	return nil
}

func (b *bodyReader) read(limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBody
	}
	if b.r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	controller := http.NewResponseController(b.w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := b.readAll(limit)
	var typed *fault.Error
	if err != nil && !errors.As(err, &typed) {
		return nil, fault.Wrap(err, fault.BadRequest, openai.NotRun, "the body ended early; send it again")
	}
	return body, err
}

// readAll reads the body. Memory for a declared length is reserved at once, for an unknown one in growing steps.
func (b *bodyReader) readAll(limit int64) ([]byte, error) {
	size := b.r.ContentLength
	if size < 0 {
		size = firstBodyBytes
	}
	if err := b.reserve(size); err != nil {
		return nil, err
	}
	body := make([]byte, 0, size+1)
	for {
		n, err := b.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case int64(len(body)) > limit:
			return nil, tooLarge(limit)
		case len(body) < cap(body):
			continue
		}
		if err := b.reserve(int64(cap(body))); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, 2*cap(body)), body...)
	}
}

func tooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes; shorten it")
}
