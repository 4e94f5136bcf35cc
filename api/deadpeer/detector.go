// Package deadpeer closes TCP connections whose peers do not respond, and keeps those whose peers respond but read nothing for a while.
//
// The kernel's TCP_USER_TIMEOUT finds peers that do not acknowledge what was sent. Linux also counts with it the time for which a peer's
// receive window is closed, although the peer answers each probe of it. A Detector therefore looks at connections with unread bytes. It
// lifts the timeout from those whose peers respond, and closes them itself when a peer no longer does, or has paused for too long.
package deadpeer

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// checkInterval is the interval of the checks of connections with unread bytes.
const checkInterval = 250 * time.Millisecond

// Options configure a Detector.
type Options struct {
	// Silence is the time without a response after which a peer counts as dead: to bytes that were sent, to probes of its receive
	// window, or to keep-alive probes.
	Silence time.Duration
	// MaxPause is how long a peer that responds may read nothing, also after the connection was closed on this side; zero means for as long
	// as the connection is open here.
	MaxPause time.Duration
	// MaxLingering is the number of connections that linger after they were closed on this side, until their peers have read all. What others
	// have unread then is left to the kernel, with the timeout Silence.
	MaxLingering int
	// Unread bounds what is held for peers that read nothing; nil means no limit.
	Unread UnreadLimiter
	// OnCut, if it is set, is called for each connection that is cut with unread bytes, which Unread no longer counts by then.
	OnCut func(Cut)
}

// UnreadLimiter bounds the memory that is held for peers that read nothing.
type UnreadLimiter interface {
	// Begin records that a connection holds bytes that its peer does not read, until end is called. cut closes the connection and does
	// not block.
	Begin(bytes int64, cut func()) (end func())
	// Check cuts connections as far as necessary.
	Check()
}

// Reason says why a connection was cut.
type Reason string

// The reasons of cuts.
const (
	// PeerDead means that the peer did not respond.
	PeerDead Reason = "dead"
	// PauseTooLong means that the peer responded, but read nothing for Options.MaxPause.
	PauseTooLong Reason = "paused"
	// HoldsTooMuch means that Options.Unread has cut the connection.
	HoldsTooMuch Reason = "memory"
)

// Cut describes a connection that was cut with unread bytes.
type Cut struct {
	Reason Reason
	Remote net.Addr
	// Unread is the number of bytes that the peer has not acknowledged, and Paused how long it has acknowledged none.
	Unread int
	Paused time.Duration
}

// Detector watches over connections. It is safe for concurrent use.
type Detector struct {
	options Options
	// unsupported is set once the system has turned out not to tell the state of a connection.
	unsupported atomic.Bool

	mu sync.Mutex
	// conns holds the connections that may have unread bytes, lingering is the number of those that are closed.
	conns     map[*conn]struct{}
	lingering int
	scheduled bool
}

// New returns a Detector without connections.
func New(o Options) *Detector { return &Detector{options: o, conns: map[*conn]struct{}{}} }

// Dialer returns a function that establishes connections that the detector watches over.
func (d *Detector) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: KeepAlive(d.options.Silence), Control: control(d.options.Silence)}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.wrap(c), nil
	}
}

// Listen returns a listener whose connections the detector watches over.
func (d *Detector) Listen(ctx context.Context, network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: KeepAlive(d.options.Silence), Control: control(d.options.Silence)}
	l, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &listener{Listener: l, detector: d}, nil
}

// Unread returns the number of connections with unread bytes, closed ones included.
func (d *Detector) Unread() (n int) {
	for _, c := range d.watchedConns() {
		if unread, err := unreadBytes(c.raw); err == nil && unread > 0 {
			n++
		}
	}
	return n
}

// watchedConns returns the connections that may have unread bytes.
func (d *Detector) watchedConns() []*conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.conns))
}

type listener struct {
	net.Listener
	detector *Detector
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.detector.wrap(c), nil
}

// wrap has the detector watch over a connection. One that is not a TCP connection is returned as it is.
func (d *Detector) wrap(c net.Conn) net.Conn {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return c // it is closed
	}
	return &conn{TCPConn: tcp, raw: raw, detector: d}
}

// watch has a connection checked until its peer has acknowledged all bytes.
func (d *Detector) watch(c *conn) {
	if d.unsupported.Load() || c.watched.Swap(true) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
	if !d.scheduled {
		d.scheduled = true
		time.AfterFunc(checkInterval, d.check)
	}
}

// check checks the connections that may have unread bytes, and schedules the next check.
func (d *Detector) check() {
	now := time.Now()
	for _, c := range d.watchedConns() {
		c.watched.Store(false) // a write from here on has the connection watched again
		unread, err := c.check(now)
		if errors.Is(err, errUnsupported) {
			d.unsupported.Store(true)
		}
		if unread {
			c.watched.Store(true)
			continue
		}
		d.forget(c)
	}
	if d.options.Unread != nil {
		d.options.Unread.Check()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scheduled = len(d.conns) > 0; d.scheduled {
		time.AfterFunc(checkInterval, d.check)
	}
}

// forget ends the checks of a connection, unless something was written meanwhile.
func (d *Detector) forget(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.watched.Load() {
		return
	}
	delete(d.conns, c)
	if c.lingering {
		c.lingering = false
		d.lingering--
	}
}

// beginLingering reports whether a connection may stay open until its peer has read all. It is forgotten when that is over.
func (d *Detector) beginLingering(c *conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, watched := d.conns[c]; !watched || d.lingering >= d.options.MaxLingering || d.unsupported.Load() {
		return false
	}
	c.lingering = true
	d.lingering++
	return true
}

// errUnsupported means that the system does not tell the state of a connection.
var errUnsupported = errors.New("deadpeer: the state of a connection is not known")
