// Package enginehttp implements port.Engine over HTTP.
package enginehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/engine"
	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Options bound the calls. Zero values select the defaults.
type Options struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration
	// PrefillTimeout bounds a whole prefill, the engine's own queue included.
	PrefillTimeout time.Duration
	// FirstTokenTimeout bounds the wait for a decode's first chunk: KV transfer, waiting and the first step.
	FirstTokenTimeout time.Duration
	// ProgressTimeout bounds the time between two chunks of a stream.
	ProgressTimeout time.Duration
	// ProbeInterval is the wait for a response before the engine is asked over another connection whether it knows the
	// attempt, and the time between two such probes.
	ProbeInterval time.Duration
	// ManagementTimeout bounds one management call.
	ManagementTimeout time.Duration
}

// Defaults. The limits for the first chunk and for progress are many times what a transfer and a decode step take, so
// that a loaded engine does not pass for a dead one.
const (
	defaultConnectTimeout    = 500 * time.Millisecond
	defaultPrefillTimeout    = 30 * time.Second
	defaultFirstTokenTimeout = 3 * time.Second
	defaultProgressTimeout   = 3 * time.Second
	defaultProbeInterval     = time.Second
	defaultManagementTimeout = time.Second

	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 3
	// idleTimeout of work connections; management connections live shorter, so that polls and cancels soon leave a
	// connection that went silent.
	idleTimeout       = 30 * time.Second
	manageIdleTimeout = 3 * time.Second
	idlePerHost       = 64
	manageIdlePerHost = 2

	maxAnswerBytes = 8 << 20
	maxErrorBytes  = 64 << 10
	userAgent      = "tanagerwood"
)

func (o Options) withDefaults() Options {
	set := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	set(&o.ConnectTimeout, defaultConnectTimeout)
	set(&o.PrefillTimeout, defaultPrefillTimeout)
	set(&o.FirstTokenTimeout, defaultFirstTokenTimeout)
	set(&o.ProgressTimeout, defaultProgressTimeout)
	set(&o.ProbeInterval, defaultProbeInterval)
	set(&o.ManagementTimeout, defaultManagementTimeout)
	return o
}

// SilentConnectionError reports an open connection on which nothing arrived while the engine did not know the attempt or
// made no progress. It does not mean that the endpoint has failed, because new connections may work.
type SilentConnectionError struct{ Waited time.Duration }

// Error implements error.
func (e *SilentConnectionError) Error() string { return "connection silent for " + e.Waited.String() }

// SilentConnection marks the error for packages that do not import this one.
func (e *SilentConnectionError) SilentConnection() bool { return true }

// Client implements port.Engine.
type Client struct {
	opts   Options
	work   *http.Client
	pool   *http.Transport
	manage *http.Client
	// managePool is kept apart from pool so that long calls never delay a cancel.
	managePool *http.Transport
}

var _ port.Engine = (*Client)(nil)

// New returns a client whose messages carry the log's clock.
func New(opts Options, log *event.Log) *Client {
	opts = opts.withDefaults()
	c := &Client{opts: opts}
	c.pool = newTransport(opts, idleTimeout, idlePerHost)
	c.managePool = newTransport(opts, manageIdleTimeout, manageIdlePerHost)
	c.work = &http.Client{Transport: log.Transport(c.pool), CheckRedirect: refuseRedirect}
	c.manage = &http.Client{Transport: log.Transport(c.managePool), CheckRedirect: refuseRedirect, Timeout: opts.ManagementTimeout}
	return c
}

func newTransport(opts Options, idle time.Duration, perHost int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: opts.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
	}
	return &http.Transport{
		MaxResponseHeaderBytes: h1.MaxHeadBytes,
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    perHost,
		IdleConnTimeout:        idle,
		DisableCompression:     true,
	}
}

// refuseRedirect keeps a redirect from sending a request to a host that is not an endpoint.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Prefill implements port.Engine.
func (c *Client) Prefill(ctx context.Context, ep port.Endpoint, call port.EngineCall) (engine.PrefillResult, error) {
	var result engine.PrefillResult
	body, err := mergeBody(call, false)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := time.AfterFunc(c.opts.PrefillTimeout, func() { cancel(&SilentConnectionError{Waited: c.opts.PrefillTimeout}) })
	defer stop.Stop()
	resp, err := c.send(ctx, cancel, ep, call, body)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return result, c.transportError(ctx, err, true)
	}
	if err := json.Unmarshal(raw, &result); err != nil {
		return result, fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the engine's prefill answer is not valid")
	}
	return result, nil
}

