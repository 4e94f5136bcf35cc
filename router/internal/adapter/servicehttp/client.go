package servicehttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/servicepath"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	dialTimeout             = time.Second
	keepAlivePeriod         = 15 * time.Second
	idleTimeout             = 30 * time.Second
	maxIdleConnsPerEndpoint = 64
	// maxResponseBytes limits a response body, which is held in memory.
	maxResponseBytes = 8 << 20
)

// TransportWrapper wraps a transport to add hybrid logical clock timestamps to calls.
type TransportWrapper interface {
	Transport(base http.RoundTripper) http.RoundTripper
}

// Client implements port.Service.
type Client struct {
	pooled, fresh                         *http.Transport
	pooledRoundTripper, freshRoundTripper http.RoundTripper
	memory                                *membudget.Budget
}

var _ port.Service = (*Client)(nil)

// New returns a Client. If wrapper is nil, calls carry no hybrid logical clock timestamps.
func New(wrapper TransportWrapper) *Client {
	c := &Client{pooled: newTransport(newDialer().DialContext), fresh: newTransport(resetOnCloseDial(newDialer().DialContext))}
	c.fresh.DisableKeepAlives = true
	c.pooledRoundTripper, c.freshRoundTripper = h1.Strict(c.pooled), h1.Strict(c.fresh)
	if wrapper != nil {
		c.pooledRoundTripper, c.freshRoundTripper = wrapper.Transport(c.pooledRoundTripper), wrapper.Transport(c.freshRoundTripper)
	}
	return c
}

// LimitMemory has responses take their memory out of a budget while they are read. It must be called before the first call.
func (c *Client) LimitMemory(b *membudget.Budget) { c.memory = b }

// Close closes the idle pooled connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// newDialer returns the dialer of all connections to services.
func newDialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod} }

// newTransport returns a transport whose connections without TLS are established by the given function.
func newTransport(dial h1.DialFunc) *http.Transport {
	secure := &tls.Dialer{NetDialer: newDialer(), Config: &tls.Config{NextProtos: []string{"http/1.1"}}}
	return &http.Transport{
		MaxResponseHeaderBytes: h1.MaxUncountedHeadBytes,
		DialContext:            trackingDial(h1.DetectResets(dial)),
		DialTLSContext:         trackingDial(h1.DetectResets(secure.DialContext)),
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
	}
}

// trackingDial wraps the connections of a dial function in a conn, which tracks the writes of its call. A TLS connection is
// wrapped outside TLS, so that the bytes of the handshake do not count as bytes of the call.
func trackingDial(dial h1.DialFunc) h1.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: raw}, nil
	}
}

// resetOnCloseDial sets SO_LINGER to 0, so that closing a connection discards unsent data. Otherwise the kernel could deliver a
// call that was abandoned during a network outage minutes later.
func resetOnCloseDial(dial h1.DialFunc) h1.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			err = tcp.SetLinger(0)
		}
		return c, err
	}
}

// Call implements port.Service. It calls the servicepath.BeforeWriteFunc in the context, if any, before each write.
func (c *Client) Call(ctx context.Context, ep port.Endpoint, call port.ServiceCall) (port.ServiceResponse, error) {
	state := &sendState{beforeWriteFunc: servicepath.BeforeWriteFromContext(ctx)}
	r, err := newRequest(ctx, state, ep, call)
	if err != nil {
		return port.ServiceResponse{}, fault.Wrap(err, fault.BadRequest, openai.NotRun, "the path or method is not valid; correct the call")
	}
	trip := c.pooledRoundTripper
	if call.NewConnection {
		trip = c.freshRoundTripper
	}
	resp, err := trip.RoundTrip(r)
	if err != nil {
		return port.ServiceResponse{}, callError(ctx, err, state)
	}
	defer resp.Body.Close()
	held := c.memory.Open()
	defer held.Close()
	body, err := membudget.ReadAll(resp.Body, maxResponseBytes+1, &held)
	if err != nil {
		return port.ServiceResponse{}, callError(ctx, err, state)
	}
	if len(body) > maxResponseBytes {
		return port.ServiceResponse{}, callError(ctx, errors.New("the response is larger than 8 MiB"), state)
	}
	return port.ServiceResponse{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func newRequest(ctx context.Context, state *sendState, ep port.Endpoint, call port.ServiceCall) (*http.Request, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return nil, errors.New("the path does not begin with a slash") // such a path could change the host of the URL
	}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		tracked, ok := info.Conn.(*conn)
		if !ok {
			state.state.Store(stateSent) // writes to this connection are not tracked, so assume that a byte was sent
			return
		}
		tracked.activeCall.Store(state)
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

// callError converts err to a *fault.Error. The outcome is NotRun only if no byte was sent and none can be sent any more.
func callError(ctx context.Context, err error, state *sendState) error {
	outcome := openai.Unknown
	if state.abandon() {
		outcome = openai.NotRun
	}
	if refusal := state.refusal.Load(); refusal != nil {
		err = errors.Join(*refusal, err)
	}
	var typed *fault.Error
	switch {
	case errors.As(err, &typed):
		return typed.WithOutcome(outcome)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fault.Wrap(err, fault.Timeout, outcome, "the service did not answer in time")
	case ctx.Err() != nil:
		return fault.Wrap(err, fault.CallerDisconnected, outcome, "the call was cancelled")
	}
	return fault.Wrap(err, fault.EndpointFailed, outcome, "the connection to the service failed")
}
