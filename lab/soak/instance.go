package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// instance is a router process that can be restarted after it has exited.
type instance struct {
	name, domain string
	binary, dir  string
	// evacuateWithin is the time within which an evacuation must be in force.
	evacuateWithin time.Duration
	// callers, ready and peer are its listen addresses; store is the proxy between it and the store.
	callers, ready, peer string
	store                *Proxy

	mu  sync.Mutex
	cmd *exec.Cmd
	// boot counts the starts; exitExpected says that the current process has been asked to exit.
	boot         int
	exitExpected bool
	exited       chan struct{}
	exits        []processExit
}

// processExit describes how a process exited.
type processExit struct {
	instance string
	boot     int
	expected bool
	// uptime is how long the process ran.
	uptime time.Duration
	err    error
}

func (i *instance) arguments() []string {
	return []string{
		"node", "-instance", i.name, "-domain", i.domain, "-caller-listen", i.callers, "-ready-listen", i.ready,
		"-peer-listen", i.peer, "-platform-address", i.store.Address(), "-memory-mb", "134", "-stop-grace", "8s",
		"-retry-ratio", "0.2", "-retry-fixed", "54", "-retry-window", "10s", "-evacuate-within", i.evacuateWithin.String(),
	}
}

// start starts the process unless it is running.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	cmd := exec.Command(i.binary, i.arguments()...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GORACE=halt_on_error=1") // a binary built with the race detector exits at the first race
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting instance %s: %w", i.name, err)
	}
	i.cmd, i.exitExpected, i.exited = cmd, false, make(chan struct{})
	i.boot++
	go i.waitForExit(cmd, i.boot, time.Now(), i.exited)
	return nil
}

func (i *instance) waitForExit(cmd *exec.Cmd, boot int, began time.Time, exited chan struct{}) {
	err := cmd.Wait()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.exits = append(i.exits, processExit{instance: i.name, boot: boot, expected: i.exitExpected, uptime: time.Since(began), err: err})
	i.cmd = nil
	close(exited)
}

// signal sends a signal to the process if it is running. endsProcess says that the process is expected to exit because of it.
func (i *instance) signal(sig syscall.Signal, endsProcess bool) (exited <-chan struct{}, err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return nil, nil
	}
	i.exitExpected = i.exitExpected || endsProcess
	err = i.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	return i.exited, err
}

// kill kills the process and waits for its exit.
func (i *instance) kill() error {
	exited, err := i.signal(syscall.SIGKILL, true)
	if exited != nil && err == nil {
		<-exited
	}
	return err
}

// stop asks the process to exit and reports whether it did so within the grace period; if not, the process is killed.
func (i *instance) stop(grace time.Duration) (inTime bool, err error) {
	exited, err := i.signal(syscall.SIGTERM, true)
	if exited == nil || err != nil {
		return true, err
	}
	select {
	case <-exited:
		return true, nil
	case <-time.After(grace):
		return false, i.kill()
	}
}

// running returns the number of the current start; ok is false if no process is running.
func (i *instance) running() (boot int, ok bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.boot, i.cmd != nil
}

// firstPort and lastPort bound the ports of instances. They lie below the range from which Linux takes ports for outgoing
// connections by default (32768), so that a restarted process finds its ports free.
const (
	firstPort = 20_000
	lastPort  = 31_000
)

// portCount is how many ports this process has assigned, so that concurrent runs use different ones.
var portCount atomic.Int64

// freeAddress returns an address on which nothing listens. The search starts at a port that depends on the process ID, so that
// concurrent processes start at different ports.
func freeAddress() (string, error) {
	const span = lastPort - firstPort
	begin := int64(os.Getpid()) * 97
	for range span {
		address := fmt.Sprint("127.0.0.1:", firstPort+(begin+portCount.Add(1))%span)
		if isFree(address) {
			return address, nil
		}
	}
	return "", fmt.Errorf("no port from %d to %d is free", firstPort, lastPort)
}

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return udp.Close() == nil
}
