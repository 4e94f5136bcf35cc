// Package clientlimit bounds what untrusted clients of an HTTP/1.1 listener may take: the size and the parsing cost of request heads, for
// each connection and in sum, the time that a head may take, and the number of connections. A Listener examines each head before the
// http.Server behind it parses a byte of it.
package clientlimit

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// MaxHeadBytes is the largest limit of a request head.
	MaxHeadBytes = 1 << 20
	// targetBytes is added to the limit of a head, so that header lines of the full legal size leave room for the request line.
	targetBytes = 1 << 10
	// newConnectionGrace is how long a connection without a request is spared while others are idle, unless more than the maximum divided by
	// unusedDivisor have had none: many silent clients at once must not close the idle connections of ordinary callers.
	newConnectionGrace = time.Second
	unusedDivisor      = 4
	// logInterval is the shortest time between two log lines of a listener.
	logInterval = 10 * time.Second
	// writeTimeout limits a write for which the handler sets no deadline.
	writeTimeout = 10 * time.Second
)

// Limits are the limits of one connection.
type Limits struct {
	HeadBytes int64
	// HeadTimeout limits the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// IdleTimeout limits the time before the first byte of a head.
	IdleTimeout time.Duration
}

// reason says why a client was refused or its connection closed. It is part of the name of a counter.
type reason string

const (
	headTooLarge   reason = "head_too_large"
	headTimeout    reason = "head_timeout"
	headMalformed  reason = "head_malformed"
	bodyMalformed  reason = "body_malformed"
	budgetRefused  reason = "head_memory"
	budgetClosed   reason = "closed_for_head_memory"
	connectionFull reason = "connections"
	idleClosed     reason = "closed_for_connection"
)

var reasons = []reason{headTooLarge, headTimeout, headMalformed, bodyMalformed, budgetRefused, budgetClosed, connectionFull, idleClosed}

// Options configure a Listener.
type Options struct {
	// Name is the name of the listener in metrics and log lines.
	Name string
	// Limits returns the limits in force. They apply to a connection from its next head on.
	Limits func() Limits
	// Budget is the memory for heads, which several listeners may share.
	Budget *Budget
	// MaxConnections is the number of connections at which a new one replaces one that waits for a request.
	MaxConnections int
	Metrics        metrics.Registry
	Logger         *log.Logger
}

// Listener is a net.Listener for one http.Server, which Configure prepares.
type Listener struct {
	net.Listener
	options  Options
	counters map[reason]metrics.Counter
	// loggedAt is the time of the last log line in Unix nanoseconds, unlogged the number of events since.
	loggedAt, unlogged atomic.Int64

	mu    sync.Mutex
	count int
	// unused holds the connections that have had no request, idle those between two requests, longest waiting first.
	unused, idle list.List
}

// Listen wraps a listener.
func Listen(l net.Listener, o Options) *Listener {
	out := &Listener{Listener: l, options: o, counters: map[reason]metrics.Counter{}}
	for _, r := range reasons {
		out.counters[r] = metrics.GetOrRegisterCounter("clients.refused;listener="+o.Name+";reason="+string(r), o.Metrics)
	}
	return out
}

// Accept implements net.Listener. At the maximum of connections, it closes one that waits for a request, or refuses the new one if all are
// being served.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: accepted, listener: l}
		if l.admit(c) {
			return c, nil
		}
		l.record(connectionFull)
		c.answer(unavailable)
		_ = accepted.Close()
	}
}

// admit adds a connection.
func (l *Listener) admit(c *conn) bool {
	l.mu.Lock()
	full := l.count >= l.options.MaxConnections
	var victim *conn
	if full {
		victim = l.longestWaiting()
		l.removeLocked(victim)
	}
	if !full || victim != nil {
		l.count++
		c.counted = true
		l.waitLocked(c, &l.unused)
	}
	l.mu.Unlock()
	if victim != nil {
		l.record(idleClosed)
		victim.abort()
	}
	return !full || victim != nil
}

// longestWaiting returns the connection that is closed first: the oldest without a request if it is older than newConnectionGrace or there
// are many of them, else the longest idle one, else the oldest without a request. It returns nil if all connections are being served.
func (l *Listener) longestWaiting() *conn {
	unused, idle := front(&l.unused), front(&l.idle)
	many := l.unused.Len() > l.options.MaxConnections/unusedDivisor
	if unused != nil && (idle == nil || many || time.Since(unused.waitingSince) > newConnectionGrace) {
		return unused
	}
	return idle
}

func front(l *list.List) *conn {
	if e := l.Front(); e != nil {
		return e.Value.(*conn)
	}
	return nil
}

// waitLocked marks a connection as waiting for a request. l.mu must be held.
func (l *Listener) waitLocked(c *conn, in *list.List) {
	c.waitingSince = time.Now()
	c.waitingIn, c.element = in, in.PushBack(c)
}

// wait marks a connection as idle after a request.
func (l *Listener) wait(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.counted && c.element == nil {
		l.waitLocked(c, &l.idle)
	}
}

// serve marks a connection as being served. It returns false if the connection has been closed for another one.
func (l *Listener) serve(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopWaitingLocked(c)
	return c.counted
}

func (l *Listener) stopWaitingLocked(c *conn) {
	if c.element != nil {
		c.waitingIn.Remove(c.element)
		c.element = nil
	}
}

// remove removes a connection that is closed.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *Listener) removeLocked(c *conn) {
	if c == nil || !c.counted {
		return
	}
	l.stopWaitingLocked(c)
	c.counted = false
	l.count--
}

// closeLargest closes the connection that holds the most memory for an incomplete head, other than c. It returns false if there is none.
func (l *Listener) closeLargest(c *conn) bool {
	l.mu.Lock()
	var victim *conn
	var most int64
	for _, waiting := range []*list.List{&l.unused, &l.idle} {
		for e := waiting.Front(); e != nil; e = e.Next() {
			other := e.Value.(*conn)
			if held := other.held.Load(); other != c && held > most {
				victim, most = other, held
			}
		}
	}
	l.removeLocked(victim)
	l.mu.Unlock()
	if victim == nil {
		return false
	}
	l.record(budgetClosed)
	victim.abort()
	return true
}

// record counts a client that was refused or whose connection was closed, and logs it if the last line is long ago.
func (l *Listener) record(r reason) {
	l.counters[r].Inc(1)
	l.unlogged.Add(1)
	now, last := time.Now().UnixNano(), l.loggedAt.Load()
	if now-last < int64(logInterval) || !l.loggedAt.CompareAndSwap(last, now) || l.options.Logger == nil {
		return
	}
	l.options.Logger.Warn().Str("event", "clients.refused").Str("listener", l.options.Name).Str("reason", string(r)).
		Int64("count", l.unlogged.Swap(0)).Msg("clients are beyond the limits; the counters clients.refused tell which")
}
