package deadpeer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probeIntervalMS is the longest time between two probes of a closed receive window, where the system lets it be set (Linux 6.15). The
// intervals grow beyond that otherwise, and a peer that dies meanwhile is found with the next probe.
const probeIntervalMS = 1000

// holdStepBytes is the number of bytes by which a connection must grow while its peer reads nothing, to be recorded by Options.Unread.
const holdStepBytes = 64 << 10

// conn is a connection that a Detector watches over.
type conn struct {
	*net.TCPConn
	raw      syscall.RawConn
	detector *Detector
	// watched is set while the detector holds the connection, and something was written since the last check or is unread.
	watched atomic.Bool
	// closed is set by Close, abortive if unread bytes are to be dropped then.
	closed, abortive atomic.Bool
	// lifted is set while the connection does not have the timeout for unread bytes.
	lifted atomic.Bool
	// cut is set if Options.Unread has cut the connection.
	cut atomic.Bool
	// lingering is set while the connection is closed and still has unread bytes. The detector's mutex guards it.
	lingering bool

	// Only checks use the following fields. acked is the number of bytes that the peer had acknowledged at progressAt.
	acked      uint64
	progressAt time.Time
	// unansweredAt is when the peer was first found to owe a response, since its last one.
	unansweredAt time.Time
	// held is the number of bytes that Options.Unread has recorded, in parts that releases end.
	held     int
	releases []func()
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.detector.watch(c)
	return c.TCPConn.Write(p)
}

// ReadFrom implements io.ReaderFrom.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	c.detector.watch(c)
	return c.TCPConn.ReadFrom(r)
}

