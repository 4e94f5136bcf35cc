// Package h1 is an HTTP/1.1 client that exposes what net/http's Transport hides: whether any byte of a request can have
// reached the peer, and whether a connection can be used for another request. It never retries a request.
package h1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tanagerwood.dev/api/membudget"
)

const (
	readBufferBytes = 8 << 10
	// defaultIdleTimeout applies if the peer announces no idle timeout; common servers keep idle connections for 5 s or more.
	defaultIdleTimeout = 4 * time.Second
	// MaxHeadBytes limits the size of a response head, maxHeadLines the number of its lines, each of which takes more memory than its
	// bytes. A faulty peer may send a head without end.
	MaxHeadBytes = 64 << 10
	maxHeadLines = 512
	// MaxUncountedHeadBytes is the limit for clients of net/http, which do not count lines.
	MaxUncountedHeadBytes = 8 << 10
	// headMemoryFactor is the memory that a head takes per byte: its text, and the header fields that are made of it.
	headMemoryFactor = 2
	// idleTimeoutMargin is how long before the peer's announced timeout a connection is no longer used.
	idleTimeoutMargin = 500 * time.Millisecond
)

// conn is a client connection that carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headLeft is how many more bytes of a response head may be read; it has no effect while headUnlimited is set.
	headLeft      int
	headUnlimited bool
	// headLines is the number of lines since the last empty one, inLine is set if the last line that was read has bytes.
	headLines int
	inLine    bool
	// memory is what the response takes.
	memory membudget.Holding
	// idleTimeout is how long the peer keeps the connection open without a request.
	idleTimeout time.Duration
	idleSince   time.Time
	// carried holds the IDs of the latest requests, at most maxCarriedIDs; hasCarried is set after the first request.
	carried    []string
	hasCarried bool
	closeOnce  sync.Once
	onClose    func()
}

func newConn(c net.Conn, onClose func()) *conn {
	cn := &conn{Conn: c, idleTimeout: defaultIdleTimeout, onClose: onClose, headUnlimited: true}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// ErrHeadTooLong means that the head of a response exceeds its limits. The request may have been executed.
var ErrHeadTooLong = fmt.Errorf("h1: the head of the answer has more than %d bytes or %d lines", MaxHeadBytes, maxHeadLines)

// limitHead allows at most MaxHeadBytes and about maxHeadLines to be read until unlimitHead is called.
func (c *conn) limitHead() { c.headLeft, c.headUnlimited = MaxHeadBytes, false }

func (c *conn) unlimitHead() { c.headUnlimited = true }

// Read implements io.Reader and applies the limit of limitHead. Only one goroutine may read a connection at a time.
func (c *conn) Read(p []byte) (int, error) {
	if c.headUnlimited {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 || c.headLines > maxHeadLines {
		return 0, ErrHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	if memoryErr := c.memory.Resize(int64(headMemoryFactor * (MaxHeadBytes - c.headLeft))); memoryErr != nil {
		return 0, memoryErr
	}
	c.countHeadLines(p[:n])
	return n, err
}

// countHeadLines counts the lines of a head. An empty line ends it. What follows may be a body, and is counted as if it were another head:
// no more is read then, unless it is one.
func (c *conn) countHeadLines(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && c.inLine:
			c.headLines++
			c.inLine = false
		case b == '\n':
			c.headLines = 0
		case b != '\r':
			c.inLine = true
		}
	}
}

// beginResponse prepares for the response to the next request.
func (c *conn) beginResponse() { c.headLines, c.inLine = 0, false }

// Close closes the connection and calls onClose; further calls have no effect.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.onClose()
	})
	return err
}

// maxCarriedIDs is the number of requests whose IDs a connection remembers. Repetitions of a request follow within its timeout.
const maxCarriedIDs = 64

// recordRequest records that the connection carries a request, and reports whether it has carried others before.
func (c *conn) recordRequest(id string) (kept bool) {
	kept, c.hasCarried = c.hasCarried, true
	if id == "" {
		return kept
	}
	if len(c.carried) == maxCarriedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
	return kept
}

// mayCarry reports whether a request may be sent over the connection, which is idle.
func (c *conn) mayCarry(r *Request) bool {
	return !r.NewConnection && (r.ID == "" || !slices.Contains(c.carried, r.ID))
}

// usable reports whether an idle connection can be used for another request: it has not been idle for too long, and the
// peer has neither closed it nor sent bytes that belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleTimeout-idleTimeoutMargin || c.reader.Buffered() > 0 {
		return false
	}
	return !c.readable()
}

// readable reports whether unread bytes, an end of file or an error are pending on the connection.
func (c *conn) readable() bool {
	source, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = recvErr != syscall.EAGAIN && recvErr != syscall.EWOULDBLOCK
		return true
	})
	return err != nil || waiting
}

// readIdleTimeout sets idleTimeout from the Keep-Alive header, if the peer announces a timeout there.
func (c *conn) readIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			c.idleTimeout = time.Duration(seconds) * time.Second
		}
	}
}
