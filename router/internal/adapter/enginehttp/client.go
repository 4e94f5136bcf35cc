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
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Options holds the time limits of calls. Zero values select the defaults.
type Options struct {
	// ConnectTimeout bounds the time to open a connection.
	ConnectTimeout time.Duration
	// PrefillTimeout bounds a whole prefill call, including the time in the engine's queue.
	PrefillTimeout time.Duration
	// FirstTokenTimeout bounds the time to the first chunk of a decode: KV transfer, queueing and the first step.
	FirstTokenTimeout time.Duration
	// ProgressTimeout bounds the time between two chunks of a stream.
	ProgressTimeout time.Duration
	// ProbeInterval is the wait for a response before the engine is asked over another connection whether it knows the
	// attempt, and the time between two such probes.
	ProbeInterval time.Duration
	// ManagementTimeout bounds one management call.
	ManagementTimeout time.Duration
}

// Default time limits. Those for the first chunk and for progress are many times the duration of a transfer and of a
// decode step, so that an engine under load is not treated as failed.
const (
	defaultConnectTimeout    = 500 * time.Millisecond
	defaultPrefillTimeout    = 30 * time.Second
	defaultFirstTokenTimeout = 3 * time.Second
	defaultProgressTimeout   = 3 * time.Second
	defaultProbeInterval     = time.Second
	defaultManagementTimeout = time.Second

	keepAlivePeriod = 5 * time.Second
	keepAliveProbes = 3
	// Idle management connections are closed earlier than those of inference calls, so that polls and cancels soon stop
	// using a silent connection.
	inferenceIdleTimeout       = 30 * time.Second
	managementIdleTimeout      = 3 * time.Second
	inferenceIdleConnsPerHost  = 64
	managementIdleConnsPerHost = 2

	maxResponseBytes  = 8 << 20
	maxErrorBodyBytes = 64 << 10
	userAgent         = "tanagerwood"
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

// SilentConnection identifies the error to packages that do not import this one.
func (e *SilentConnectionError) SilentConnection() bool { return true }

// Client implements port.Engine.
type Client struct {
	opts               Options
	inference          *http.Client
	inferenceTransport *http.Transport
	management         *http.Client
	// managementTransport is separate from inferenceTransport, so that long calls never delay a cancel.
	managementTransport *http.Transport
	memory              *membudget.Budget
}

var _ port.Engine = (*Client)(nil)

// New returns a client whose requests carry the log's clock in a header.
func New(opts Options, log *event.Log) *Client {
	opts = opts.withDefaults()
	c := &Client{opts: opts}
	c.inferenceTransport = newTransport(opts, inferenceIdleTimeout, inferenceIdleConnsPerHost)
	c.managementTransport = newTransport(opts, managementIdleTimeout, managementIdleConnsPerHost)
	c.inference = &http.Client{Transport: log.Transport(h1.Strict(c.inferenceTransport)), CheckRedirect: refuseRedirect}
	c.management = &http.Client{Transport: log.Transport(h1.Strict(c.managementTransport)), CheckRedirect: refuseRedirect, Timeout: opts.ManagementTimeout}
	return c
}

// LimitMemory has answers take their memory out of a budget while they are read. It must be called before the first call.
func (c *Client) LimitMemory(b *membudget.Budget) { c.memory = b }

// readAll reads an answer.
func (c *Client) readAll(body io.Reader, limit int64) ([]byte, error) {
	held := c.memory.Open()
	defer held.Close()
	return membudget.ReadAll(body, limit, &held)
}

func newTransport(opts Options, idleTimeout time.Duration, maxIdlePerHost int) *http.Transport {
	dialer := &net.Dialer{
		Timeout: opts.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: keepAliveProbes,
		},
	}
	return &http.Transport{
		MaxResponseHeaderBytes: h1.MaxUncountedHeadBytes,
		DialContext:            h1.DetectResets(dialer.DialContext),
		MaxIdleConnsPerHost:    maxIdlePerHost,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
	}
}

