// Package frontend is the caller-facing HTTP/1.1 server. It treats request bodies as opaque bytes.
package frontend

import (
	"cmp"
	"context"
	"errors"
	"io"
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
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/domain/slowreader"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// defaultMaxBodyBytes limits the size of a request body when the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// bodyReadTimeout limits the time to read a request body.
	bodyReadTimeout = 10 * time.Second
	// initialBodyBufferBytes is the initial buffer size for a body of unknown length, reservedBodyBytes the largest one for a declared
	// length, so that a client which declares much and sends nothing does not take the memory for bodies from others.
	initialBodyBufferBytes = 4 << 10
	reservedBodyBytes      = 64 << 10
	// DefaultWriteTimeout is how long a caller may read nothing before it is treated as disconnected.
	DefaultWriteTimeout = 10 * time.Second
	// bodyMemoryRetryAfter is the Retry-After value when no memory is available for a request body.
	bodyMemoryRetryAfter = 500 * time.Millisecond
)

// CallerDecoder decodes the caller's attributes from the request headers.
type CallerDecoder interface {
	Decode(h http.Header) routing.Caller
}

// RequestHandler handles a request and writes its response to w.
type RequestHandler interface {
	Handle(ctx context.Context, req *forward.Request, w forward.ResponseWriter) error
}

// Deps holds the dependencies and limits of a Handler.
type Deps struct {
	CallerDecoder  CallerDecoder
	RequestHandler RequestHandler
	SinceBoot      func() time.Duration
	Logger         *log.Logger
	// MaxBufferedBodyBytes limits the total size of the request bodies that are held in memory at the same time.
	MaxBufferedBodyBytes int64
	// SlowCallers bounds the memory that is held for callers that do not read; nil means no limit.
	SlowCallers *slowreader.Tracker
	// WriteTimeout is how long a caller may read nothing; zero means DefaultWriteTimeout.
	WriteTimeout time.Duration
	// StopPhase returns the current phase of a planned stop.
	StopPhase func() StopPhase
	// Stop ends the waits of requests in a planned stop.
	Stop *plannedstop.Signals
}

// StopPhase is a phase of a planned stop.
type StopPhase int

// Phases of a planned stop.
const (
	// Serving means that no stop is planned.
	Serving StopPhase = iota
	// ClosingConnections means that requests are served and each connection is closed after its next response.
	ClosingConnections
	// RefusingRequests means that new requests are refused, because the process may exit before their responses complete.
	RefusingRequests
)

// Handler serves requests of callers.
type Handler struct {
	Deps
	bufferedBodyBytes atomic.Int64
	openRequests      atomic.Int64
	// slowCheckScheduled is set while a check of the blocked writes is scheduled.
	slowCheckScheduled atomic.Bool
}

// New returns a Handler with the given dependencies.
func New(d Deps) *Handler {
	d.WriteTimeout = cmp.Or(d.WriteTimeout, DefaultWriteTimeout)
	return &Handler{Deps: d}
}

// OpenRequests returns the number of requests in progress.
func (h *Handler) OpenRequests() int { return int(h.openRequests.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.openRequests.Add(1)
	defer h.openRequests.Add(-1)
	phase := h.StopPhase()
	if phase != Serving {
		w.Header().Set("Connection", "close")
	}
	if phase == RefusingRequests {
		h.refuse(w, plannedstop.Error())
		return
	}
	body := &bodyReader{handler: h, w: w, r: r}
	defer body.release()
	path, _, _ := strings.Cut(r.RequestURI, "?")
	req := &forward.Request{
		Caller: h.CallerDecoder.Decode(r.Header), Method: r.Method, Target: r.RequestURI, Path: path, Host: r.Host,
		ReadBody: body.read, Arrived: h.SinceBoot(),
	}
	rw := &responseWriter{w: w, controller: http.NewResponseController(w), handler: h, body: body}
	err := h.handle(r.Context(), req, rw)
	switch {
	case err == nil:
	case errors.Is(err, forward.ErrAborted) || fault.Is(err, fault.CallerDisconnected):
		abortConnection(w, r)
	default:
		h.refuse(w, fault.As(err))
	}
}

// handle passes a request to the RequestHandler. It recovers from a panic, so that only this request fails.
func (h *Handler) handle(ctx context.Context, req *forward.Request, s *responseWriter) (err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		h.Logger.Error().Str("event", "request.panic").Str("request", req.Caller.RequestID).Any("cause", cause).
			Str("stack", string(debug.Stack())).Msg("")
		if s.headerWritten {
			err = forward.ErrAborted
			return
		}
		err = fault.New(fault.EndpointFailed, "an unexpected error; the request may have run").WithOutcome(openai.Unknown)
	}()
	return h.RequestHandler.Handle(ctx, req, s)
}

// abortConnection closes the connection after an incomplete response. An HTTP/1.0 response may be delimited by the close of the
// connection, so an HTTP/1.0 connection is reset to signal the error.
func abortConnection(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = conn.Close()
}

