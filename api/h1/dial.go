package h1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// probes is how many unanswered keep-alive probes end a connection.
const probes = 2

// NewDialer returns a dialer whose connections end if the peer is silent: after silence without an acknowledgement of
// sent bytes, or after unanswered keep-alive probes on an idle connection.
func NewDialer(timeout, silence time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(silence),
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

// ListenConfig returns a configuration whose accepted connections end if the caller is silent, as NewDialer's do.
func ListenConfig(silence time.Duration) net.ListenConfig {
	return net.ListenConfig{
		KeepAliveConfig: KeepAlive(silence),
		// Accepted sockets inherit the option.
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

// KeepAlive is the probing of idle connections that ends a silent one after about twice the silence.
func KeepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: max(time.Second, silence/probes), Interval: time.Second, Count: probes}
}

func setUserTimeout(c syscall.RawConn, silence time.Duration) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}