// refuseRedirect prevents a redirect from sending a request to a host that is not an endpoint.
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
	timer := time.AfterFunc(c.opts.PrefillTimeout, func() { cancel(&SilentConnectionError{Waited: c.opts.PrefillTimeout}) })
	defer timer.Stop()
	resp, err := c.send(ctx, cancel, ep, call, body)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	raw, err := c.readAll(resp.Body, maxResponseBytes)
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
	timer := time.AfterFunc(c.opts.FirstTokenTimeout, func() { cancel(&SilentConnectionError{Waited: c.opts.FirstTokenTimeout}) })
	resp, err := c.send(ctx, cancel, ep, call, body)
	timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	return newStream(ctx, cancel, c, resp.Body), nil
}

// send posts a call and returns the response if its status is 200. Until the response arrives, it probes the engine over
// another connection.
func (c *Client) send(ctx context.Context, cancel context.CancelCauseFunc, ep port.Endpoint, call port.EngineCall, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := c.newRequest(traced, http.MethodPost, ep, call.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set(openai.RequestIDHeader, call.Extension.RequestID)
	responded := make(chan struct{})
	go c.probe(ctx, cancel, responded, ep, call.Extension.RequestID)
	resp, err := c.inference.Do(req)
	close(responded)
	if err != nil {
		return nil, c.transportError(ctx, err, connected.Load())
	}
	if resp.StatusCode != http.StatusOK {
		defer resp.Body.Close()
		return nil, c.statusError(resp, ep)
	}
	return resp, nil
}

// newRequest builds a request that carries only headers set by the router.
func (c *Client) newRequest(ctx context.Context, method string, ep port.Endpoint, path string, body []byte) (*http.Request, error) {
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

// probe polls the engine for the attempt until the call has a response. If the attempt is missing in two consecutive
// polls, the connection has lost the call or its response, and probe cancels the call, which closes the connection. The
// second poll allows for a response that is still in transit.
func (c *Client) probe(ctx context.Context, cancel context.CancelCauseFunc, responded <-chan struct{}, ep port.Endpoint, attempt string) {
	ticker := time.NewTicker(c.opts.ProbeInterval)
	defer ticker.Stop()
	missingCount := 0
	for waited := c.opts.ProbeInterval; ; waited += c.opts.ProbeInterval {
		select {
		case <-responded:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		list, err := c.Requests(ctx, ep)
		if err != nil || containsAttempt(list, attempt) {
			missingCount = 0
			continue
		}
		missingCount++
		if missingCount == 2 {
			cancel(&SilentConnectionError{Waited: waited})
			return
		}
	}
}

func containsAttempt(list engine.RequestList, attempt string) bool {
	for _, r := range list.Requests {
		if r.ID == attempt {
			return true
		}
	}
	return false
}

// transportError converts a connection error into a *fault.Error. If no connection was obtained, nothing was sent. After a
// silent connection it closes the idle ones as well, because they may be as old; the next attempt opens a new one.
func (c *Client) transportError(ctx context.Context, err error, connected bool) error {
	cause := context.Cause(ctx)
	var silent *SilentConnectionError
	if errors.As(cause, &silent) {
		c.inferenceTransport.CloseIdleConnections()
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
	// kvCodePrefix is the prefix of the error codes for a KV cache of the prefill that could not be obtained.
	kvCodePrefix = "kv_"
	// codeWrongRole means that the engine's role has changed since the instance list was read. The request itself is valid.
	codeWrongRole = "wrong_role"
)

// statusError converts a response with a status other than 200 into a *fault.Error. Engines reject a request before they
// run any of it, except with a 5xx status other than 503.
func (c *Client) statusError(resp *http.Response, ep port.Endpoint) error {
	raw, err := c.readAll(resp.Body, maxErrorBodyBytes)
	if errors.Is(err, h1.ErrInvalidResponse) {
		return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the answer of "+ep.Name+" is not valid")
	}
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
