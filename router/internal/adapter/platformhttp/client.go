// Package platformhttp reaches the platform's object API over HTTP. It never repeats a write: after a lost reply the
// caller reads the object back and decides.
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
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const (
	// defaultTimeout bounds a call. The platform answers in milliseconds; with polls every second, a poll that runs
	// into the timeout still leaves two more within the 5 s of G12.
	defaultTimeout = 1500 * time.Millisecond
	// maxAnswerBytes bounds an answer. A list may hold many objects.
	maxAnswerBytes = 64 << 20
	// idleTimeout closes idle connections, which may have gone silent without either end knowing.
	idleTimeout = 20 * time.Second
	// maxIdleConnections keeps connections for bursts of claims; net/http keeps two by default.
	maxIdleConnections = 32
	// limitedRetryAfter is how long a rate-limited caller should wait; the platform counts calls per second.
	limitedRetryAfter = time.Second
)

// Options configures a client.
type Options struct {
	// BaseURL is the platform's address, such as http://platform:7000.
	BaseURL string
	// Token is the bearer token.
	Token string
	// Timeout bounds each call; 1.5 s if zero.
	Timeout time.Duration
	// Events stamps calls with the hybrid logical clock; nil sends none.
	Events *event.Log
}

// VersionConflictError is the cause of a fault.Conflict error.
type VersionConflictError struct {
	// CurrentVersion is the object's version; 0 if it does not exist.
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
	// instances is the newest instance list, for answers that it has not changed.
	instances atomic.Pointer[instanceList]
}

// instanceList is an answer that is never changed.
type instanceList struct {
	tag       string
	instances []platform.Instance
}

var _ port.Platform = (*Client)(nil)

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	base := http.DefaultTransport.(*http.Transport).Clone()
	base.IdleConnTimeout = idleTimeout
	base.MaxIdleConnsPerHost = maxIdleConnections
	base.Proxy = nil // the platform is reached directly; proxy variables of the environment do not apply
	var transport http.RoundTripper = base
	if o.Events != nil {
		transport = o.Events.Transport(base)
	}
	return &Client{
		url:     strings.TrimSuffix(o.BaseURL, "/"),
		token:   o.Token,
		timeout: o.Timeout,
		base:    base,
		http:    &http.Client{Transport: transport, CheckRedirect: keepRedirect},
	}
}

// keepRedirect makes a redirect the answer: following it would send a write twice and the token elsewhere.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Get implements port.Platform.
func (c *Client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, _, err := c.read(ctx, kind, name, "")
	return o, err
}

// GetNewer implements port.Platform.
func (c *Client) GetNewer(ctx context.Context, kind platform.Kind, name string, version uint64) (platform.Object, bool, error) {
	return c.read(ctx, kind, name, quote(version))
}

func (c *Client) read(ctx context.Context, kind platform.Kind, name, noneMatch string) (platform.Object, bool, error) {
	var o platform.Object
	status, err := c.call(ctx, request{method: http.MethodGet, path: objectPath(kind, name), noneMatch: noneMatch}, &o)
	if err != nil {
		return platform.Object{}, false, err
	}
	return o, status != http.StatusNotModified, nil
}

// List implements port.Platform.
func (c *Client) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	var list platform.List
	_, err := c.call(ctx, request{method: http.MethodGet, path: "/api/v1/" + url.PathEscape(string(kind))}, &list)
	return list, err
}

// Create implements port.Platform.
func (c *Client) Create(ctx context.Context, kind platform.Kind, name string, value json.RawMessage) (uint64, error) {
	return c.write(ctx, request{method: http.MethodPut, path: objectPath(kind, name), noneMatch: "*", body: value})
}

// Replace implements port.Platform.
func (c *Client) Replace(ctx context.Context, kind platform.Kind, name string, version uint64, value json.RawMessage) (uint64, error) {
	return c.write(ctx, request{method: http.MethodPut, path: objectPath(kind, name), match: quote(version), body: value})
}

// Delete implements port.Platform.
func (c *Client) Delete(ctx context.Context, kind platform.Kind, name string, version uint64) error {
	_, err := c.write(ctx, request{method: http.MethodDelete, path: objectPath(kind, name), match: quote(version)})
	return err
}

