package deadpeer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which a connection is closed.
const keepAliveProbes = 2

// KeepAlive returns the keep-alive settings that close an unresponsive idle connection: probes begin after half of the silence, or
// a second if that is more, and the connection is closed after keepAliveProbes of them, a second apart.
func KeepAlive(silence time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: max(time.Second, silence/keepAliveProbes), Interval: time.Second, Count: keepAliveProbes}
}

// control returns a function that sets the timeout for unacknowledged bytes of a new socket. Accepted sockets inherit it.
func control(silence time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return setOption(c, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	}
}

// setOption sets a TCP option of a socket.
func setOption(c syscall.RawConn, option, value int) error {
	return onSocket(c, func(fd int) error { return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, option, value) })
}

// unreadBytes returns the number of bytes that were written to a socket and that the peer has not acknowledged.
func unreadBytes(c syscall.RawConn) (n int, err error) {
	err = onSocket(c, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return n, err
}

// tcpInfo returns the state of a socket.
func tcpInfo(c syscall.RawConn) (info *unix.TCPInfo, err error) {
	err = onSocket(c, func(fd int) (err error) {
		info, err = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err
	})
	return info, err
}

// takeError returns the error that has ended a connection. The kernel reports it once.
func takeError(c syscall.RawConn) (ended error) {
	err := onSocket(c, func(fd int) error {
		errno, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
		ended = syscall.Errno(errno)
		return err
	})
	if err != nil {
		return err
	}
	return ended
}

// onSocket calls f with the descriptor of a socket, unless that is closed.
func onSocket(c syscall.RawConn, f func(fd int) error) error {
	var failure error
	if err := c.Control(func(fd uintptr) { failure = f(int(fd)) }); err != nil {
		return err
	}
	return failure
}
