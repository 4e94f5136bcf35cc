package deadpeer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tanagerwood.dev/api/deadpeer"
)

const (
	silence = 2 * time.Second
	// pause is longer than silence.
	pause = 3500 * time.Millisecond
	// found is a bound for the time within which a dead peer is found.
	found = 2 * silence
	// receiveBuffer is small, so that answerBytes close the receive window.
	receiveBuffer = 4 << 10
	answerBytes   = 64 << 10
)

// smallWindow gives sockets a small receive buffer. Accepted sockets inherit it.
func smallWindow(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
}

// accepted returns a connection that a detector has accepted, and its peer.
func accepted(t *testing.T, o deadpeer.Options) (writer, peer net.Conn) {
	t.Helper()
	l, err := deadpeer.New(o).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialer := net.Dialer{Control: smallWindow}
	return connect(t, l, dialer.DialContext)
}

// dialed returns a connection that a detector has established, and its peer.
func dialed(t *testing.T, o deadpeer.Options) (writer, peer net.Conn) {
	t.Helper()
	config := net.ListenConfig{Control: smallWindow}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, writer = connect(t, l, deadpeer.New(o).Dialer(time.Second))
	return writer, peer
}

func connect(t *testing.T, l net.Listener, dial func(ctx context.Context, network, address string) (net.Conn, error)) (accepted, dialed net.Conn) {
	t.Helper()
	dialed, err := dial(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return accepted, dialed
}

// dropPackets has a socket ignore whatever arrives, like one whose machine has no power.
func dropPackets(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
	program := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var failure error
	if err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}); err != nil || failure != nil {
		t.Fatal(err, failure)
	}
}

// Guards against answers and requests whose rest is dropped because the peer, which responds, reads nothing for longer than silence.
func TestKeepsWhatPeersReadAfterAPause(t *testing.T) {
	type connect func(*testing.T, deadpeer.Options) (writer, peer net.Conn)
	for name, c := range map[string]struct {
		connect connect
		options deadpeer.Options
		close   bool
	}{
		"accepted":            {accepted, deadpeer.Options{MaxPause: time.Minute}, false},
		"accepted and closed": {accepted, deadpeer.Options{MaxPause: time.Minute, MaxLingering: 1}, true},
		"dialed":              {dialed, deadpeer.Options{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c.options.Silence = silence
			writer, peer := c.connect(t, c.options)
			sent := bytes.Repeat([]byte("tanager "), answerBytes/8)
			if _, err := writer.Write(sent); err != nil {
				t.Fatal(err)
			}
			if c.close {
				_ = writer.Close()
			}
			time.Sleep(pause)
			received := make([]byte, answerBytes)
			if n, err := io.ReadFull(peer, received); err != nil || !bytes.Equal(received, sent) {
				t.Errorf("%d bytes received of %d: %v", n, answerBytes, err)
			}
		})
	}
}

// Guards against dead peers that are found late, or not at all, because the timeout for unread bytes has been lifted from their connection.
func TestFindsDeadPeers(t *testing.T) {
	for name, diesAfter := range map[string]time.Duration{"at once": 0, "after a pause": pause} {
		for kind, connect := range map[string]func(*testing.T, deadpeer.Options) (net.Conn, net.Conn){"accepted": accepted, "dialed": dialed} {
			t.Run(kind+" "+name, func(t *testing.T) {
				t.Parallel()
				o := deadpeer.Options{Silence: silence}
				if kind == "accepted" {
					o.MaxPause = time.Minute
				}
				writer, peer := connect(t, o)
				if diesAfter == 0 {
					dropPackets(t, peer)
				}
				if _, err := writer.Write(make([]byte, answerBytes)); err != nil {
					t.Fatal(err)
				}
				time.Sleep(diesAfter)
				dropPackets(t, peer)
				_ = writer.SetReadDeadline(time.Now().Add(found))
				_, err := writer.Read(make([]byte, 1))
				if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("the peer was not found dead within %v: %v", found, err)
				}
			})
		}
	}
}

// Guards against peers that hold connections for ever because they respond.
func TestCutsPeersThatPauseForTooLong(t *testing.T) {
	cuts := make(chan deadpeer.Cut, 1)
	writer, _ := accepted(t, deadpeer.Options{Silence: silence, MaxPause: silence, OnCut: func(c deadpeer.Cut) { cuts <- c }})
	if _, err := writer.Write(make([]byte, answerBytes)); err != nil {
		t.Fatal(err)
	}
	select {
	case c := <-cuts:
		if c.Reason != deadpeer.PauseTooLong || c.Unread == 0 || c.Paused < silence {
			t.Errorf("%+v", c)
		}
	case <-time.After(time.Minute):
		t.Error("not cut")
	}
}

// limiter is an UnreadLimiter that cuts all connections at the next check once they hold more than limit.
type limiter struct {
	limit int64

	mu   sync.Mutex
	cuts []func()
	held int64
}

func (l *limiter) Begin(bytes int64, cut func()) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts, l.held = append(l.cuts, cut), l.held+bytes
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held -= bytes
	}
}

func (l *limiter) Check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held <= l.limit {
		return
	}
	for _, cut := range l.cuts {
		cut()
	}
	l.cuts = nil
}

// heldBytes returns the number of bytes that are recorded.
func (l *limiter) heldBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Guards against unread answers that are held without limit, since they lie in the kernel's buffers: also those that grow while their peer
// reads nothing, and those of connections that are closed on this side. Whoever is told of a cut finds its bytes released.
func TestUnreadBytesCountToALimit(t *testing.T) {
	for name, c := range map[string]struct {
		limit int64
		then  func(net.Conn) error
	}{
		"closed":  {0, net.Conn.Close},
		"growing": {2 * answerBytes, writeAnswers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			type report struct {
				cut  deadpeer.Cut
				held int64
			}
			reports := make(chan report, 1)
			l := &limiter{limit: c.limit}
			onCut := func(c deadpeer.Cut) { reports <- report{c, l.heldBytes()} }
			writer, _ := accepted(t, deadpeer.Options{Silence: silence, MaxPause: time.Minute, MaxLingering: 1, Unread: l, OnCut: onCut})
			if _, err := writer.Write(make([]byte, answerBytes)); err != nil {
				t.Fatal(err)
			}
			if err := c.then(writer); err != nil {
				t.Fatal(err)
			}
			select {
			case r := <-reports:
				if r.cut.Reason != deadpeer.HoldsTooMuch || int64(r.cut.Unread) <= c.limit || r.held != 0 {
					t.Errorf("%+v, %d bytes are still held", r.cut, r.held)
				}
			case <-time.After(time.Minute):
				t.Error("not cut")
			}
		})
	}
}

// writeAnswers writes some more answers while the peer reads nothing.
func writeAnswers(c net.Conn) error {
	for range 4 {
		time.Sleep(silence / 4)
		if _, err := c.Write(make([]byte, answerBytes)); err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	return nil
}
