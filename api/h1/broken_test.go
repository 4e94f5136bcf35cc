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
