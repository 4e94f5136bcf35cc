package servicehttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	dialTimeout     = time.Second
	keepAlivePeriod = 15 * time.Second
	idleTimeout     = 30 * time.Second
	idlePerEndpoint = 64
	// maxAnswerBytes bounds an answer, which is held in memory.
	maxAnswerBytes = 8 << 20
)

// TransportWrapper carries the hybrid logical clock on calls.
type TransportWrapper interface {
	Transport(base http.RoundTripper) http.RoundTripper
}

// Client implements port.Service.
type Client struct {
	pooled, fresh         *http.Transport
	pooledTrip, freshTrip http.RoundTripper
}

var _ port.Service = (*Client)(nil)

// New returns a client. Without a clock, none is carried.
func New(clock TransportWrapper) *Client {
	c := &Client{pooled: newTransport(), fresh: newTransport()}
	c.fresh.DisableKeepAlives = true
	c.fresh.DialContext = discarding(c.fresh.DialContext)
	c.pooledTrip, c.freshTrip = c.pooled, c.fresh
	if clock != nil {
		c.pooledTrip, c.freshTrip = clock.Transport(c.pooled), clock.Transport(c.fresh)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	secure := &tls.Dialer{NetDialer: dialer, Config: &tls.Config{NextProtos: []string{"http/1.1"}}}
	return &http.Transport{
		MaxResponseHeaderBytes: h1.MaxHeadBytes,
		DialContext:            wrapped(dialer.DialContext),
		DialTLSContext:         wrapped(secure.DialContext),
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    idlePerEndpoint,
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// wrapped makes the connections of a dial function know their call. TLS is wrapped from outside, so that the handshake
// does not count as a byte of the call.
func wrapped(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// discarding makes closing a connection discard what the kernel has not delivered yet. Otherwise a call that was given up
// during a network outage could arrive minutes later.
func discarding(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*conn).Conn.(*net.TCPConn); ok {
			err = tcp.SetLinger(0)
		}
		return c, err
	}
}

// Call implements port.Service. A gate in the context is asked before each write.
func (c *Client) Call(ctx context.Context, ep port.Endpoint, call port.ServiceCall) (port.ServiceResponse, error) {
	state := &sendState{gate: servicepath.BeforeWriteFromContext(ctx)}
	r, err := newRequest(ctx, state, ep, call)
	if err != nil {
		return port.ServiceResponse{}, fault.Wrap(err, fault.BadRequest, openai.NotRun, "the path or method is not valid; correct the call")
	}
	trip := c.pooledTrip
	if call.Fresh {
		trip = c.freshTrip
	}
	resp, err := trip.RoundTrip(r)
	if err != nil {
		return port.ServiceResponse{}, failure(ctx, err, state)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return port.ServiceResponse{}, failure(ctx, err, state)
	}
	if len(body) > maxAnswerBytes {
		return port.ServiceResponse{}, failure(ctx, errors.New("the answer is larger than 8 MiB"), state)
	}
	return port.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func newRequest(ctx context.Context, state *sendState, ep port.Endpoint, call port.ServiceCall) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.New("the path does not begin with a slash") // it could change the host of the URL
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		own, ok := info.Conn.(*conn)
		if !ok {
			state.state.Store(stateSent) // its writes are not seen, so a byte may leave at any time
			return
		}
		own.current.Store(state)
	}}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, ep.URL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	r.Header = call.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header["User-Agent"] = []string{""} // an empty value keeps net/http from adding its own
	return r, nil
}

// failure types an error. The outcome is not_run only if no byte left and none can leave any more.
func failure(ctx context.Context, err error, state *sendState) error {
	outcome := openai.Unknown
	if state.abandon() {
		outcome = openai.NotRun
	}
	var typed *fault.Error
	switch {
	case errors.As(err, &typed):
		return typed.WithOutcome(outcome)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(err, fault.Timeout, outcome, "the service did not answer in time")
	case ctx.Err() != nil:
		return fault.Wrap(err, fault.CallerGone, outcome, "the call was cancelled")
	}
	return fault.Wrap(err, fault.EndpointFailed, outcome, "the connection to the service failed")
}
