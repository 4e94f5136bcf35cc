package e2e_test

import (
	"io"
	"net"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// recording keeps all bytes that are written to it.
type recording struct {
	mu   sync.Mutex
	text strings.Builder
}

func (r *recording) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *recording) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// recorder is an endpoint that keeps each byte that it receives and lets a stand-in answer.
type recorder struct {
	recording
	url    string
	target string
}

func record(target string) *recorder {
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

// recordEndpoints puts a recorder before each endpoint of a system that has not been launched.
func (s *system) recordEndpoints() []*recorder {
	var all []*recorder
	for _, p := range append(append([]*process{}, s.engines...), s.services...) {
		r := record(p.url)
		for i := range s.instances.Instances {
			if s.instances.Instances[i].Name == p.name {
				s.instances.Instances[i].URL = r.url
			}
		}
		all = append(all, r)
	}
	return all
}
