package h1

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// raw is a connection on which the peer has sent the given bytes and closed.
type raw struct{ io.Reader }

func (raw) Write(p []byte) (int, error)      { return len(p), nil }
func (raw) Close() error                     { return nil }
func (raw) LocalAddr() net.Addr              { return nil }
func (raw) RemoteAddr() net.Addr             { return nil }
func (raw) SetDeadline(time.Time) error      { return nil }
func (raw) SetReadDeadline(time.Time) error  { return nil }
func (raw) SetWriteDeadline(time.Time) error { return nil }

// FuzzAnswers guards against bytes of a faulty peer that end the process, or pass for the answer to another request.
func FuzzAnswers(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 503 X\r\nX-Id: mine\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		cn := newConn(raw{bytes.NewReader(answer)}, func() {})
		mine := func(r *http.Response) bool { return r.Header.Get("X-Id") == "mine" }
		resp, _, err := exchange(cn, &Request{Method: "GET", Target: "/", Host: "h", Matches: mine})
		if err != nil {
			return
		}
		if !mine(resp) || resp.StatusCode < 200 {
			t.Error(resp)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err == nil && resp.ContentLength > int64(len(answer)) {
			t.Error("a body that is shorter than declared looks complete")
		}
	})
}
