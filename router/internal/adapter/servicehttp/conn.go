// Package servicehttp calls plain services over HTTP. Whether a byte of a call may have left is decided where bytes are
// written to the connection.
package servicehttp

import (
	"errors"
	"net"
	"sync/atomic"

	"tanagerwood.dev/router/internal/app/servicepath"
)

// errAbandoned stops writes of a call that has been reported as not sent.
var errAbandoned = errors.New("the call was given up before its first byte")

// States of a sendState.
const (
	stateUnsent int32 = iota
	stateSent
	stateAbandoned
)

// sendState is the fate of one call's bytes. Either the first write or the end of the call changes it from unsent, so a
// call that was reported as not sent cannot be written by a goroutine that is late.
type sendState struct {
	state atomic.Int32
	gate  servicepath.BeforeWriteFunc
}

// beforeWrite allows or refuses a write.
func (s *sendState) beforeWrite() error {
	if s.gate != nil {
		if err := s.gate(s.state.Load() == stateUnsent); err != nil {
			return err
		}
	}
	if s.state.CompareAndSwap(stateUnsent, stateSent) || s.state.Load() == stateSent {
		return nil
	}
	return errAbandoned
}

// abandon forbids further writes and reports whether no byte can have left.
func (s *sendState) abandon() (notSent bool) {
	return s.state.CompareAndSwap(stateUnsent, stateAbandoned) || s.state.Load() == stateAbandoned
}

// conn is a connection that knows the call it carries.
type conn struct {
	net.Conn
	current atomic.Pointer[sendState]
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if s := c.current.Load(); s != nil {
		if err := s.beforeWrite(); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}
