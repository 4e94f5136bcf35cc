package h1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tanagerwood.dev/api/deadpeer"
	"tanagerwood.dev/api/membudget"
)

// Errors of requests. If an error wraps neither, it is unknown whether the peer has received the request.
var (
	// ErrNotSent means that no byte of the request can have reached the peer.
	ErrNotSent = errors.New("h1: the request was not sent")
	// ErrTooManyConnections means that the limit of connections to the peer is reached. It wraps ErrNotSent.
	ErrTooManyConnections = fmt.Errorf("%w: all connections to the peer are in use", ErrNotSent)
)

// Options configure a Client.
type Options struct {
	// DialTimeout limits how long establishing a connection may take.
	DialTimeout time.Duration
	// SilenceTimeout is the time without a response of the peer to what was sent, or to probes, after which a connection is closed. A peer
	// that responds and reads nothing is limited by the contexts of the requests.
	SilenceTimeout time.Duration
	// MaxIdle is the largest number of idle connections that are kept for each peer.
	MaxIdle int
}

// Client sends requests over a pool of persistent connections. It is safe for concurrent use.
type Client struct {
	options Options
	dial    DialFunc
	memory  *membudget.Budget

	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	idle []*conn
	open int
}

// NewClient returns a Client without open connections.
func NewClient(o Options) *Client {
	dial := deadpeer.New(deadpeer.Options{Silence: o.SilenceTimeout}).Dialer(o.DialTimeout)
	return &Client{options: o, dial: DetectResets(dial), peers: map[string]*peer{}}
}

// LimitMemory has the heads of responses take their memory out of a budget. It must be called before the first request.
func (c *Client) LimitMemory(b *membudget.Budget) { c.memory = b }

// Request is a request in the form in which it is sent.
type Request struct {
	Method string
	// Target is the request target, byte for byte.
	Target string
	Host   string
	// Header must not contain Host, Content-Length, Transfer-Encoding or Connection.
	Header http.Header
	Body   []byte
	// ID identifies the request among its repetitions; it may be empty. A request is not sent over a connection that has carried one
	// with the same ID, because a faulty peer may send an earlier response again, and that would match.
	ID string
	// NewConnection has the request sent over a new connection, on which no earlier response can arrive.
	NewConnection bool
	// BeforeSend, if it is set, is called when a connection is ready. If it returns an error, nothing is sent, and the request fails with
	// an error that wraps ErrNotSent and that one.
	BeforeSend func() error
	// Match reports whether a response belongs to the request. kept is set if the connection has carried other requests before, whose
	// responses a faulty peer may send again. If Match is nil, the first response is used.
	Match func(resp *http.Response, kept bool) Match
}

// Match is whether a response belongs to a request.
type Match int

const (
	// Belongs means that the response belongs to the request.
	Belongs Match = iota
	// BelongsToOther means that the response belongs to another request. It is skipped.
	BelongsToOther
	// Ambiguous means that the response may belong to the request or to an earlier one. The request fails with ErrNoMatchingResponse.
	Ambiguous
)

// Do sends the request to the address over an idle connection or a new one, and returns when the head of the response is
// read. At most maxConns connections to the address are open at once; zero means no limit. When ctx is done, the connection
// is closed and the body cannot be read further. Closing the body before its end closes the connection, which cancels the
// request at most peers.
func (c *Client) Do(ctx context.Context, address string, maxConns int, r *Request) (*http.Response, error) {
	cn, err := c.acquire(ctx, address, maxConns, r)
	if err != nil {
		return nil, err
	}
	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			cn.memory.Close()
			_ = cn.Close()
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	resp, written, err := exchange(cn, r)
	if err != nil {
		stop()
		cn.memory.Close()
		_ = cn.Close()
		if ctx.Err() != nil {
			err = errors.Join(err, ctx.Err())
		}
		return nil, err
	}
	cn.readIdleTimeout(resp.Header)
	resp.Body = &body{ReadCloser: resp.Body, client: c, address: address, conn: cn, stop: stop, written: written,
		reusable: !resp.Close && resp.ProtoAtLeast(1, 1)}
	return resp, nil
}

func (c *Client) acquire(ctx context.Context, address string, maxConns int, r *Request) (*conn, error) {
	cn, err := c.takeIdle(address, maxConns, r)
	if cn != nil || err != nil {
		return cn, err
	}
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		c.countClosed(address)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	cn = newConn(raw, func() { c.countClosed(address) })
	cn.memory = c.memory.Open()
	return cn, nil
}

// Probe establishes a connection to the address and closes it. It returns the error of the attempt.
func (c *Client) Probe(ctx context.Context, address string) error {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return raw.Close()
}

// takeIdle returns an idle connection that may carry the request. If there is none, it returns nil and counts a new one, which the caller
// must open. An idle connection that may not carry the request is closed if its place is needed.
func (c *Client) takeIdle(address string, maxConns int, r *Request) (*conn, error) {
	c.mu.Lock()
	var dead []*conn
	defer func() {
		c.mu.Unlock()
		for _, cn := range dead {
			_ = cn.Close()
		}
	}()
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	now := time.Now()
	for i := len(p.idle) - 1; i >= 0; i-- {
		cn := p.idle[i]
		usable := cn.usable(now)
		if usable && !cn.mayCarry(r) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if usable {
			return cn, nil
		}
		dead = append(dead, cn)
	}
	if maxConns > 0 && p.open-len(dead) >= maxConns && len(p.idle) > 0 {
		dead = append(dead, p.idle[0])
		p.idle = slices.Delete(p.idle, 0, 1)
	}
	if maxConns > 0 && p.open-len(dead) >= maxConns {
		return nil, ErrTooManyConnections
	}
	p.open++
	return nil, nil
}

