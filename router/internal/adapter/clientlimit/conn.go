package clientlimit

import (
	"container/list"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// lingerTimeout and lingerBytes bound what is read after a refusal, so that the answer is not lost in a reset.
	lingerTimeout = 200 * time.Millisecond
	lingerBytes   = 256 << 10
)

// Answers of refusals.
const (
	tooLarge    = "431 Request Header Fields Too Large\r\n"
	badRequest  = "400 Bad Request\r\n"
	unavailable = "503 Service Unavailable\r\nRetry-After: 1\r\n"
)

// errFraming means that the server asks for bytes that do not belong to the request.
var errFraming = errors.New("clientlimit: the server reads beyond the request")

// mode is what the next bytes of a connection belong to.
type mode uint8

const (
	// inHead means that no request is in progress, and passingHead that the head is complete and not all of it has been read.
	inHead mode = iota
	passingHead
	// afterRequest means that the request is complete. The server reads a single byte then, to notice a client that disconnects.
	afterRequest
	inFixedBody
	inChunkedBody
	hijacked
	closed
)

// conn is a connection whose Read returns no byte of a head before the head is complete and its cost is admitted. The server never reads
// concurrently, and it reports the body's length and the end of the request between two reads.
type conn struct {
	net.Conn
	listener *Listener

	mode mode
	// buffer holds bytes that were read ahead, of which the first passed have been returned by Read.
	buffer []byte
	passed int
	scan   headScan
	// readAheadDone is set if the first byte of the buffer, which begins the next head, has been returned by readAhead.
	readAheadDone bool
	// headLeft is the number of bytes of the head that have not been returned, remaining that of the body.
	headLeft  int
	remaining int64
	chunks    chunkScan

	// held is the memory that is taken out of the budget for the head.
	held atomic.Int64
	// refused is set when the connection has got its last answer, writeDeadline when the handler has set one.
	refused, writeDeadline atomic.Bool

	// The listener's mutex guards the following fields.
	counted      bool
	waitingSince time.Time
	waitingIn    *list.List
	element      *list.Element
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	switch c.mode {
	case inHead:
		return c.readHead(p)
	case passingHead:
		return c.passHead(p), nil
	case afterRequest:
		return c.readAhead(p)
	case inFixedBody:
		return c.readFixed(p)
	case inChunkedBody:
		return c.readChunked(p)
	case hijacked:
		return c.readBytes(p)
	}
	return 0, io.EOF
}

// readBytes reads from the buffer, or from the network if it is empty.
func (c *conn) readBytes(p []byte) (int, error) {
	if c.passed == len(c.buffer) {
		return c.Conn.Read(p)
	}
	n := copy(p, c.buffer[c.passed:])
	c.pass(n)
	return n, nil
}

// pass marks bytes of the buffer as returned, and drops the buffer after the last one.
func (c *conn) pass(n int) {
	if c.passed += n; c.passed == len(c.buffer) {
		c.drop()
	}
}

// readAhead returns one byte of the next request, whose head has not been examined; the server keeps the byte until the present request
// has been answered.
func (c *conn) readAhead(p []byte) (int, error) {
	if len(p) > 1 || c.readAheadDone {
		return 0, errFraming
	}
	if c.passed == len(c.buffer) {
		n, err := c.Conn.Read(p)
		if n == 1 {
			c.buffer, c.passed, c.readAheadDone = append(make([]byte, 0, 1), p[0]), 1, true
		}
		return n, err
	}
	c.buffer = c.buffer[c.passed:]
	c.passed, c.readAheadDone = copy(p, c.buffer), true
	return c.passed, nil
}

// readHead reads until a head is complete and admitted, and returns its first bytes.
func (c *conn) readHead(p []byte) (int, error) {
	if len(c.buffer) == 0 {
		n, err := c.readFirst(p)
		if n == 0 || err != nil {
			return 0, err
		}
		if end := c.scan.advance(p[:n]); end == n { // the whole head and nothing else, which needs no buffer
			if err := c.begin(end, c.listener.options.Limits()); err != nil {
				return 0, err
			}
			c.mode = afterRequest
			return n, nil
		}
		c.buffer = append(newBuffer(n+1), p[:n]...)
		c.scan = headScan{}
	} else {
		c.buffer = c.buffer[c.unpassedStart():]
	}
	return c.readParts(p)
}

// readParts completes a head of which the buffer has the beginning.
func (c *conn) readParts(p []byte) (int, error) {
	limits := c.listener.options.Limits()
	_ = c.Conn.SetReadDeadline(time.Now().Add(limits.HeadTimeout)) // fails only if the connection is closed
	for {
		if end := c.scan.advance(c.buffer); end > 0 {
			if err := c.begin(end, limits); err != nil {
				return 0, err
			}
			c.headLeft, c.mode = end-c.passed, passingHead
			return c.passHead(p), nil
		}
		if err := c.readMore(limits); err != nil {
			return 0, err
		}
	}
}

// unpassedStart returns the offset of the next head in the buffer. A byte of it may have been returned by readAhead, which has moved the
// head to the beginning.
func (c *conn) unpassedStart() int {
	if c.readAheadDone {
		return 0
	}
	start := c.passed
	c.passed = 0
	return start
}

// readFirst waits for the first bytes of a head.
func (c *conn) readFirst(p []byte) (int, error) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(c.listener.options.Limits().IdleTimeout))
	return c.Conn.Read(p)
}

