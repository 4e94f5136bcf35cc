package h1_test

import (
	"errors"
	"strings"
	"testing"

	"tanagerwood.dev/api/h1"
)

// brokenResponses are responses that HTTP does not allow and that are like okResponse otherwise.
func brokenResponses() map[string]string {
	withStatus := func(status string) string { return strings.Replace(okResponse, "200", status, 1) }
	withLine := func(line string) string { return strings.Replace(okResponse, "X-Id: mine", "X-Id: mine\r\n"+line, 1) }
	withTrailer := func(line string) string {
		return "HTTP/1.1 200 OK\r\nX-Id: mine\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + line + "\r\n\r\n"
	}
	return map[string]string{
		"status 000":              withStatus("000"),
		"status 000, no body":     "HTTP/1.1 000 Oops\r\nX-Id: mine\r\nContent-Length: 0\r\n\r\n" + okResponse,
		"status 000, an answer":   strings.Replace(withStatus("000"), "\r\n\r\nok", "\r\n\r\n"+okResponse, 1),
		"status 099":              withStatus("099"),
		"status with a sign":      withStatus("-00"),
		"status 600":              withStatus("600"),
		"status 999":              withStatus("999"),
		"unasked switch":          withStatus("101"),
		"interim with status 000": "HTTP/1.1 000 Oops\r\n\r\n" + okResponse,
		"blank in a name":         withLine("X Bad: 1"),
		"blank before the colon":  withLine("X-Bad : 1"),
		"blank after the length":  strings.Replace(okResponse, "Content-Length:", "Content-Length :", 1),
		"blank after the chunks":  strings.Replace(withTrailer("X-A: b"), "Transfer-Encoding:", "Transfer-Encoding :", 1),
		"blank before a name":     withLine(" X-Bad: 1"),
		"tab before a name":       withLine("\tX-Bad: 1"),
		"blank before the length": strings.Replace(okResponse, "Content-Length:", " Content-Length:", 1),
		"tab before the colon":    withLine("X-Bad\t: 1"),
		"control byte in a name":  withLine("X\x01Bad: 1"),
		"zero byte in a name":     withLine("X\x00Bad: 1"),
		"line end in a name":      withLine("X\rBad: 1"),
		"delete in a name":        withLine("\x7fX-Bad: 1"),
		"no name":                 withLine(": 1"),
		"no colon":                withLine("X-Bad"),
		"interim with a blank":    "HTTP/1.1 103 Early Hints\r\nX Bad: 1\r\n\r\n" + okResponse,
		"interim with a control":  "HTTP/1.1 103 Early Hints\r\nX\x01Bad: 1\r\n\r\n" + okResponse,
		"interim with a fold":     "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n X-Bad: 1\r\n\r\n" + okResponse,
		"trailer with a blank":    withTrailer("X Bad: 1"),
		"trailer with a control":  withTrailer("X\x01Bad: 1"),
	}
}

// Guards against a broken response that is taken for a whole one, on a new connection and on one that is kept.
func TestReportsInvalidResponses(t *testing.T) {
	for name, broken := range brokenResponses() {
		for _, answers := range [][]string{{broken}, {okResponse, broken}} {
			address, connections := scriptedPeer(t, false, answers...)
			c := client()
			for range answers[1:] {
				if _, body, err := get(c, address, &h1.Request{}); body != "ok" || err != nil {
					t.Fatal(body, err)
				}
			}
			if status, body, err := get(c, address, &h1.Request{}); !errors.Is(err, h1.ErrInvalidResponse) || errors.Is(err, h1.ErrNotSent) {
				t.Errorf("%s, answer %d: status %d, body %q, error %v", name, len(answers), status, body, err)
			}
			if connections() != 1 {
				t.Errorf("%s, answer %d: %d connections", name, len(answers), connections())
			}
			if c.IdleConnections() != 0 {
				t.Errorf("%s, answer %d: the connection is kept", name, len(answers))
			}
		}
	}
}
