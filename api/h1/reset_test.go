package h1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tanagerwood.dev/api/h1"
)

const (
	// uploadBytes is the size of a body that does not fit the buffers of a connection.
	uploadBytes = 16 << 20
	// uploadPause is the time in which the client fills these buffers.
	uploadPause = 5 * time.Millisecond
	// uploads is the number of uploads in which the client's reads and writes meet a reset in different orders.
	uploads = 100
)

// earlyPeer starts a peer that answers each request, without a length, before it has read the body, and then calls end.
func earlyPeer(t *testing.T, end func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart"); err != nil {
					return
				}
				time.Sleep(uploadPause)
				end(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func upload(c *h1.Client, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r := &h1.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: make([]byte, uploadBytes)}
	resp, err := c.Do(ctx, address, 0, r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func reset(c *net.TCPConn) { _ = c.SetLinger(0) } // the connection is closed next

// Guards against an answer without a length that looks complete although its connection was reset, because a write that ran at the same time
// got the error.
func TestReportsResetsDuringUploads(t *testing.T) {
	address := earlyPeer(t, reset)
	c := client()
	for n := range uploads {
		if body, err := upload(c, address); err == nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, h1.ErrNotSent) {
			t.Fatalf("upload %d: body %q, error %v", n, body, err)
		}
	}
}

// Guards against the loss of a whole answer whose peer does not read the rest of the upload: it closes in good order, and then either keeps
// the connection, or resets it.
func TestReturnsEarlyAnswersThatEndInOrder(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
		"kept":  func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Second) },
		"reset": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(uploadPause); reset(c) },
	} {
		address := earlyPeer(t, end)
		c := client()
		for range 3 {
			if body, err := upload(c, address); body != "part" || err != nil {
				t.Errorf("%s: body %q, error %v", name, body, err)
			}
		}
	}
}
