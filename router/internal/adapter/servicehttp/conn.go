// Package servicehttp is an HTTP client for services other than models. It tracks the writes to each connection, so that it knows
// whether any byte of a call may have been sent.
package servicehttp

import (
	"errors"
	"net"
	"sync/atomic"

	"tanagerwood.dev/router/internal/app/servicepath"
)

// errAbandoned is returned by writes of a call that was reported as not sent.
var errAbandoned = errors.New("the call was abandoned before its first byte was sent")

// Values of sendState.state.
const (
	stateUnsent int32 = iota
	stateSent
	stateAbandoned
)

// sendState tracks whether any byte of a call was sent. Either the first write or the end of the call changes the state from
// unsent, so a delayed goroutine cannot write a call that was reported as not sent.
type sendState struct {
	state           atomic.Int32
	beforeWriteFunc servicepath.BeforeWriteFunc
	// refusal is the first error of beforeWriteFunc. The error of the call may be another one: net/http may notice first that the
	// connection is closed for it.
	refusal atomic.Pointer[error]
}

// beforeWrite returns an error if a write must not proceed.
func (s *sendState) beforeWrite() error {
	if s.beforeWriteFunc != nil {
		if err := s.beforeWriteFunc(s.state.Load() == stateUnsent); err != nil {
			s.refusal.CompareAndSwap(nil, &err)
			return err
		}
	}
	if s.state.CompareAndSwap(stateUnsent, stateSent) || s.state.Load() == stateSent {
		return nil
	}
	return errAbandoned
}

// abandon prevents the first write of an unsent call and reports whether no byte of the call was sent.
func (s *sendState) abandon() (notSent bool) {
	return s.state.CompareAndSwap(stateUnsent, stateAbandoned) || s.state.Load() == stateAbandoned
}

// conn is a connection that tracks the call it carries.
type conn struct {
	net.Conn
	activeCall atomic.Pointer[sendState]
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if s := c.activeCall.Load(); s != nil {
		if err := s.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
