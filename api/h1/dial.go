package h1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection is closed.
const keepAliveProbes = 2

// NewDialer returns a dialer whose connections are closed if the peer does not respond: when sent bytes have not been
// acknowledged for the duration of silence, or after unanswered keep-alive probes on an idle connection.
func NewDialer(timeout, silence time.Duration) net.Dialer {
	return net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(silence),
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

// ListenConfig returns a configuration whose accepted connections are closed if the client does not respond, as those of
// NewDialer are.
func ListenConfig(silence time.Duration) net.ListenConfig {
	return net.ListenConfig{
		KeepAliveConfig: KeepAlive(silence),
		// Accepted sockets inherit the option.
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

// KeepAlive returns the keep-alive settings that close an unresponsive idle connection: probes begin after half of the silence, or
// a second if that is more, and the connection is closed after keepAliveProbes of them, a second apart.
func KeepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: max(time.Second, silence/keepAliveProbes), Interval: time.Second, Count: keepAliveProbes}
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
