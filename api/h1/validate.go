package h1

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidResponse means that the peer sent a response that HTTP does not allow, also one that net/http accepts. The request may have
// been executed.
var ErrInvalidResponse = errors.New("h1: the answer is not valid")

// Status codes have three digits, the first of which is from 1 to 5 (RFC 9110, section 15).
const (
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
)

// isInterim reports whether a status is less than that of any final response.
func isInterim(status int) bool { return status < minFinalStatus }

// checkInterim returns an error if the head of an interim response is invalid.
func checkInterim(status int, fields http.Header) error {
	if status < minStatus || !isInterim(status) {
		return fmt.Errorf("%w: status %03d in an interim response", ErrInvalidResponse, status)
	}
	if status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: the peer switches protocols without being asked", ErrInvalidResponse)
	}
	return checkFieldNames(fields)
}

// checkFinal returns an error if the head of a final response is invalid.
func checkFinal(resp *http.Response) error {
	if isInterim(resp.StatusCode) || resp.StatusCode > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrInvalidResponse, resp.StatusCode)
	}
	return checkFieldNames(resp.Header)
}

// checkFieldNames returns an error if the name of a field is not a token (RFC 9110, section 5.6.2). net/http accepts blanks in names and
// ignores what such a field says of the body.
func checkFieldNames(fields http.Header) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field name %q", ErrInvalidResponse, name)
		}
	}
	return nil
}

// markMalformed wraps an error of net/http with ErrInvalidResponse if it says that a head or a trailer is malformed.
func markMalformed(err error) error {
	var malformed textproto.ProtocolError
	if errors.As(err, &malformed) {
		return fmt.Errorf("%w: %w", ErrInvalidResponse, err)
	}
	return err
}

// checkedBody is the body of a response that ends with ErrInvalidResponse in place of io.EOF if the trailer is invalid.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
	// onInvalid is called if the trailer is invalid; it may be nil.
	onInvalid func()
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		if invalid := checkFieldNames(b.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	err = markMalformed(err)
	if b.onInvalid != nil && errors.Is(err, ErrInvalidResponse) {
		b.onInvalid()
	}
	return n, err
}

// checkFolding waits for the head that comes next and returns an error if one of its lines begins with a blank. net/http would take such a
// line for a part of the field before it, and a proxy may reject it (RFC 9112, section 5.2). Only what fits the buffer is checked.
func checkFolding(r *bufio.Reader) error {
	lineStart := false
	for checked := 0; ; {
		head, err := r.Peek(max(checked+1, r.Buffered()))
		for ; checked < len(head); checked++ {
			switch c := head[checked]; {
			case lineStart && (c == ' ' || c == '\t'):
				return fmt.Errorf("%w: a line of the head begins with a blank", ErrInvalidResponse)
			case lineStart && c == '\n':
				return nil
			case c == '\n':
				lineStart = true
			case c != '\r':
				lineStart = false
			}
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}