// countClosed removes a closed connection from the count of open ones, and the peer's entry if it was the last.
func (c *Client) countClosed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[address]
	p.open--
	if p.open == 0 && len(p.idle) == 0 {
		delete(c.peers, address)
	}
}

func (c *Client) putIdle(address string, cn *conn) {
	cn.idleSince = time.Now()
	c.mu.Lock()
	p := c.peers[address]
	kept := p != nil && len(p.idle) < c.options.MaxIdle
	if kept {
		p.idle = append(p.idle, cn)
	}
	c.mu.Unlock()
	if !kept {
		_ = cn.Close()
	}
}

// CloseIdle closes the idle connections that are not usable any more, for example because the peer's idle timeout is over.
func (c *Client) CloseIdle() {
	now := time.Now()
	var dead []*conn
	c.mu.Lock()
	for _, p := range c.peers {
		p.idle = slices.DeleteFunc(p.idle, func(cn *conn) bool {
			if cn.usable(now) {
				return false
			}
			dead = append(dead, cn)
			return true
		})
	}
	c.mu.Unlock()
	for _, cn := range dead {
		_ = cn.Close()
	}
}

// syncBodyBytes is the largest body that is written before the response is read. Larger bodies are written concurrently,
// because a peer may respond before it has read them.
const syncBodyBytes = 8 << 10

// exchange writes the request and reads the head of the response. The returned channel is closed when the whole body has
// been written.
func exchange(cn *conn, r *Request) (*http.Response, <-chan struct{}, error) {
	kept := cn.recordRequest(r.ID)
	head := appendHead(nil, r)
	written := make(chan struct{})
	if len(r.Body) <= syncBodyBytes {
		n, err := cn.Write(append(head, r.Body...))
		if err != nil {
			return nil, nil, writeError(n, err)
		}
		close(written)
	} else {
		n, err := cn.Write(head)
		if err != nil {
			return nil, nil, writeError(n, err)
		}
		go func() {
			if _, err := cn.Write(r.Body); err == nil {
				close(written)
			}
		}()
	}
	resp, err := readHead(cn, r, kept)
	return resp, written, err
}

func writeError(written int, err error) error {
	if written == 0 {
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return fmt.Errorf("h1: the request was sent in part: %w", err)
}

const (
	// maxSkipped is the largest number of interim responses, and responses to other requests, that are skipped.
	maxSkipped = 8
	// maxSkippedBytes is the body size from which a response is not skipped; the request then fails.
	maxSkippedBytes = 1 << 20
)

// ErrNoMatchingResponse means that the peer sent responses, none of which belongs to the request.
var ErrNoMatchingResponse = errors.New("h1: the peer's answers belong, or may belong, to other requests; the request may have been carried out")

// readHead reads the head of the response. Interim responses and responses to other requests are skipped.
func readHead(cn *conn, r *Request, kept bool) (*http.Response, error) {
	defer cn.unlimitHead()
	cn.beginResponse()
	for range maxSkipped {
		cn.limitHead()
		if err := checkFolding(cn.reader); err != nil {
			return nil, fmt.Errorf("h1: reading the answer: %w", err)
		}
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("h1: reading the answer: %w", markMalformed(err))
		}
		cn.unlimitHead()
		if fieldCount(resp.Header) > maxHeadLines {
			return nil, ErrHeadTooLong
		}
		if isInterim(resp.StatusCode) {
			if err := checkInterim(resp.StatusCode, resp.Header); err != nil {
				return nil, err
			}
			continue
		}
		if err := checkFinal(resp); err != nil {
			return nil, err
		}
		resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
		match := Belongs
		if r.Match != nil {
			match = r.Match(resp, kept)
		}
		switch {
		case match == Belongs:
			return resp, nil
		case match == Ambiguous || resp.Close:
			return nil, ErrNoMatchingResponse
		}
		if _, err := io.CopyN(io.Discard, resp.Body, maxSkippedBytes); err != io.EOF {
			return nil, ErrNoMatchingResponse
		}
	}
	return nil, ErrNoMatchingResponse
}

// fieldCount returns the number of header fields.
func fieldCount(h http.Header) (n int) {
	for _, values := range h {
		n += len(values)
	}
	return n
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method+" "+r.Target+" HTTP/1.1\r\nHost: "+r.Host+"\r\n"...)
	names := make([]string, 0, len(r.Header))
	for name := range r.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range r.Header[name] {
			b = append(b, name+": "+headerValue.Replace(value)+"\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "+strconv.Itoa(len(r.Body))+"\r\n"...)
	}
	return append(b, "\r\n"...)
}

// headerValue replaces line breaks in header values, so that a value cannot add a header or a request.
var headerValue = strings.NewReplacer("\r", " ", "\n", " ")

// body is a response body that returns its connection to the pool on Close if it was read to its end.
type body struct {
	io.ReadCloser
	client   *Client
	address  string
	conn     *conn
	stop     func() bool
	written  <-chan struct{}
	reusable bool
	ended    bool
	done     sync.Once
}

// Read implements io.Reader and notes the end of the body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
	}
	return n, err
}

// Close implements io.Closer. It keeps the connection only if another request can use it, and closes it otherwise.
func (b *body) Close() error {
	b.done.Do(func() {
		b.conn.memory.Close()
		cancelled := !b.stop()
		if cancelled || !b.ended || !b.reusable || !isClosed(b.written) || b.conn.reader.Buffered() > 0 {
			_ = b.conn.Close()
			return
		}
		b.client.putIdle(b.address, b.conn)
	})
	return nil
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// IdleConnections returns the number of idle connections to all peers.
func (c *Client) IdleConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.peers {
		n += len(p.idle)
	}
	return n
}
