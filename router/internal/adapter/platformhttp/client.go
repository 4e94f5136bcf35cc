// Package platformhttp is an HTTP client of the platform's object API. It never retries a write: if the response is lost, the
// caller must read the object back to learn whether the write took effect.
package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/api/progress"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// defaultTimeout limits a call. The platform responds within milliseconds. With one poll a second, a poll that times out
	// leaves time for two more within the 5 s of requirement G12.
	defaultTimeout = 1500 * time.Millisecond
	// maxObjectBytes limits an object, and each response but for lists. Escapes may make an object several times as long as its value.
	maxObjectBytes = 8 * platform.MaxValueBytes
	// idleTimeout closes idle connections, which may be broken without either end having noticed.
	idleTimeout = 20 * time.Second
	// maxIdleConnections allows for bursts of claims; the default of net/http is two connections per host.
	maxIdleConnections = 32
	// rateLimitRetryAfter is the retry delay after a 429; the platform limits calls per second.
	rateLimitRetryAfter = time.Second
)

// Options configures a Client.
type Options struct {
	// BaseURL is the platform's address, such as http://platform:7000.
	BaseURL string
	// Token is the bearer token of each request.
	Token string
	// Timeout limits each call; zero means 1.5 s.
	Timeout time.Duration
	// Events adds hybrid logical clock timestamps to calls; nil disables them.
	Events *event.Log
}

// VersionConflictError is the cause of a fault.Conflict error.
type VersionConflictError struct {
	// CurrentVersion is the stored version of the object, or 0 if the object does not exist.
	CurrentVersion uint64
}

// Error implements error.
func (c *VersionConflictError) Error() string {
	return fmt.Sprintf("the present version is %d", c.CurrentVersion)
}

// Client implements port.Platform.
type Client struct {
	url     string
	token   string
	timeout time.Duration
	base    *http.Transport
	http    *http.Client
	// cachedInstances is the last instance list, which is returned after a 304 response.
	cachedInstances atomic.Pointer[instanceList]
	memory          *membudget.Budget
}

// LimitMemory has responses take their memory out of a budget while they are read. It must be called before the first call.
func (c *Client) LimitMemory(b *membudget.Budget) { c.memory = b }

// instanceList is an immutable instance list with its ETag.
type instanceList struct {
	etag      string
	instances []platform.Instance
}

// New returns a Client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.IdleConnTimeout = idleTimeout
	base.MaxIdleConnsPerHost = maxIdleConnections
	base.DialContext = h1.DetectResets(base.DialContext)
	base.MaxResponseHeaderBytes = h1.MaxUncountedHeadBytes
	base.Proxy = nil // connect directly, ignoring the proxy environment variables
	transport := h1.Strict(base)
	if o.Events != nil {
		transport = o.Events.Transport(transport)
	}
	return &Client{
		url:     strings.TrimSuffix(o.BaseURL, "/"),
		token:   o.Token,
		timeout: o.Timeout,
		base:    base,
		http:    &http.Client{Transport: transport, CheckRedirect: returnRedirect},
	}
}

// returnRedirect returns a redirect as the response. Following it could send a write twice and would send the token to another host.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements port.Platform.
func (c *Client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, _, err := c.read(ctx, kind, name, "")
	return o, err
}

// GetNewer implements port.Platform.
func (c *Client) GetNewer(ctx context.Context, kind platform.Kind, name string, version uint64) (platform.Object, bool, error) {
	return c.read(ctx, kind, name, versionETag(version))
}

func (c *Client) read(ctx context.Context, kind platform.Kind, name, noneMatch string) (platform.Object, bool, error) {
	var o platform.Object
	status, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name), ifNoneMatch: noneMatch}, &o)
	if err != nil {
		return platform.Object{}, false, err
	}
	return o, status != http.StatusNotModified, nil
}

// Create implements port.Platform.
func (c *Client) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (uint64, error) {
	return c.write(ctx, request{method: http.MethodPut, path: objectPath(kind, name), ifNoneMatch: "*", body: value})
}

// Replace implements port.Platform.
func (c *Client) Replace(ctx context.Context, kind platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error) {
	return c.write(ctx, request{method: http.MethodPut, path: objectPath(kind, name), ifMatch: versionETag(version), body: value})
}

// Delete implements port.Platform.
func (c *Client) Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error {
	_, err := c.write(ctx, request{method: http.MethodDelete, path: objectPath(kind, name), ifMatch: versionETag(version)})
	return err
}

func (c *Client) write(ctx context.Context, r request) (uint64, error) {
	var o platform.Object
	_, err := c.call(ctx, r, &o)
	return o.Version, err
}

// request describes one call of the object API.
type request struct {
	method      string
	path        string
	ifMatch     string
	ifNoneMatch string
	body        []byte
	// readList, if it is set, reads the body of a successful response.
	readList func(body io.Reader, held *membudget.Holding) error
}

