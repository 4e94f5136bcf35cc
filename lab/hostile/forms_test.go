package hostile

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// configuredHeadBytes is max_header_bytes of the configuration, and largeHeadBytes a head beyond it.
	configuredHeadBytes = 16 << 10
	largeHeadBytes      = 60 << 10
	// crowdSize is the number of connections of a crowd, and repeats how often each sends its bytes.
	crowdSize = 160
	repeats   = 30
	// silentCrowdSize exceeds the descriptors of the process.
	silentCrowdSize = 700
	// stepTimeout ends a read or a write that the process does not serve.
	stepTimeout = 5 * time.Second
)

// form is a kind of client. Each of its connections sends opening and then repeats each, until the process closes the connection; it
// connects again as often as reconnects says.
type form struct {
	name          string
	size          int
	opening, each string
	repeats       int
	reconnects    int
	// inTurn sends each piece on all connections before the next one.
	inTurn bool
	// unread leaves the answers in the connection.
	unread bool
}

func requestLine(t target) string { return "GET " + t.path + " HTTP/1.1\r\nHost: h.example\r\n" }

// lines returns numbered lines made of the format, n bytes in sum at most.
func lines(format string, n int) string {
	var b strings.Builder
	for i := 0; format != ""; i++ {
		line := format
		if strings.Contains(format, "%") {
			line = fmt.Sprintf(format, i)
		}
		if b.Len()+len(line) > n {
			return b.String()
		}
		b.WriteString(line)
	}
	return ""
}

// head returns a request with lines that make it n bytes long at most.
func head(t target, format string, n int) string {
	start := requestLine(t)
	return start + lines(format, n-len(start)-len("\r\n")) + "\r\n"
}

// forms returns the kinds of clients. Their numbers and sizes are fixed and do not depend on the process.
func forms(t target) []form {
	chunked := strings.Replace(requestLine(t), "GET", "POST", 1) + "Transfer-Encoding: chunked\r\n\r\n"
	out := []form{
		{name: "short lines within the limit", each: head(t, "%x:\r\n", configuredHeadBytes)},
		{name: "short lines beyond the limit", each: head(t, "%x:\r\n", largeHeadBytes)},
		{name: "lines of one name", each: head(t, "a:b\r\n", largeHeadBytes)},
		{name: "lines without colons", each: head(t, "a%x\r\n", largeHeadBytes)},
		{name: "names with spaces", each: head(t, "a %x:b\r\n", largeHeadBytes)},
		{name: "continuation lines", each: head(t, "a%x:\r\n b\r\n", largeHeadBytes)},
		{name: "empty names", each: head(t, ":b\r\n", largeHeadBytes)},
		{name: "control bytes", each: head(t, "a%x:\x01\x00\r\n", largeHeadBytes)},
		{name: "a long line", each: requestLine(t) + "a: " + strings.Repeat("b", largeHeadBytes) + "\r\n\r\n"},
		{name: "a long target", each: "GET " + t.path + "?" + strings.Repeat("b", largeHeadBytes) + " HTTP/1.1\r\nHost: h.example\r\n\r\n"},
		{name: "heads of a megabyte", each: head(t, "%x:b\r\n", 1<<20), reconnects: 4},
		{name: "unterminated heads", opening: requestLine(t) + lines("%x:\r\n", largeHeadBytes), inTurn: true},
		{name: "heads that grow slowly", opening: requestLine(t), each: lines("a%x:b\r\n", 600), repeats: 100, inTurn: true},
		{name: "empty lines", each: strings.Repeat("\r\n", 4<<10)},
		{name: "long chunk extensions", opening: chunked, each: "1;" + strings.Repeat("e", 3500) + "\r\nx\r\n"},
		{name: "long trailers", opening: chunked + "1\r\nx\r\n0\r\n", each: lines("%x:\r\n", largeHeadBytes)},
		{name: "pipelined requests", each: strings.Repeat(head(t, "%x:\r\n", 4<<10), 20)},
		{name: "no bytes", size: silentCrowdSize, inTurn: true},
		{name: "unread answers", each: strings.Repeat(head(t, "", 100), 50), unread: true},
	}
	for i := range out {
		if out[i].size == 0 {
			out[i].size = crowdSize
		}
		if out[i].repeats == 0 {
			out[i].repeats = repeats
		}
		if out[i].reconnects == 0 {
			out[i].reconnects = repeats
		}
	}
	return out
}

// crowd is a set of connections of one form.
type crowd struct {
	form    form
	address string

	mu    sync.Mutex
	conns []net.Conn
}

func (c *crowd) dial() net.Conn {
	conn, err := net.DialTimeout("tcp", c.address, stepTimeout)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if !c.form.unread && !c.form.inTurn {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	return conn
}

func send(conn net.Conn, text string) bool {
	if conn == nil {
		return false
	}
	_ = conn.SetWriteDeadline(time.Now().Add(stepTimeout))
	_, err := io.WriteString(conn, text)
	return err == nil
}

// run sends everything and leaves the last connections open.
func (c *crowd) run() {
	if c.form.inTurn {
		c.runInTurn()
		return
	}
	var group sync.WaitGroup
	for range c.form.size {
		group.Go(c.runOne)
	}
	group.Wait()
}

func (c *crowd) runOne() {
	sent := 0
	for range c.form.reconnects {
		conn := c.dial()
		for ok := send(conn, c.form.opening); ok && sent < c.form.repeats; sent++ {
			ok = send(conn, c.form.each)
		}
		if sent == c.form.repeats || c.form.unread {
			return
		}
		if conn != nil {
			conn.Close()
		}
	}
}

func (c *crowd) runInTurn() {
	conns := make([]net.Conn, c.form.size)
	for i := range conns {
		conns[i] = c.dial()
		send(conns[i], c.form.opening)
	}
	if c.form.each == "" {
		return
	}
	for range c.form.repeats {
		for i, conn := range conns {
			if conn != nil && !send(conn, c.form.each) {
				conn.Close()
				conns[i] = nil
			}
		}
	}
}

func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
}
