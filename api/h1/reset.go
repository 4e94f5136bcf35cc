package h1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// DialFunc establishes a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DetectResets returns a dial function like the given one, whose connections end with io.EOF only if the peer has closed them in good order.
// Otherwise a response that ends with its connection could look complete although the connection was reset.
func DetectResets(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetDetector{Conn: c}, nil
	}
}

// resetDetector is a connection that remembers why a write has failed. The kernel reports a reset or a timeout of a connection once: if a
// write gets the error, reads after it see an end of file.
type resetDetector struct {
	net.Conn
	// writing is held during a write, and protects writeErr.
	writing sync.Mutex
	// writeErr is the error of the first write that failed.
	writeErr error
}

// Write implements net.Conn.
func (d *resetDetector) Write(p []byte) (int, error) {
	d.writing.Lock()
	defer d.writing.Unlock()
	n, err := d.Conn.Write(p)
	if d.writeErr == nil {
		d.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (d *resetDetector) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if err == io.EOF {
		err = d.endOfFile()
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (d *resetDetector) SyscallConn() (syscall.RawConn, error) {
	c, ok := d.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return c.SyscallConn()
}

// endOfFile returns io.EOF if the peer has closed the connection in good order, and the error that has ended it otherwise. It ends a write
// that is in progress, because only its result shows whether it got that error; nothing follows the peer's last answer anyway.
func (d *resetDetector) endOfFile() error {
	_ = d.Conn.SetWriteDeadline(time.Unix(1, 0)) // it fails only if the connection is closed, which ends the write too
	d.writing.Lock()
	defer d.writing.Unlock()
	if d.writeErr == nil || errors.Is(d.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	if errors.Is(d.writeErr, syscall.EPIPE) {
		return io.EOF // the kernel reports a reset after the peer's end of file so
	}
	return fmt.Errorf("h1: the connection broke off while the request was written: %w", d.writeErr)
}
