package clientlimit

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

// scriptedConn is a connection whose client sends input in pieces of a size and then closes its side. It keeps what the server writes.
type scriptedConn struct {
	net.Conn
	piece int
	done  chan struct{}

	mu     sync.Mutex
	input  []byte
	output bytes.Buffer
	once   sync.Once
}

type scriptedAddr struct{}

func (scriptedAddr) Network() string { return "tcp" }
func (scriptedAddr) String() string  { return "script" }

func (c *scriptedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.input) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.piece)], c.input)
	c.input = c.input[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.output.Write(p)
}

func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return nil
}

func (c *scriptedConn) LocalAddr() net.Addr              { return scriptedAddr{} }
func (c *scriptedConn) RemoteAddr() net.Addr             { return scriptedAddr{} }
func (c *scriptedConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// scriptedListener accepts one connection.
type scriptedListener struct {
	conn   chan net.Conn
	closed chan struct{}
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conn:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *scriptedListener) Close() error   { close(l.closed); return nil }
func (l *scriptedListener) Addr() net.Addr { return scriptedAddr{} }

// play serves a scripted connection, and returns the requests that were handled and what was written.
func play(input []byte, piece int, limited bool) (requests []string, output string) {
	c := &scriptedConn{input: input, piece: piece, done: make(chan struct{})}
	raw := &scriptedListener{conn: make(chan net.Conn, 1), closed: make(chan struct{})}
	raw.conn <- c
	var mu sync.Mutex
	server := &http.Server{ErrorLog: log.New(io.Discard, "", 0), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		requests = append(requests, fmt.Sprint(r.Method, r.RequestURI, r.Proto, r.Host, r.Header, len(r.Trailer), string(body), err != nil))
	})}
	var l net.Listener = raw
	if limited {
		limits := func() Limits { return Limits{HeadBytes: 4 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute} }
		own := Listen(raw, Options{Name: "x", Limits: limits, Budget: NewBudget(1 << 30), MaxConnections: 1, Metrics: metrics.NewRegistry()})
		own.Configure(server)
		l = own
	}
	go func() { _ = server.Serve(l) }()
	<-c.done
	_ = server.Close()
	mu.Lock()
	defer mu.Unlock()
	return requests, c.output.String()
}

// FuzzFraming guards against heads and bodies whose ends the reader sees elsewhere than the server: the server must handle the same
// requests as without the reader, up to one that the reader refuses.
func FuzzFraming(f *testing.F) {
	get, post := "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "POST /b HTTP/1.1\r\nHost: h\r\n"
	for _, input := range []string{
		get, get + get + get, "GET / HTTP/1.0\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n" + get,
		post + "Content-Length: 3\r\n\r\nabc" + get, post + "Content-Length: 3\r\n\r\nabc\r\n" + get, post + "Content-Length: 3\r\n\r\nabc\r\n\r\n" + get,
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + get, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" + get,
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n" + get,
		post + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n" + get, post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\nC: d\r\n\r\n" + get,
		post + "Transfer-Encoding: chunked\r\n\r\n3 \t\r\nabc\r\n0\r\nA: b\n\n" + get, post + "Transfer-Encoding: chunked\r\n\r\n0\r\n\n" + get + get,
		post + "Transfer-Encoding: chunked\r\n\r\n0000000000000003\r\nabc\r\n00000000000000000\r\n\r\n" + get,
		post + "Transfer-Encoding:\r\n chunked\r\n\r\n0\r\n\r\n" + get, post + "Transfer-Encoding: identity\r\n\r\n" + get, post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + get,
		"GET / HTTP/1.1\r\nHost: h\r\nA:\r\n \r\n\t\r\nB: c\r\n\r\n" + get, "GET / HTTP/1.1\r\nHost: h\r\n \r\n\r\n" + get, "GET / HTTP/1.1\r\nHost: h\r\r\n\r\n" + get,
		"\r\n" + get, "\r\n\r\n\r\n\r\n" + get, "\n\n\n\n\n" + get, post + "Content-Length: 0\r\n\r\n\r\r\n\n" + get, post + "\r\n\r\n" + get, post + "\r\n\n\n\n\n" + get,
		"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n" + get, "OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab" + get, "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + get,
		post + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get, post + "Expect: x\r\n\r\n" + get, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + get,
		"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + get, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get, "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get,
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 2000) + "\r\n" + get, "GET /" + strings.Repeat("a", 6000) + " HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a: b\r\n", 680) + "\r\n" + get,
	} {
		f.Add([]byte(input), 1)
		f.Add([]byte(input), 7)
		f.Add([]byte(input), 1<<20)
	}
	f.Fuzz(func(t *testing.T, input []byte, piece int) {
		piece = max(1, piece)
		want, plain := play(input, piece, false)
		got, output := play(input, piece, true)
		if len(got) > len(want) {
			t.Fatalf("handled %q, without the reader %q", got, want)
		}
		for i := range got {
			if got[i] != want[i] && !strings.HasSuffix(got[i], "true") {
				t.Fatalf("request %d: %s, without the reader %s", i, got[i], want[i])
			}
		}
		refused := strings.Contains(output, "HTTP/1.1 431") || strings.Contains(output, "HTTP/1.1 400")
		if len(got) < len(want) && !refused && (len(got) == 0 || !strings.HasSuffix(got[len(got)-1], "true")) {
			t.Fatalf("handled %d of %d requests, wrote %q instead of %q", len(got), len(want), output, plain)
		}
	})
}
