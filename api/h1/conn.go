// Package h1 is a client for HTTP/1.1 that shows what net/http's Transport hides: whether a byte of a request can have
// reached the peer, and whether a connection may carry another request. It never repeats a request.
package h1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readBufferBytes = 8 << 10
	// defaultIdle is how long a connection is reused if the peer does not say; common servers keep them for 5 s or more.
	defaultIdle = 4 * time.Second
	// MaxHeadBytes bounds the head of an answer. A faulty peer may send one without end.
	MaxHeadBytes = 64 << 10
	// idleMargin is how long before the peer's announced timeout a connection is given up.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headLeft is how many bytes of the head of an answer may still be read; it is not used while headUnbounded is set.
	headLeft      int
	headUnbounded bool
	// idleLimit is how long the peer keeps the connection without a request.
	idleLimit time.Duration
	idleSince time.Time
	closeOnce sync.Once
	onClose   func()
}

func newConn(c net.Conn, onClose func()) *conn {
	cn := &conn{Conn: c, idleLimit: defaultIdle, onClose: onClose, headUnbounded: true}
	cn.reader = bufio.NewReaderSize(cn, readBufferBytes)
	return cn
}

// ErrHeadTooLong says that the head of an answer exceeds the limit. The request may have been carried out.
var ErrHeadTooLong = fmt.Errorf("h1: the head of the answer has more than %d bytes", MaxHeadBytes)

// limitHead bounds what is read until unlimitHead.
func (c *conn) limitHead() { c.headLeft, c.headUnbounded = MaxHeadBytes, false }

func (c *conn) unlimitHead() { c.headUnbounded = true }

// Read implements io.Reader within the limit of heads. One goroutine reads a connection at a time.
func (c *conn) Read(p []byte) (int, error) {
	if c.headUnbounded {
		return c.Conn.Read(p)
	}
	if c.headLeft <= 0 {
		return 0, ErrHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}

// Close closes the connection once.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.onClose()
	})
	return err
}

// usable reports whether an idle connection may carry another request: it is young enough, and the peer has neither
// closed it nor sent bytes that belong to no request.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) > c.idleLimit-idleMargin || c.reader.Buffered() > 0 {
		return false
	}
	return !c.readable()
}

// readable reports whether bytes, the end or an error wait on the connection.
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

// learnIdleLimit reads the peer's announced idle timeout.
func (c *conn) learnIdleLimit(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds > 0 {
			c.idleLimit = time.Duration(seconds) * time.Second
		}
	}
}