// Decode implements port.Engine.
func (c *Client) Decode(ctx context.Context, ep port.Endpoint, call port.EngineCall) (port.TokenStream, error) {
	body, err := mergeBody(call, true)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	stop := time.AfterFunc(c.opts.FirstTokenTimeout, func() { cancel(&SilentConnectionError{Waited: c.opts.FirstTokenTimeout}) })
	resp, err := c.send(ctx, cancel, ep, call, body)
	stop.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, c, resp.Body), nil
}

// send posts a call and returns an answer of status 200. While no answer comes, it probes the engine over another
// connection.
func (c *Client) send(ctx context.Context, cancel context.CancelCauseFunc, ep port.Endpoint, call port.EngineCall, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.request(traced, http.MethodPost, ep, call.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(openai.RequestIDHeader, call.Extension.RequestID)
	answered := make(chan struct{})
	go c.probe(ctx, cancel, answered, ep, call.Extension.RequestID)
	resp, err := c.work.Do(req)
	close(answered)
	if err != nil {
		return nil, c.transportError(ctx, err, connected.Load())
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, statusError(resp, ep)
	}
	return resp, nil
}

// request builds a request with only the router's headers.
func (c *Client) request(ctx context.Context, method string, ep port.Endpoint, path string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(ep.URL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.EndpointFailed, openai.NotRun, "the endpoint's URL is not valid; correct it in the instance list")
	}
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set("Accept", "application/json, text/event-stream")
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// probe asks the engine whether it knows the attempt while its answer stays away. If the engine twice does not, the
// connection lost the call or its answer, and the call is cancelled, which closes the connection. Two looks leave room
// for an answer that is on its way.
func (c *Client) probe(ctx context.Context, cancel context.CancelCauseFunc, answered <-chan struct{}, ep port.Endpoint, attempt string) {
	ticker := time.NewTicker(c.opts.ProbeInterval)
	defer ticker.Stop()
	missing := 0
	for waited := c.opts.ProbeInterval; ; waited += c.opts.ProbeInterval {
		select {
		case <-answered:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		list, err := c.Requests(ctx, ep)
		if err != nil || holds(list, attempt) {
			missing = 0
			continue
		}
		missing++
		if missing == 2 {
			cancel(&SilentConnectionError{Waited: waited})
			return
		}
	}
}

func holds(list engine.RequestList, attempt string) bool {
	for _, r := range list.Requests {
		if r.ID == attempt {
			return true
		}
	}
	return false
}

// transportError types an error of the connection. If no connection was obtained, nothing was sent. After a silent
// connection the idle ones are closed as well, because they may be as old, and the next attempt opens a fresh one.
func (c *Client) transportError(ctx context.Context, err error, connected bool) error {
	cause := context.Cause(ctx)
	var silent *SilentConnectionError
	if errors.As(cause, &silent) {
		c.pool.CloseIdleConnections()
		return fault.Wrap(silent, fault.Timeout, openai.Unknown, "the engine's connection went silent; another one is tried")
	}
	if cause != nil {
		return fault.Wrap(cause, fault.CallerDisconnected, openai.Unknown, "the call was cancelled")
	}
	outcome := openai.NotRun
	if connected {
		outcome = openai.Unknown
	}
	return fault.Wrap(err, fault.EndpointFailed, outcome, "the connection to the engine failed; another endpoint is tried")
}

const (
	// kvCodePrefix begins the error codes that say that the KV cache of the prefill could not be had.
	kvCodePrefix = "kv_"
	// codeWrongRole says that the engine's role was changed since the instance list was read. It is not the caller's fault.
	codeWrongRole = "wrong_role"
)

// statusError types an answer other than 200. An engine refuses before it runs anything, except for 5xx other than 503.
func statusError(resp *http.Response, ep port.Endpoint) error {
	raw, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	message := "engine " + ep.Name + " answered " + resp.Status
	var body openai.ErrorBody
	if json.Unmarshal(raw, &body) == nil && body.Error.Message != "" {
		message += ": " + body.Error.Message
	}
	switch {
	case resp.StatusCode == http.StatusGone || strings.HasPrefix(body.Error.Code, kvCodePrefix):
		return fault.New(fault.NotFound, message)
	case body.Error.Code == codeWrongRole:
		return fault.New(fault.EndpointRefused, message)
	case resp.StatusCode == http.StatusBadRequest, resp.StatusCode == http.StatusUnprocessableEntity,
		resp.StatusCode == http.StatusRequestEntityTooLarge:
		return fault.New(fault.BadRequest, message)
	case resp.StatusCode == http.StatusNotFound, resp.StatusCode == http.StatusTooManyRequests,
		resp.StatusCode == http.StatusServiceUnavailable:
		return fault.New(fault.EndpointRefused, message)
	default:
		return fault.New(fault.EndpointFailed, message).WithOutcome(openai.Unknown)
	}
}