// SetLinger sets the behaviour of Close. With zero, unread bytes are dropped.
func (c *conn) SetLinger(seconds int) error {
	c.abortive.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// Close implements net.Conn. The peer still gets unread bytes, for as long as Options.MaxPause allows if the connection may linger.
func (c *conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.abortive.Load() {
		return c.TCPConn.Close()
	}
	if !c.linger() {
		c.restoreTimeout() // nobody sees to what the kernel holds from here on
		return c.TCPConn.Close()
	}
	_ = c.TCPConn.SetDeadline(time.Unix(1, 0)) // ends reads and writes in progress
	return c.TCPConn.CloseWrite()
}

// linger reports whether the connection stays open until its peer has read all.
func (c *conn) linger() bool {
	if c.detector.options.MaxLingering == 0 {
		return false
	}
	unread, err := unreadBytes(c.raw)
	return err == nil && unread > 0 && c.detector.beginLingering(c)
}

// check looks at what the peer has acknowledged, and reports whether it has left bytes unread. A connection whose peer is dead, or has paused
// for too long, is cut.
func (c *conn) check(now time.Time) (unread bool, err error) {
	waiting, err := unreadBytes(c.raw)
	if err != nil || waiting == 0 {
		c.end()
		return false, c.stateError(err)
	}
	info, err := tcpInfo(c.raw)
	if err != nil {
		c.end()
		return false, c.stateError(err)
	}
	if info.State == 0 {
		c.end()
		return false, errUnsupported
	}
	if info.State == unix.BPF_TCP_CLOSE {
		c.endBroken(waiting, now)
		return false, nil
	}
	if c.progressAt.IsZero() || info.Bytes_acked != c.acked {
		c.acked, c.progressAt, c.unansweredAt = info.Bytes_acked, now, now
		c.resume()
		return true, nil
	}
	return c.checkPause(now, waiting, info), nil
}

// stateError returns the error of a look at the state of the connection. That of a closed one tells nothing of the system.
func (c *conn) stateError(err error) error {
	if err == nil || c.closed.Load() || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return fmt.Errorf("%w: %w", errUnsupported, err)
}

// checkPause checks a connection whose peer has acknowledged nothing since the last check, and reports whether it is still open.
func (c *conn) checkPause(now time.Time, waiting int, info *unix.TCPInfo) (open bool) {
	o := c.detector.options
	// Zero is also the value of a system that does not tell when the peer responded. The timeout is not lifted there.
	sinceResponse, paused := time.Duration(info.Last_ack_recv)*time.Millisecond, now.Sub(c.progressAt)
	if owesResponse := info.Unacked > 0 || info.Probes > 0; !owesResponse || sinceResponse < now.Sub(c.unansweredAt) {
		c.unansweredAt = now
	}
	switch {
	case o.MaxPause > 0 && paused >= o.MaxPause:
		c.closeCut(PauseTooLong, waiting, now)
		return false
	case c.lifted.Load() && sinceResponse >= o.Silence && now.Sub(c.unansweredAt) >= o.Silence/2+checkInterval:
		c.closeCut(PeerDead, waiting, now)
		return false
	case !c.lifted.Load() && sinceResponse > 0 && sinceResponse < paused:
		c.liftTimeout()
	}
	if c.lifted.Load() {
		c.hold(waiting)
	}
	return true
}

// liftTimeout lifts the timeout for unread bytes, because the peer responds.
func (c *conn) liftTimeout() {
	o := c.detector.options
	c.lifted.Store(true)
	var backstop time.Duration // zero means none
	if o.MaxPause > 0 {
		backstop = o.MaxPause + o.Silence
	}
	_ = c.setUserTimeout(backstop)                             // fails only if the connection is closed
	_ = setOption(c.raw, unix.TCP_RTO_MAX_MS, probeIntervalMS) // fails on older systems
}

// restoreTimeout restores the timeout for unread bytes.
func (c *conn) restoreTimeout() {
	if c.lifted.Swap(false) {
		_ = c.setUserTimeout(c.detector.options.Silence) // fails only if the connection is closed
	}
}

func (c *conn) setUserTimeout(d time.Duration) error {
	return setOption(c.raw, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
}

// hold records how much lies unread.
func (c *conn) hold(waiting int) {
	more := waiting - c.held
	if limiter := c.detector.options.Unread; limiter != nil && (c.held == 0 || more >= holdStepBytes) {
		c.held = waiting
		c.releases = append(c.releases, limiter.Begin(int64(more), c.cutForMemory))
	}
}

// cutForMemory closes the connection and drops what its peer has not read. The next check reports it.
func (c *conn) cutForMemory() {
	c.cut.Store(true)
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
}

// resume ends a pause, because the peer reads again or the connection has ended.
func (c *conn) resume() {
	c.restoreTimeout()
	c.release()
}

// release ends what is recorded of unread bytes.
func (c *conn) release() {
	for _, end := range c.releases {
		end()
	}
	c.held, c.releases = 0, nil
}

// end ends the watch over a connection that has no unread bytes, has ended, or whose state is not known.
func (c *conn) end() {
	held := c.held
	c.resume()
	if c.cut.Load() {
		c.report(HoldsTooMuch, held, time.Now())
	}
	c.progressAt = time.Time{}
	if c.closed.Load() {
		_ = c.TCPConn.Close()
	}
}

// endBroken ends the watch over a connection that the kernel has ended. Its user gets the error, unless it has closed the connection.
func (c *conn) endBroken(waiting int, now time.Time) {
	if c.closed.Load() && errors.Is(takeError(c.raw), syscall.ETIMEDOUT) {
		c.release()
		c.report(PeerDead, waiting, now)
	}
	c.end()
}

// closeCut closes a connection and drops what its peer has not read.
func (c *conn) closeCut(reason Reason, waiting int, now time.Time) {
	c.release()
	_ = c.TCPConn.SetLinger(0)
	_ = c.TCPConn.Close()
	c.report(reason, waiting, now)
}

// report reports a cut. The caller has released what is recorded of unread bytes.
func (c *conn) report(reason Reason, waiting int, now time.Time) {
	cut := Cut{Reason: reason, Remote: c.RemoteAddr(), Unread: waiting}
	if !c.progressAt.IsZero() {
		cut.Paused = now.Sub(c.progressAt)
	}
	if f := c.detector.options.OnCut; f != nil {
		f(cut)
	}
}
