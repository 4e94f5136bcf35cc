package clientlimit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	testHeadBytes = 8 << 10
	// testTimeout ends a test that hangs.
	testTimeout = 20 * time.Second
)

// fixture is a server behind a limited listener.
type fixture struct {
	t        *testing.T
	listener *Listener
	limits   *atomic.Pointer[Limits]
}

func start(t *testing.T, o Options, handler http.HandlerFunc) *fixture {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, limits: new(atomic.Pointer[Limits])}
	f.limits.Store(&Limits{HeadBytes: testHeadBytes, HeadTimeout: testTimeout, IdleTimeout: testTimeout})
	o.Name, o.Limits, o.Metrics = "test", func() Limits { return *f.limits.Load() }, metrics.NewRegistry()
	if o.Budget == nil {
		o.Budget = NewBudget(1 << 30)
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = 10
	}
	f.listener = Listen(tcp, o)
	server := &http.Server{Handler: handler}
	f.listener.Configure(server)
	go func() { _ = server.Serve(f.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

// awaitIdle waits until n connections are idle, which the server reports after it has written the answer.
func (f *fixture) awaitIdle(n int) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for range ticker.C {
		f.listener.mu.Lock()
		idle := f.listener.idle.Len()
		f.listener.mu.Unlock()
		if idle == n {
			return
		}
	}
}

// client is a connection of a test.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (f *fixture) dial() *client {
	f.t.Helper()
	c, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, f.t, bufio.NewReader(c)}
}

func (c *client) send(text string) { _, _ = io.WriteString(c, text) }

// status reads an answer and returns its status, or 0 if the connection is closed.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (c *client) expect(what string, status int) {
	c.t.Helper()
	if got := c.status(); got != status {
		c.t.Errorf("%s: status %d, not %d", what, got, status)
	}
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func withLines(line string, bytes int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, bytes/len(line)) + "\r\n"
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

// Guards against heads beyond the limit that are parsed, and heads of the full legal size that are refused.
func TestBoundsHeads(t *testing.T) {
	f := start(t, Options{Budget: NewBudget(1)}, echo)
	for what, request := range map[string]struct {
		text   string
		status int
	}{
		"ordinary":         {get, 200},
		"full legal size":  {withLines("a:\n", testHeadBytes), 200},
		"over the limit":   {withLines("a: b\r\n", testHeadBytes+3*targetBytes), 431},
		"without an end":   {strings.Repeat("a: b\r\n", testHeadBytes), 431},
		"one long line":    {withLines("a: "+strings.Repeat("b", 2*testHeadBytes)+"\r\n", 3*testHeadBytes), 431},
		"only empty lines": {strings.Repeat("\r\n", 100), 400},
	} {
		c := f.dial()
		c.send(request.text)
		c.expect(what, request.status)
		c.Close()
	}
}

// Guards against limits of a configuration that hold for new connections only.
func TestAppliesNewLimitsToOpenConnections(t *testing.T) {
	f := start(t, Options{}, echo)
	c := f.dial()
	c.send(withLines("a: b\r\n", 4<<10))
	c.expect("before", 200)
	f.limits.Store(&Limits{HeadBytes: 1 << 10, HeadTimeout: testTimeout, IdleTimeout: testTimeout})
	c.send(withLines("a: b\r\n", 4<<10))
	c.expect("after", 431)
}

// Guards against heads that are complete and run although the memory for heads is used up, and against ordinary requests that are refused then.
func TestRefusesCostlyHeadsWhileTheBudgetIsExhausted(t *testing.T) {
	entered, leave := make(chan struct{}), make(chan struct{})
	f := start(t, Options{Budget: NewBudget(headCost(testHeadBytes, testHeadBytes/3))}, func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Wait") != "" {
			close(entered)
			<-leave
		}
	})
	costly := withLines("a:\n", testHeadBytes)
	holder := f.dial()
	holder.send(strings.Replace(costly, "\r\n", "\r\nX-Wait: 1\r\n", 1))
	<-entered
	second := f.dial()
	second.send(costly)
	second.expect("second costly head", 503)
	ordinary := f.dial()
	ordinary.send(get)
	ordinary.expect("ordinary head", 200)
	close(leave)
	holder.expect("first costly head", 200)
	holder.send(get)
	holder.expect("next request", 200)
	third := f.dial()
	third.send(costly)
	third.expect("costly head afterwards", 200)
	if used := f.listener.options.Budget.Used(); used < 0 {
		t.Error("used", used)
	}
}

