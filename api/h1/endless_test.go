package h1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tanagerwood.dev/api/h1"
)

// endlessPeer starts a peer that sends the beginning and then repeats the rest until the connection is closed.
func endlessPeer(t *testing.T, beginning, rest string) (address string, sent *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent = &atomic.Int64{}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.WriteString(c, beginning); err != nil {
			return
		}
		block := []byte(strings.Repeat(rest, 1+4096/len(rest)))
		for {
			n, err := c.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}()
	return l.Addr().String(), sent
}

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against unbounded memory use when a peer sends bytes until the connection is closed: a head without an end once
// allocated 1.9 GB in 3 s.
func TestBoundsEndlessResponses(t *testing.T) {
	for name, answer := range map[string][2]string{
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"one header line":   {"HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa"},
		"status line":       {"HTTP/1.1 200 ", "O"},
		"interim answers":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"interim header":    {"HTTP/1.1 103 Early Hints\r\n", "X-A: b\r\n"},
		"chunk extension":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "aaaaaaaa"},
		"chunk size":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
		"no answer at all":  {"", "\x00\x01\x02"},
		"empty lines first": {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, sent := endlessPeer(t, answer[0], answer[1])
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var err error
			bytes := allocated(func() {
				var resp *http.Response
				resp, err = client().Do(ctx, address, 0, &h1.Request{Method: http.MethodGet, Target: "/", Host: "h"})
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			})
			if err == nil || ctx.Err() != nil || errors.Is(err, h1.ErrNotSent) {
				t.Error("not ended by its bound:", err)
			}
			if bytes > 4<<20 {
				t.Errorf("%d bytes were allocated", bytes)
			}
			before := sent.Load()
			if before > 16<<20 {
				t.Errorf("%d bytes were taken", before)
			}
		})
	}
}

// Guards against a head limit that also cuts off long bodies, or the second response on a connection.
func TestReadsLongBodiesAfterShortHeads(t *testing.T) {
	body := strings.Repeat("x", 300<<10)
	address, connections := scriptedPeer(t, false, "HTTP/1.1 200 OK\r\nContent-Length: 307200\r\n\r\n"+body)
	c := client()
	for range 3 {
		status, got, err := get(c, address, &h1.Request{Method: http.MethodGet, Target: "/", Host: "h"})
		if err != nil || status != http.StatusOK || got != body {
			t.Fatal(status, len(got), err)
		}
	}
	if connections() != 1 {
		t.Error(connections(), "connections")
	}
}
