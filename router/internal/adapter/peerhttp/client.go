// Package peerhttp sends and receives the messages between router instances: JSON over HTTP on the peer port,
// authenticated by a bearer token that all instances share.
package peerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

// Timeouts holds the timeout of a call for each kind of message. A call that times out closes its connection, so that a
// connection on which nothing arrives any more fails only one call.
type Timeouts struct {
	Heartbeat time.Duration
	Confirm   time.Duration
	Removal   time.Duration
	Snapshot  time.Duration
	Loan      time.Duration
	LoanDone  time.Duration
	Reserve   time.Duration
	Release   time.Duration
	Inflight  time.Duration
	Claims    time.Duration
}

// DefaultTimeouts returns the timeouts given on the design page. Where it gives none, the timeout is one period of the
// loop that sends the message.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Heartbeat: 500 * time.Millisecond,
		Confirm:   700 * time.Millisecond, // includes the time in which the peer reads the platform
		Removal:   500 * time.Millisecond,
		Snapshot:  2 * time.Second,
		Loan:      50 * time.Millisecond,
		LoanDone:  500 * time.Millisecond,
		Reserve:   50 * time.Millisecond,
		Release:   500 * time.Millisecond,
		Inflight:  time.Second,
		Claims:    500 * time.Millisecond,
	}
}

const (
	maxIdleConnsPerPeer = 8
	idleConnTimeout     = 90 * time.Second
	dialTimeout         = time.Second
	keepAlivePeriod     = 5 * time.Second
)

// Client sends messages to peers over keep-alive connections.
type Client struct {
	authorization string
	timeouts      Timeouts
	http          *http.Client
	memory        *membudget.Budget
}

// LimitMemory has replies take their memory out of a budget while they are read. It must be called before the first call.
func (c *Client) LimitMemory(b *membudget.Budget) { c.memory = b }

var _ port.Peers = (*Client)(nil)

// NewTransport returns the transport for peer connections.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return &http.Transport{
		MaxResponseHeaderBytes: h1.MaxUncountedHeadBytes,
		DialContext:            h1.DetectResets(dialer.DialContext),
		MaxIdleConns:           0, // no limit, so that every peer has a pooled connection at any fleet size
		MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
	}
}