// refusalStatuses maps error kinds to HTTP statuses. refusalStatus replaces a status that does not fit the outcome of the request.
var refusalStatuses = map[fault.Kind]int{
	fault.BadRequest:           http.StatusBadRequest,
	fault.Unauthorized:         http.StatusUnauthorized,
	fault.NotFound:             http.StatusNotFound,
	fault.TooLarge:             http.StatusRequestEntityTooLarge,
	fault.RateLimited:          http.StatusTooManyRequests,
	fault.Overloaded:           http.StatusServiceUnavailable,
	fault.InstanceNotConfirmed: http.StatusServiceUnavailable,
	fault.NoEndpoint:           http.StatusServiceUnavailable,
	fault.PromptQuarantined:    http.StatusServiceUnavailable,
	fault.Draining:             http.StatusServiceUnavailable,
	fault.Timeout:              http.StatusGatewayTimeout,
	fault.EndpointFailed:       http.StatusBadGateway,
}

// refusalStatus returns the HTTP status of an error. It implies that the request has not run only if that is so.
func refusalStatus(e *fault.Error) int {
	code, known := refusalStatuses[e.Kind]
	switch {
	case !known:
		return http.StatusBadGateway
	case e.Outcome == openai.NotRun && code >= 500:
		return http.StatusServiceUnavailable
	case e.Outcome != openai.NotRun && fault.ImpliesNotRun(code):
		return http.StatusBadGateway
	}
	return code
}

func (h *Handler) refuse(w http.ResponseWriter, e *fault.Error) {
	code := refusalStatus(e)
	if e.RetryAfter > 0 && fault.ImpliesNotRun(code) {
		w.Header().Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	if _, err := io.WriteString(w, e.Message+"\n"); err != nil {
		h.Logger.Debug().Str("event", "refusal.not_sent").Err(err).Msg("")
	}
}

// responseWriter implements forward.ResponseWriter over an http.ResponseWriter.
type responseWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	headerWritten bool
	handler       *Handler
	body          *bodyReader
	// cut is set once the caller has been cut.
	cut atomic.Bool
}

func (s *responseWriter) setHeader(header http.Header) {
	out := s.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		out["Content-Type"] = nil // keeps net/http from detecting a content type
	}
}

// WriteResponse implements forward.ResponseWriter.
func (s *responseWriter) WriteResponse(status int, header http.Header, body []byte) error {
	s.headerWritten = true
	s.setHeader(header)
	s.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(status)
	return s.writeTracked(body)
}

// WriteHeader implements forward.ResponseWriter.
func (s *responseWriter) WriteHeader(status int, header http.Header) error {
	s.headerWritten = true
	s.setHeader(header)
	s.w.WriteHeader(status)
	return nil
}

// WriteChunk implements forward.ResponseWriter.
func (s *responseWriter) WriteChunk(p []byte) error {
	if err := s.writeTracked(p); err != nil {
		return err
	}
	s.extendWriteDeadline()
	return s.track(0, s.controller.Flush)
}

// bodyReader reads a request body and accounts for its memory against Deps.MaxBufferedBodyBytes.
type bodyReader struct {
	handler       *Handler
	w             http.ResponseWriter
	r             *http.Request
	reservedBytes int64
}

func (b *bodyReader) release() { b.handler.bufferedBodyBytes.Add(-b.reservedBytes) }

// reserve accounts for n more bytes, or returns an Overloaded error if they exceed the limit.
func (b *bodyReader) reserve(n int64) error {
	if b.handler.bufferedBodyBytes.Add(n) > b.handler.MaxBufferedBodyBytes {
		b.handler.bufferedBodyBytes.Add(-n)
		return fault.New(fault.Overloaded, "there is no memory for the body; come back after Retry-After").WithRetryAfter(bodyMemoryRetryAfter)
	}
	b.reservedBytes += n
	return nil
}

func (b *bodyReader) read(limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if b.r.ContentLength > limit {
		return nil, bodyTooLargeError(limit)
	}
	controller := http.NewResponseController(b.w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	detach := context.AfterFunc(b.handler.Stop.Waits(), func() { _ = controller.SetReadDeadline(time.Now()) })
	defer detach()
	body, err := b.readAll(limit)
	if b.handler.StopPhase() == RefusingRequests { // the body took so long that an answer might not come in time
		b.w.Header().Set("Connection", "close")
		return nil, plannedstop.Error()
	}
	var typed *fault.Error
	if err != nil && !errors.As(err, &typed) {
		return nil, fault.Wrap(err, fault.BadRequest, openai.NotRun, "the body ended early; send it again")
	}
	return body, err
}

// readAll reads the body. It reserves memory for a declared length up to reservedBodyBytes in advance, and doubles the buffer when it is
// full.
func (b *bodyReader) readAll(limit int64) ([]byte, error) {
	size := min(b.r.ContentLength, reservedBodyBytes)
	if size < 0 {
		size = initialBodyBufferBytes
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
			return nil, bodyTooLargeError(limit)
		case len(body) < cap(body):
			continue
		}
		larger := 2 * int64(cap(body))
		if b.r.ContentLength >= 0 {
			larger = min(larger, b.r.ContentLength+1)
		}
		if err := b.reserve(larger - int64(cap(body))); err != nil {
			return nil, err
		}
		body = append(make([]byte, 0, larger), body...)
	}
}

func bodyTooLargeError(limit int64) error {
	return fault.New(fault.TooLarge, "the body is longer than "+strconv.FormatInt(limit, 10)+" bytes; shorten it")
}
