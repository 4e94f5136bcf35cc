package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Router is a router process.
type Router struct {
	Name          string
	Front, Ready  string
	Log           string
	process       *exec.Cmd
	exited        chan struct{}
	ExitedAt      time.Time
	settingsFile  string
	stopRequested bool
}

// Ports are chosen below those that systems give to outgoing connections, so that none of these takes a port before a router listens.
const (
	firstPort = 15_000
	lastPort  = 32_000
)

// FreePort returns a port that is free, for TCP and UDP, on all of the IP addresses.
func FreePort(ips ...string) (int, error) {
	for range 1000 {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if isFree(port, ips) {
			return port, nil
		}
	}
	return 0, errors.New("found no free port")
}

func isFree(port int, ips []string) bool {
	for _, ip := range ips {
		address := fmt.Sprintf("%s:%d", ip, port)
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = udp.Close()
	}
	return true
}

// Bounds are those of an installation that the settings hold.
type Bounds struct{ ConfigApply, Drain time.Duration }

// SmallBounds are the bounds of the small installations.
var SmallBounds = Bounds{ConfigApply: 2 * time.Second, Drain: 2 * time.Second}

// StartRouters starts routers with the command of the deploy file and settings like those of an installation. dir is a folder for their
// settings and logs.
func StartRouters(count int, storeAddress, dir string, bounds Bounds) ([]*Router, error) {
	var ips []string
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", i+1))
	}
	peerPort, err := FreePort(ips...)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", i+1, peerPort))
	}
	var out []*Router
	for i := range count {
		ip := ips[i]
		front, err := FreePort(ip)
		if err != nil {
			return out, err
		}
		ready, err := FreePort(ip)
		for err == nil && (ready == front || ready == peerPort || front == peerPort) {
			if front, err = FreePort(ip); err == nil {
				ready, err = FreePort(ip)
			}
		}
		if err != nil {
			return out, err
		}
		name := fmt.Sprintf("front-%d", i+1)
		r := &Router{
			Name: name, Front: fmt.Sprintf("%s:%d", ip, front), Ready: fmt.Sprintf("%s:%d", ip, ready), Log: filepath.Join(dir, name+".log"),
			settingsFile: filepath.Join(dir, name+".json"), exited: make(chan struct{}),
		}
		settings, err := json.MarshalIndent(map[string]any{
			"instance": name, "domain": "gouda", "caller-listen": r.Front, "ready-listen": r.Ready, "metrics-listen": "",
			"peer-listen": fmt.Sprintf("%s:%d", ip, peerPort), "seeds": strings.Join(seeds, ","), "platform-address": storeAddress, "memory-mb": 134, "cpu-share": "0.4",
			"stop-grace": "8s", "config-within": bounds.ConfigApply.String(), "drain-within": bounds.Drain.String(), "endpoint-heartbeat": "1200ms", "retry-ratio": "0.2", "retry-fixed": "56",
			"retry-window": "10s",
		}, "", "  ")
		if err != nil {
			return out, err
		}
		if err := os.WriteFile(r.settingsFile, settings, 0o600); err != nil {
			return out, err
		}
		if err := r.start(); err != nil {
			return out, err
		}
		out = append(out, r)
	}
	return out, nil
}

func (r *Router) start() error {
	out, err := os.Create(r.Log)
	if err != nil {
		return err
	}
	r.process = exec.Command("target/tanagerwood", "node", "-settings", r.settingsFile)
	r.process.Stdout, r.process.Stderr = out, out
	if err := r.process.Start(); err != nil {
		return err
	}
	go func() {
		_ = r.process.Wait() // the exit code is not judged
		_ = out.Close()
		r.ExitedAt = time.Now()
		close(r.exited)
	}()
	return nil
}

// Signal sends a signal to the router's process.
func (r *Router) Signal(s syscall.Signal) { _ = r.process.Process.Signal(s) }

// Exited is closed when the process has ended.
func (r *Router) Exited() <-chan struct{} { return r.exited }

// Kill ends the process.
func (r *Router) Kill() {
	_ = r.process.Process.Kill()
	<-r.exited
}

// IsReady asks the router whether it is ready, as the platform does.
func (r *Router) IsReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.Ready+"/-/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all routers are ready.
func AwaitReady(routers []*Router, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, r := range routers {
			if r.IsReady() {
				ready++
			}
		}
		if ready == len(routers) {
			return nil
		}
	}
	var missing []string
	for _, r := range routers {
		if !r.IsReady() {
			missing = append(missing, r.Name+": "+strings.Join(r.Grep(`"level":"error"`), " "))
		}
	}
	return fmt.Errorf("routers did not become ready: %s", strings.Join(missing, "; "))
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Request is a request of a consumer.
type Request struct {
	ID, Method, Path, Key, Body string
	Deadline                    time.Duration
	// Tokens is the value of X-Token-Counts; empty for plain requests.
	Tokens, Prefix string
}

// Answer is what a consumer received for a request.
type Answer struct {
	Request  Request
	Router   string
	Sent, At time.Time
	// Status is 0 if the channel ended without an answer.
	Status int
	Stamp  string
	Body   string
	// Err is set if the answer is missing or incomplete.
	Err error
}

// Whole reports whether an answer arrived as a whole.
func (a Answer) Whole() bool { return a.Err == nil }

// Consumer sends requests on channels of its own.
type Consumer struct{ client *http.Client }

// NewConsumer returns a consumer that keeps its channels.
func NewConsumer() *Consumer {
	return &Consumer{client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4}}}
}

// Send sends a request to a router and waits for the answer for as long as its deadline says.
func (c *Consumer) Send(router *Router, q Request) (a Answer) {
	a = Answer{Request: q, Router: router.Name, Sent: time.Now()}
	defer func() { a.At = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), q.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+router.Front+q.Path, strings.NewReader(q.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", q.ID)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+q.Key)
	if q.Tokens != "" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Counts", q.Tokens)
		req.Header.Set("X-Prompt-Prefix", q.Prefix)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Stamp = resp.StatusCode, resp.Header.Get("X-Response-Stamp")
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(body), err
	return a
}

// Record collects what a run saw.
type Record struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

// NewRecord returns an empty record whose times count from now.
func NewRecord() *Record { return &Record{start: time.Now()} }

// At returns the time of the record's beginning.
func (r *Record) Start() time.Time { return r.start }

// Add adds a line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%7.3f  ", time.Since(r.start).Seconds())+fmt.Sprintf(format, values...))
}

// AddAnswer adds what a consumer received.
func (r *Record) AddAnswer(a Answer) {
	what := fmt.Sprintf("status %d, stamp %q, %d bytes", a.Status, a.Stamp, len(a.Body))
	if a.Err != nil {
		what += fmt.Sprintf(", NOT WHOLE: %v", a.Err)
	}
	r.Add("answer  %s via %s, sent at %.3f: %s", a.Request.ID, a.Router, a.Sent.Sub(r.start).Seconds(), what)
}

// Write writes the record to a file.
func (r *Record) Write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}

// Grep returns the lines of the router's log that hold a text.
func (r *Router) Grep(text string) (out []string) {
	raw, err := os.ReadFile(r.Log)
	if err != nil {
		return nil
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// ServeStore serves the store on a free loopback port and returns its address.
func ServeStore(s *Store) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }() // ends with the process
	return listener.Addr().String(), nil
}