// NewClient returns a client. Every message carries the log's clock in a header; base is usually NewTransport().
func NewClient(token string, timeouts Timeouts, log *event.Log, base http.RoundTripper) *Client {
	return &Client{
		authorization: bearerPrefix + token,
		timeouts:      timeouts,
		http:          &http.Client{Transport: log.Transport(h1.Strict(base))},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Heartbeat implements port.Peers.
func (c *Client) Heartbeat(ctx context.Context, address string, m peer.Heartbeat) (peer.Heartbeat, error) {
	return call[peer.Heartbeat](ctx, c, c.timeouts.Heartbeat, address, peer.PathHeartbeat, m)
}

// Confirm implements port.Peers.
func (c *Client) Confirm(ctx context.Context, address string, m peer.ConfirmRequest) (peer.ConfirmReply, error) {
	return call[peer.ConfirmReply](ctx, c, c.timeouts.Confirm, address, peer.PathConfirm, m)
}

// AgreeRemoval implements port.Peers.
func (c *Client) AgreeRemoval(ctx context.Context, address string, m peer.RemovalRequest) (peer.RemovalReply, error) {
	return call[peer.RemovalReply](ctx, c, c.timeouts.Removal, address, peer.PathAgreeRemoval, m)
}

// Snapshot implements port.Peers.
func (c *Client) Snapshot(ctx context.Context, address string) (peer.Snapshot, error) {
	return call[peer.Snapshot](ctx, c, c.timeouts.Snapshot, address, peer.PathSnapshot, nil)
}

// Loan implements port.Peers.
func (c *Client) Loan(ctx context.Context, address string, m peer.LoanRequest) (peer.LoanReply, error) {
	return call[peer.LoanReply](ctx, c, c.timeouts.Loan, address, peer.PathLoan, m)
}

// LoanDone implements port.Peers.
func (c *Client) LoanDone(ctx context.Context, address string, m peer.LoanDone) error {
	_, err := call[emptyReply](ctx, c, c.timeouts.LoanDone, address, peer.PathLoanDone, m)
	return err
}

// Reserve implements port.Peers.
func (c *Client) Reserve(ctx context.Context, address string, m peer.ReserveRequest) (peer.ReserveReply, error) {
	return call[peer.ReserveReply](ctx, c, c.timeouts.Reserve, address, peer.PathReserve, m)
}

// Release implements port.Peers.
func (c *Client) Release(ctx context.Context, address string, m peer.ReleaseRequest) error {
	_, err := call[emptyReply](ctx, c, c.timeouts.Release, address, peer.PathRelease, m)
	return err
}

// Inflight implements port.Peers.
func (c *Client) Inflight(ctx context.Context, address string, m peer.InflightRequest) (peer.InflightReply, error) {
	return call[peer.InflightReply](ctx, c, c.timeouts.Inflight, address, peer.PathInflight, m)
}

// Claims implements port.Peers.
func (c *Client) Claims(ctx context.Context, address string, m peer.ClaimsRequest) (peer.ClaimsReply, error) {
	return call[peer.ClaimsReply](ctx, c, c.timeouts.Claims, address, peer.PathClaims, m)
}

// call sends m as JSON in a POST, or sends a GET if m is nil, and decodes the reply.
func call[R any](ctx context.Context, c *Client, timeout time.Duration, address, path string, m any) (R, error) {
	var reply R
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.newRequest(ctx, address+path, m)
	if err != nil {
		return reply, fault.Wrap(err, fault.Internal, openai.NotRun, "message to peer "+address+" cannot be built; check the peer address")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply, unreachableError(ctx, err, address, path)
	}
	defer resp.Body.Close()
	held := c.memory.Open()
	defer held.Close()
	body, err := membudget.ReadAll(resp.Body, maxReplyBytes+1, &held)
	if err != nil {
		return reply, unreachableError(ctx, err, address, path)
	}
	return reply, decodeReply(resp.StatusCode, body, address+path, &reply)
}

func (c *Client) newRequest(ctx context.Context, url string, m any) (*http.Request, error) {
	method, body := http.MethodGet, []byte(nil)
	if m != nil {
		encoded, err := json.Marshal(m)
		if err != nil {
			return nil, err
		}
		method, body = http.MethodPost, encoded
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", c.authorization)
	req.Header["User-Agent"] = nil // suppresses the default value, which would add bytes to every message
	return req, nil
}

// decodeReply decodes the body of a successful response into reply and converts any other status into a *fault.Error.
func decodeReply(status int, body []byte, url string, reply any) error {
	if len(body) > maxReplyBytes {
		return fault.New(fault.TooLarge, "reply of peer "+url+" exceeds the size limit").WithOutcome(openai.Unknown)
	}
	switch status {
	case http.StatusNoContent:
		return nil
	case http.StatusOK:
		if err := json.Unmarshal(body, reply); err != nil {
			return fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "reply of peer "+url+" is malformed; check that the address is a peer port")
		}
		return nil
	}
	var problem peer.Problem
	_ = json.Unmarshal(body, &problem) // a body in another format leaves the message empty
	message := fmt.Sprintf("peer %s answered %d: %s", url, status, problem.Message)
	return &fault.Error{Kind: faultKind(status), Outcome: problem.Outcome, Message: message}
}

func faultKind(status int) fault.Kind {
	switch status {
	case http.StatusBadRequest:
		return fault.BadRequest
	case http.StatusUnauthorized:
		return fault.Unauthorized
	case http.StatusNotFound:
		return fault.NotFound
	case http.StatusRequestEntityTooLarge:
		return fault.TooLarge
	default:
		return fault.EndpointFailed
	}
}

func unreachableError(ctx context.Context, err error, address, path string) error {
	kind := fault.EndpointFailed
	if ctx.Err() != nil {
		kind = fault.Timeout
	}
	return fault.Wrap(err, kind, openai.Unknown, "peer "+address+" did not answer "+path)
}

// emptyReply is the reply type of messages that are answered without a body.
type emptyReply struct{}
