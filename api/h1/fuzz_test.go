package h1

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// replayConn is a connection whose peer has sent the given bytes and then closed it.
type replayConn struct{ io.Reader }

func (replayConn) Write(p []byte) (int, error)      { return len(p), nil }
func (replayConn) Close() error                     { return nil }
func (replayConn) LocalAddr() net.Addr              { return nil }
func (replayConn) RemoteAddr() net.Addr             { return nil }
func (replayConn) SetDeadline(time.Time) error      { return nil }
func (replayConn) SetReadDeadline(time.Time) error  { return nil }
func (replayConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzResponses guards against bytes of a faulty peer that crash the process, or are taken for the response to another
// request.
func FuzzResponses(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 503 X\r\nX-Id: mine\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: -1\r\n\r\n"))
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, answer []byte) {
		cn := newConn(replayConn{bytes.NewReader(answer)}, func() {})
		mine := func(r *http.Response) bool { return r.Header.Get("X-Id") == "mine" }
		resp, _, err := exchange(cn, &Request{Method: "GET", Target: "/", Host: "h", Match: func(resp *http.Response, _ bool) Match {
			if mine(resp) {
				return Belongs
			}
			return BelongsToOther
		}})
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
