package h1

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// maxInterims is the largest number of interim responses to a request. net/http limits their total size only if nobody looks at them.
const maxInterims = 100

// Strict returns a round tripper over a Transport of net/http that fails with ErrInvalidResponse if a response, the body included, is one
// that HTTP does not allow. It then closes the connection, and does not send the request again.
func Strict(base http.RoundTripper) http.RoundTripper { return &strictTransport{base: base} }

// strictTransport implements Strict.
type strictTransport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *strictTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used net.Conn
	// What follows an invalid response may be anything, and the pool may have the connection already.
	closeUsed := func() {
		if used != nil {
			_ = used.Close()
		}
	}
	interims := 0
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used = info.Conn },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			if interims++; interims > maxInterims {
				return fmt.Errorf("%w: more than %d interim responses", ErrInvalidResponse, maxInterims)
			}
			return checkInterim(status, http.Header(header))
		},
	}
	resp, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkFinal(resp); err != nil {
		_ = resp.Body.Close()
		closeUsed()
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, onInvalid: closeUsed}
	return resp, nil
}
