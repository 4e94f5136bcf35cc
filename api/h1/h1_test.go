package h1_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tanagerwood.dev/api/h1"
)

// scriptedPeer starts a peer that sends the given raw responses to the requests of each connection in order, and repeats
// the last one. With closeAfter it closes the connection after the first.
func scriptedPeer(t *testing.T, closeAfter bool, answers ...string) (address string, connections func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	accepted := make(chan struct{}, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			go serve(c, closeAfter, answers)
		}
	}()
	return l.Addr().String(), func() int { return len(accepted) }
}

func serve(c net.Conn, closeAfter bool, answers []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answers[min(i, len(answers)-1)]); err != nil || closeAfter {
			return
		}
	}
}

func client() *h1.Client {
	return h1.NewClient(h1.Options{DialTimeout: time.Second, SilenceTimeout: time.Second, MaxIdle: 4})
}

// callTimeout ends a call whose response never ends.
const callTimeout = 10 * time.Second

func get(c *h1.Client, address string, r *h1.Request) (int, string, error) {
	r.Method, r.Target, r.Host = http.MethodGet, "/a?b", "h"
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.Do(ctx, address, 0, r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"

// Guards against a new connection for each request: endpoints accept only few connections, and opening one is expensive.
func TestReusesConnections(t *testing.T) {
	address, connections := scriptedPeer(t, false, okResponse)
	c := client()
	for range 3 {
		if status, body, err := get(c, address, &h1.Request{}); status != 200 || body != "ok" || err != nil {
			t.Fatal(status, body, err)
		}
	}
	if n := connections(); n != 1 {
		t.Fatalf("%d connections for 3 requests", n)
	}
}

// Guards against extra bytes after a response, which would be read as the response to the next request.
func TestDropsConnectionsWithExtraBytes(t *testing.T) {
	address, connections := scriptedPeer(t, false, okResponse+"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
	c := client()
	for range 2 {
		if _, body, err := get(c, address, &h1.Request{}); body != "ok" || err != nil {
			t.Fatal(body, err)
		}
	}
	if n := connections(); n != 2 {
		t.Fatalf("%d connections, want a new one for each request", n)
	}
}

// Guards against a late response to another request that is taken for the response to this one.
func TestSkipsAnswersToOtherRequests(t *testing.T) {
	late := "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate"
	address, _ := scriptedPeer(t, false, "HTTP/1.1 103 Early Hints\r\n\r\n"+late+okResponse)
	mine := func(resp *http.Response, _ bool) h1.Match {
		if resp.Header.Get("X-Id") == "mine" {
			return h1.Belongs
		}
		return h1.BelongsToOther
	}
	if _, body, err := get(client(), address, &h1.Request{Match: mine}); body != "ok" || err != nil {
		t.Fatal(body, err)
	}
	address, _ = scriptedPeer(t, true, late)
	if _, _, err := get(client(), address, &h1.Request{Match: mine}); err == nil || errors.Is(err, h1.ErrNotSent) {
		t.Fatal("an answer to another request alone must fail, as one that may have run:", err)
	}
}

// Guards against a truncated response that looks complete.
func TestReportsBrokenAnswers(t *testing.T) {
	for name, answer := range map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
		"short chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no answer":    "garbage\r\n\r\n",
	} {
		address, _ := scriptedPeer(t, true, answer)
		if _, _, err := get(client(), address, &h1.Request{}); err == nil || errors.Is(err, h1.ErrNotSent) {
			t.Error(name, err)
		}
	}
	address, _ := scriptedPeer(t, true, "HTTP/1.1 200 OK\r\n\r\nall of it")
	if _, body, err := get(client(), address, &h1.Request{}); body != "all of it" || err != nil {
		t.Error("a body without a length ends with its connection:", body, err)
	}
}

// Guards against a peer that closes inside the head of its answer and whose answer looks complete, with an empty or a short body.
func TestReportsHeadsThatBreakOff(t *testing.T) {
	for name, answer := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Id: mine\r\nContent-Length: 12\r\n\r\n",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: mine\r\n\r\n",
		"neither": "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Id: mine\r\n\r\n",
		"interim": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for length := range len(answer) {
			address, _ := scriptedPeer(t, true, answer[:length])
			if status, body, err := get(client(), address, &h1.Request{}); err == nil || errors.Is(err, h1.ErrNotSent) {
				t.Errorf("%s, %d bytes of the head: status %d, body %q, error %v", name, length, status, body, err)
			}
		}
	}
}

// Guards against errors that report a request as not sent although it was, and the reverse.
func TestReportsUnsentRequests(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	if _, _, err := get(client(), address, &h1.Request{}); !errors.Is(err, h1.ErrNotSent) {
		t.Error("a refused connection:", err)
	}
}

// Guards against the use of an idle connection that the peer has closed, on which the next request would be lost.
func TestDiscardsClosedIdleConnections(t *testing.T) {
	address, connections := scriptedPeer(t, true, okResponse)
	c := client()
	for i := range 5 {
		if _, body, err := get(c, address, &h1.Request{}); body != "ok" || err != nil {
			t.Fatal(i, body, err)
		}
		waitClosed(t, c)
	}
	if n := connections(); n != 5 {
		t.Fatal(n, "connections")
	}
}

// waitClosed waits until the client has seen the peer close the idle connection.
func waitClosed(t *testing.T, c *h1.Client) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for c.IdleConnections() > 0 {
		c.CloseIdle()
		if time.Now().After(deadline) {
			t.Fatal("the closed connection is still kept")
		}
	}
}

// Guards against more connections to an endpoint than this instance's share.
func TestLimitsConnections(t *testing.T) {
	address, _ := scriptedPeer(t, false, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok")
	c := client()
	resp, err := c.Do(context.Background(), address, 1, &h1.Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Do(context.Background(), address, 1, &h1.Request{Method: "GET", Target: "/", Host: "h"})
	if !errors.Is(err, h1.ErrTooManyConnections) || !errors.Is(err, h1.ErrNotSent) {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	resp, err = c.Do(context.Background(), address, 1, &h1.Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		t.Fatal("the closed connection must count no more:", err)
	}
	_ = resp.Body.Close()
}

// Guards against requests that keep running at an endpoint after their caller has disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, c) // ends when the client closes
		close(closed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(10*time.Millisecond, cancel)
	if _, err := client().Do(ctx, l.Addr().String(), 0, &h1.Request{Method: "GET", Target: "/", Host: "h"}); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against header values that inject another header or request.
func TestEscapesHeaderValues(t *testing.T) {
	requests := make(chan *http.Request, 2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			requests <- r
			_, _ = io.WriteString(c, okResponse)
		}
	}()
	resp, err := client().Do(context.Background(), l.Addr().String(), 0, &h1.Request{
		Method: "POST", Target: "/a%2Fb//c?d", Host: "h.example", Header: http.Header{"X-A": {"1\r\nX-B: 2", "3"}},
		Body: []byte(strings.Repeat("x", 100_000)),
	})
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	r := <-requests
	if r.RequestURI != "/a%2Fb//c?d" || r.Host != "h.example" || r.ContentLength != 100_000 || r.Header.Get("X-B") != "" || len(r.Header["X-A"]) != 2 {
		t.Fatal(r.RequestURI, r.Host, r.ContentLength, r.Header)
	}
}