func (r request) isWrite() bool { return r.method != http.MethodGet }

func (c *Client) call(ctx context.Context, r request, into any) (int, error) {
	status, _, err := c.callWithETag(ctx, r, into)
	return status, err
}

// callWithETag makes one call, decodes a successful response and returns its ETag. Errors are of type *fault.Error; the outcome of a
// write is Unknown if the request may have reached the platform.
func (c *Client) callWithETag(ctx context.Context, r request, into any) (status int, tag string, err error) {
	ctx, arriving, cancel := progress.WithTimeout(ctx, c.timeout, c.timeout, func() {})
	defer cancel()
	// connected is set from a goroutine of the transport. A write that never got a connection cannot have taken effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	out, err := http.NewRequestWithContext(ctx, r.method, c.url+r.path, bytes.NewReader(r.body))
	if err != nil {
		return 0, "", fault.Wrap(err, fault.InvalidSettings, openai.NotRun, "the platform's URL is not valid; set TANAGERWOOD_PLATFORM_URL")
	}
	c.setHeader(out.Header, r)
	resp, err := c.http.Do(out)
	if err != nil {
		// If one pooled connection is broken, the others may be too, so the next call opens a new one.
		c.base.CloseIdleConnections()
		return 0, "", noResponseError(errors.Join(err, context.Cause(ctx)), r, connected.Load())
	}
	defer resp.Body.Close()
	held := c.memory.Open()
	defer held.Close()
	if r.readList != nil && resp.StatusCode == http.StatusOK {
		if err := r.readList(arriving.Reader(resp.Body), &held); err != nil {
			return 0, "", noResponseError(errors.Join(err, context.Cause(ctx)), r, true)
		}
		return resp.StatusCode, resp.Header.Get("ETag"), nil
	}
	body, err := membudget.ReadAll(resp.Body, maxObjectBytes, &held)
	if err != nil {
		return 0, "", noResponseError(errors.Join(err, context.Cause(ctx)), r, true)
	}
	if resp.StatusCode == http.StatusNotModified {
		return resp.StatusCode, resp.Header.Get("ETag"), nil
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return resp.StatusCode, "", statusError(resp.StatusCode, body, r)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return 0, "", noResponseError(fmt.Errorf("the response is not valid JSON: %w", err), r, true)
	}
	return resp.StatusCode, resp.Header.Get("ETag"), nil
}

func (c *Client) setHeader(h http.Header, r request) {
	h.Set("Authorization", "Bearer "+c.token)
	if r.ifMatch != "" {
		h.Set("If-Match", r.ifMatch)
	}
	if r.ifNoneMatch != "" {
		h.Set("If-None-Match", r.ifNoneMatch)
	}
	if r.body != nil {
		h.Set("Content-Type", "application/json")
	}
}

// noResponseError returns the error of a call without a valid response.
func noResponseError(err error, r request, connected bool) error {
	outcome := openai.NotRun
	message := "the platform does not answer; the state in force is kept, try again when it is back"
	if r.isWrite() && connected {
		outcome = openai.Unknown
		message = "the platform's reply was lost; read the object back before writing again"
	}
	return fault.Wrap(err, fault.PlatformUnavailable, outcome, message)
}

// statusError returns the error of an unsuccessful response.
func statusError(status int, body []byte, r request) error {
	var p platform.Problem
	_ = json.Unmarshal(body, &p) // the error page of an intermediary is not a Problem
	cause := fmt.Errorf("%s %s: status %d: %s", r.method, r.path, status, p.Message)
	switch status {
	case http.StatusNotFound:
		return fault.Wrap(cause, fault.NotFound, openai.NotRun, "no such object at the platform")
	case http.StatusPreconditionFailed:
		conflict := errors.Join(cause, &VersionConflictError{CurrentVersion: p.Version})
		return fault.Wrap(conflict, fault.Conflict, openai.NotRun, "another writer changed the object first; read it and try again")
	case http.StatusRequestEntityTooLarge:
		return fault.Wrap(cause, fault.TooLarge, openai.NotRun, "the value exceeds the platform's limit of 1 MB; make it smaller")
	case http.StatusTooManyRequests:
		f := fault.Wrap(cause, fault.PlatformUnavailable, openai.NotRun, "the platform's call rate is used up; try again later")
		return f.WithRetryAfter(rateLimitRetryAfter)
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.Wrap(cause, fault.PlatformUnavailable, openai.NotRun, "the platform refused the token; set TANAGERWOOD_PLATFORM_TOKEN")
	}
	if status >= http.StatusInternalServerError {
		// An intermediary may respond with 502 to 504 after the platform has applied the write.
		return noResponseError(cause, r, true)
	}
	return fault.Wrap(cause, fault.PlatformUnavailable, openai.NotRun, "the platform refused the call; check that TANAGERWOOD_PLATFORM_URL names its API")
}

func objectPath(kind platform.Kind, name string) string {
	return "/api/v1/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func versionETag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