// readMore reads more bytes of an incomplete head into the buffer.
func (c *conn) readMore(limits Limits) error {
	limit := int(limits.HeadBytes) + targetBytes
	switch {
	case len(c.buffer) > limit:
		return c.refuse(headTooLarge, tooLarge)
	case c.scan.blank > maxBlankLines:
		return c.refuse(headMalformed, badRequest)
	}
	if len(c.buffer) == cap(c.buffer) {
		larger := newBuffer(cap(c.buffer) + 1)
		if !c.hold(int64(cap(larger))) {
			return c.refuse(budgetRefused, unavailable)
		}
		larger = append(larger, c.buffer...)
		recycleBuffer(c.buffer)
		c.buffer = larger
	}
	n, err := c.Conn.Read(c.buffer[len(c.buffer):cap(c.buffer)])
	c.buffer = c.buffer[:len(c.buffer)+n]
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.listener.record(headTimeout)
	}
	if n > 0 {
		return nil
	}
	c.drop()
	return err
}

// drop gives the buffer back.
func (c *conn) drop() {
	recycleBuffer(c.buffer)
	c.buffer, c.passed = nil, 0
}

// begin admits a complete head, or refuses it.
func (c *conn) begin(end int, limits Limits) error {
	switch {
	case end > int(limits.HeadBytes)+targetBytes:
		return c.refuse(headTooLarge, tooLarge)
	case c.scan.blank > maxBlankLines:
		return c.refuse(headMalformed, badRequest)
	case !c.hold(headCost(max(end, len(c.buffer)), c.scan.lines)):
		return c.refuse(budgetRefused, unavailable)
	case !c.listener.serve(c):
		c.mode = closed
		return net.ErrClosed
	}
	c.scan, c.readAheadDone = headScan{}, false
	return nil
}

// hold sets the memory that the head takes. While the budget is exhausted, it closes connections with incomplete heads.
func (c *conn) hold(bytes int64) bool {
	more := max(0, bytes-allowanceBytes) - c.held.Load()
	for !c.listener.options.Budget.take(more) {
		if !c.listener.closeLargest(c) {
			return false
		}
	}
	c.held.Add(more)
	return true
}

func (c *conn) release() {
	if held := c.held.Swap(0); held != 0 {
		c.listener.options.Budget.take(-held)
	}
}

func (c *conn) passHead(p []byte) int {
	n := copy(p, c.buffer[c.passed:c.passed+c.headLeft])
	if c.headLeft -= n; c.headLeft == 0 {
		c.mode = afterRequest
	}
	c.pass(n)
	return n
}

// setBody is told the length of the present request's body as the server understands it, before anything of the body is read.
func (c *conn) setBody(length int64, chunked bool) {
	switch {
	case chunked:
		c.mode, c.chunks = inChunkedBody, chunkScan{}
	case length > 0:
		c.mode, c.remaining = inFixedBody, length
	}
}

func (c *conn) readFixed(p []byte) (int, error) {
	n, err := c.readBytes(p[:min(int64(len(p)), c.remaining)])
	if c.remaining -= int64(n); c.remaining == 0 {
		c.mode = afterRequest
	}
	return n, err
}

func (c *conn) readChunked(p []byte) (int, error) {
	n, readErr := c.readBytes(p)
	used, done, err := c.chunks.advance(p[:n])
	if err == nil && done && c.chunks.lines > 0 && !c.hold(c.held.Load()+allowanceBytes+headCost(c.chunks.trailer, c.chunks.lines)) {
		err = errChunks
	}
	if err != nil {
		c.listener.record(bodyMalformed)
		c.mode = closed
		return 0, err
	}
	if done {
		c.unread(p[used:n])
		c.mode = afterRequest
	}
	return used, readErr
}

// unread puts bytes back before the buffered ones.
func (c *conn) unread(p []byte) {
	if len(p) > 0 {
		c.buffer, c.passed = append(append([]byte{}, p...), c.buffer[c.passed:]...), 0
	}
}

// finish is told that the request has been answered and that the connection is kept.
func (c *conn) finish() {
	c.release()
	if c.mode != afterRequest { // the server does not keep a connection whose request is not complete
		c.mode = closed
		return
	}
	c.mode = inHead
	c.listener.wait(c)
}

// refuse answers a head that is not passed to the server, so that nothing of its request runs.
func (c *conn) refuse(r reason, answer string) error {
	c.listener.record(r)
	c.mode = closed
	c.answer(answer)
	c.drop()
	c.release()
	c.linger()
	return io.EOF
}

// answer writes the last answer of the connection.
func (c *conn) answer(statusAndHeader string) {
	c.refused.Store(true)
	body := statusAndHeader[:min(len(statusAndHeader), 3)] + "\n"
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+statusAndHeader+"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "+
		strconv.Itoa(len(body))+"\r\n\r\n"+body) // a client that does not take it is disconnected all the same
}

// linger reads what the client still sends, since closing a connection with unread bytes resets it.
func (c *conn) linger() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	var discarded [1 << 10]byte
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(discarded[:])
		if err != nil {
			return
		}
		read += n
	}
}

// Write implements net.Conn. It sets a deadline unless the handler has.
func (c *conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, net.ErrClosed
	}
	if !c.writeDeadline.Load() {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.writeDeadline.Store(!t.IsZero())
	return c.Conn.SetDeadline(t)
}

// CloseWrite closes the writing side of a TCP connection.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return tcp.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets the behaviour of Close on a TCP connection.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.remove(c)
	c.release()
	return c.Conn.Close()
}

// abort closes a connection that the listener has removed. Its reader notices, and the server closes it as well.
func (c *conn) abort() {
	c.release()
	_ = c.SetLinger(0) // frees the kernel's buffers at once
	_ = c.Conn.Close()
}