// Instances implements port.Platform.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	var list platform.InstanceList
	r := request{method: http.MethodGet, path: "/api/v1/instances"}
	known := c.instances.Load()
	if known != nil {
		r.noneMatch = known.tag
	}
	status, tag, err := c.tagged(ctx, r, &list)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified && known != nil {
		return slices.Clone(known.instances), nil
	}
	if tag != "" {
		c.instances.Store(&instanceList{tag: tag, instances: slices.Clone(list.Instances)})
	}
	return list.Instances, nil
}

func (c *Client) write(ctx context.Context, r request) (uint64, error) {
	var o platform.Object
	_, err := c.call(ctx, r, &o)
	return o.Version, err
}

// request is one call of the object API.
type request struct {
	method    string
	path      string
	match     string
	noneMatch string
	body      []byte
}

func (r request) writes() bool { return r.method != http.MethodGet }

func (c *Client) call(ctx context.Context, r request, into any) (int, error) {
	status, _, err := c.tagged(ctx, r, into)
	return status, err
}

// tagged makes one call, decodes a 200 answer and returns its ETag. The error is typed; for a write its outcome is unknown
// once the request may have reached the platform.
func (c *Client) tagged(ctx context.Context, r request, into any) (status int, tag string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// Set from the transport's goroutine. A write before a connection was obtained cannot have taken effect.
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	out, err := http.NewRequestWithContext(ctx, r.method, c.url+r.path, bytes.NewReader(r.body))
	if err != nil {
		return 0, "", fault.Wrap(err, fault.InvalidSettings, openai.NotRun, "the platform's URL is not valid; set TANAGERWOOD_PLATFORM_URL")
	}
	c.setHeader(out.Header, r)
	resp, err := c.http.Do(out)
	if err != nil {
		// If one pooled connection has gone silent, the others may have too; the next call opens a new one.
		c.base.CloseIdleConnections()
		return 0, "", unreachable(err, r, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return 0, "", unreachable(err, r, true)
	}
	if resp.StatusCode == http.StatusNotModified {
		return resp.StatusCode, resp.Header.Get("ETag"), nil
	}
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusCreated {
		return resp.StatusCode, "", refused(resp.StatusCode, body, r)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return 0, "", unreachable(fmt.Errorf("the answer is not valid: %w", err), r, true)
	}
	return resp.StatusCode, resp.Header.Get("ETag"), nil
}

func (c *Client) setHeader(h http.Header, r request) {
	h.Set("Authorization", "Bearer "+c.token)
	if r.match != "" {
		h.Set("If-Match", r.match)
	}
	if r.noneMatch != "" {
		h.Set("If-None-Match", r.noneMatch)
	}
	if r.body != nil {
		h.Set("Content-Type", "application/json")
	}
}

// unreachable classifies a call without an answer.
func unreachable(err error, r request, connected bool) error {
	outcome := openai.NotRun
	message := "the platform does not answer; the state in force is kept, try again when it is back"
	if r.writes() && connected {
		outcome = openai.Unknown
		message = "the platform's reply was lost; read the object back before writing again"
	}
	return fault.Wrap(err, fault.PlatformDown, outcome, message)
}

// refused classifies an answer other than success.
func refused(status int, body []byte, r request) error {
	var p platform.Problem
	_ = json.Unmarshal(body, &p) // an intermediary's error page has no Problem
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
		f := fault.Wrap(cause, fault.PlatformDown, openai.NotRun, "the platform's call rate is used up; try again later")
		return f.WithRetryAfter(limitedRetryAfter)
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.Wrap(cause, fault.PlatformDown, openai.NotRun, "the platform refused the token; set TANAGERWOOD_PLATFORM_TOKEN")
	}
	if status >= http.StatusInternalServerError {
		// An intermediary may answer 502 to 504 after the platform took the write.
		return unreachable(cause, r, true)
	}
	return fault.Wrap(cause, fault.PlatformDown, openai.NotRun, "the platform refused the call; check that TANAGERWOOD_PLATFORM_URL names its API")
}

func objectPath(kind platform.Kind, name string) string {
	return "/api/v1/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(name)
}

func quote(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }
