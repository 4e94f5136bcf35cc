package e2e_test

import (
	"io"
	"net"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// syncBuffer stores all bytes written to it and is safe for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (r *syncBuffer) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *syncBuffer) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// recorder is a TCP proxy in front of a stand-in that stores each byte that it receives from callers.
type recorder struct {
	syncBuffer
	url    string
	target string
}

func newRecorder(target string) *recorder {
	listener, err := net.Listen("tcp", freeAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	r := &recorder{url: "http://" + listener.Addr().String(), target: strings.TrimPrefix(target, "http://")}
	go r.accept(listener)
	return r
}

func (r *recorder) accept(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		go r.relay(caller)
	}
}

func (r *recorder) relay(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer target.Close()
	go func() {
		_, _ = io.Copy(io.MultiWriter(r, target), caller)
		_ = target.(*net.TCPConn).CloseWrite()
	}()
	_, _ = io.Copy(caller, target)
}

// recordEndpoints puts a recorder in front of each endpoint of a system that has not been launched yet.
func (s *system) recordEndpoints() []*recorder {
	var all []*recorder
	for _, p := range append(append([]*process{}, s.engines...), s.services...) {
		r := newRecorder(p.url)
		for i := range s.instances.Instances {
			if s.instances.Instances[i].Name == p.name {
				s.instances.Instances[i].URL = r.url
			}
		}
		all = append(all, r)
	}
	return all
}