// Guards against refusing new connections, or closing a connection that is being served, while others wait for nothing.
func TestReplacesTheLongestWaitingConnection(t *testing.T) {
	entered, leave := make(chan struct{}, 2), make(chan struct{})
	f := start(t, Options{MaxConnections: 2}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-leave
		}
	})
	idle, served := f.dial(), f.dial()
	idle.send(get)
	idle.expect("first request", 200)
	f.awaitIdle(1)
	wait := strings.Replace(get, "/", "/wait", 1)
	served.send(wait)
	<-entered
	third := f.dial()
	third.send(wait)
	<-entered
	idle.expect("the idle connection", 0)
	fourth := f.dial()
	fourth.expect("all are being served", 503)
	close(leave)
	served.expect("served", 200)
	third.expect("third", 200)
	f.awaitIdle(2)
	fifth := f.dial()
	fifth.send(get)
	fifth.expect("afterwards", 200)
}

// Guards against silent clients that close the idle connections of ordinary callers.
func TestKeepsIdleConnectionsWhileManyAreSilent(t *testing.T) {
	f := start(t, Options{MaxConnections: 8}, echo)
	idle := f.dial()
	idle.send(get)
	idle.expect("first request", 200)
	f.awaitIdle(1)
	for range 20 {
		f.dial()
	}
	last := f.dial()
	last.send(get)
	last.expect("new connection", 200)
	idle.send(get)
	idle.expect("idle connection", 200)
}

// Guards against slow heads and silent connections that are never closed.
func TestClosesSlowAndSilentConnections(t *testing.T) {
	f := start(t, Options{}, echo)
	f.limits.Store(&Limits{HeadBytes: testHeadBytes, HeadTimeout: 30 * time.Millisecond, IdleTimeout: 60 * time.Millisecond})
	silent, slow, used := f.dial(), f.dial(), f.dial()
	slow.send("GET / HTTP/1.1\r\n")
	used.send(get)
	used.expect("request", 200)
	for what, c := range map[string]*client{"silent": silent, "slow": slow, "idle": used} {
		c.expect(what, 0)
	}
	if n := f.listener.counters[headTimeout].Count(); n != 1 {
		t.Error("timeouts", n)
	}
}

// Guards against requests whose bodies or successors are lost, and against callers whose disconnect is not noticed.
func TestKeepsTheServersBehaviour(t *testing.T) {
	gone := make(chan struct{})
	f := start(t, Options{}, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/gone":
			<-r.Context().Done()
			close(gone)
		case "/hijack":
			conn, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			line, _ := rw.ReadString('\n')
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: ", len(line), "\r\n\r\n", line)
			conn.Close()
		default:
			echo(w, r)
		}
	})
	c := f.dial()
	body := bytes.Repeat([]byte("x"), 100<<10)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n\r\n" + string(body) + get + get)
	for range 3 {
		c.expect("pipelined", 200)
	}
	c.send("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	c.expect("expect", 100)
	c.send("ab")
	c.expect("continued", 200)
	c.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n" + get)
	c.expect("chunks", 200)
	c.expect("after chunks", 200)
	h := f.dial()
	h.send("GET /hijack HTTP/1.1\r\nHost: h\r\n\r\nline\n")
	h.expect("hijacked", 200)
	g := f.dial()
	g.send(strings.Replace(get, "/", "/gone", 1))
	g.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	select {
	case <-gone:
	case <-ctx.Done():
		t.Error("the disconnect was not noticed")
	}
}

// Benchmark compares an ordinary request on a kept connection with and without the reader.
func Benchmark(b *testing.B) {
	head := "GET /look/a HTTP/1.1\r\nHost: h.example\r\nUser-Agent: x\r\nX-Request-Id: 0123456789abcdef\r\nX-Deadline-Ms: 2000\r\n" +
		"Authorization: Bearer key\r\nAccept: */*\r\nAccept-Encoding: gzip\r\nX-Token-Counts: 200,20\r\n\r\n"
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint("limited=", limited), func(b *testing.B) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
			l := tcp
			if limited {
				limits := Limits{HeadBytes: 16 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute}
				own := Listen(tcp, Options{Limits: func() Limits { return limits }, Budget: NewBudget(1 << 20), MaxConnections: 10, Metrics: metrics.NewRegistry()})
				own.Configure(server)
				l = own
			}
			go func() { _ = server.Serve(l) }()
			defer server.Close()
			c, err := net.Dial("tcp", tcp.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			answer := make([]byte, 1<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, head); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
