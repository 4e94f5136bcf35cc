package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
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

// errCannotRun means that a case could not be run.
var errCannotRun = errors.New("the case could not run")

// record writes what happens in a run to record.txt.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, func(), error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	r := &record{out: bufio.NewWriter(f), start: time.Now()}
	return r, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		_ = r.out.Flush()
		_ = f.Close()
	}, nil
}

func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) verdict(format string, a ...any) {
	r.line(format, a...)
	fmt.Printf(format+"\n", a...)
}

// router is a process of the project on its own loopback address.
type router struct {
	name, ip, settings string
	port               int
	dir                string
	starts             int

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func (r *router) address() string { return fmt.Sprintf("%s:%d", r.ip, r.port) }

// start starts the process with the command of the deploy file.
func (r *router) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	logFile, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("%s-%d.log", r.name, r.starts)))
	if err != nil {
		return err
	}
	cmd := exec.Command("target/tanagerwood", "node", "-settings", r.settings)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERWOOD_BOOT=" + r.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	r.cmd, r.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = logFile.Close()
		close(done)
	}()
	return nil
}

func (r *router) signal(s os.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	if r.done != nil {
		<-r.done
	}
}

// ready asks for readiness as the platform does.
func (r *router) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/-/readiness", r.ip, r.port+1))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *router) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.ready() {
			return true
		}
	}
	return false
}

// fleet is a small deployment: the stand-in of the store, servers and the routers.
type fleet struct {
	store   *store
	rec     *record
	dir     string
	routers []*router
	closers []func()
	bounds  bounds
}

// bounds are the figures of the site that the settings pass on.
type bounds struct {
	minRetries, quotaSlack int
}

// freePorts returns a port that is free, with the three after it, on all given addresses.
func freePorts(ips []string) (int, error) {
	for range 200 {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if first < 60000 && allFree(ips, first) {
			return first, nil
		}
	}
	return 0, errCannotRun
}

func allFree(ips []string, first int) bool {
	for _, ip := range ips {
		for port := first; port < first+4; port++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

var zones = []string{"gouda", "delft", "leiden", "utrecht"}

// newFleet writes the settings of n routers, like those that the template of the deploy file gives for the site.
func newFleet(n int, b bounds, rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), rec: rec, dir: dir, bounds: b}
	storeAddress, err := f.serve("127.0.0.1:0", f.store)
	if err != nil {
		return nil, err
	}
	var ips, seeds []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", i+1))
	}
	port, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, port+2))
	}
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		r := &router{name: fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1), ip: ip, port: port, dir: dir}
		r.settings = filepath.Join(dir, r.name+".json")
		raw, _ := json.MarshalIndent(map[string]any{
			"instance": r.name, "domain": zone, "caller-listen": r.address(), "ready-listen": fmt.Sprintf("%s:%d", ip, port+1),
			"peer-listen": fmt.Sprintf("%s:%d", ip, port+3), "seeds": strings.Join(seeds, ","), "platform-address": storeAddress,
			"memory-mb": 134, "max-descriptors": 4100, "cpu-share": "0.4", "stop-grace": "8s", "config-within": "2000ms", "drain-within": "2000ms",
			"regions":            map[string]string{"gouda": "nl-west", "delft": "nl-west", "leiden": "nl-west", "utrecht": "nl-west"},
			"endpoint-heartbeat": "1200ms", "quota-window": "8s", "quota-overage": "0.1", "quota-slack": fmt.Sprint(b.quotaSlack),
			"retry-ratio": "0.2", "retry-fixed": fmt.Sprint(b.minRetries), "retry-window": "10s",
		}, "", "  ")
		if err := os.WriteFile(r.settings, raw, 0o600); err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	return f, nil
}

// serve serves a handler at a loopback address until the fleet is closed, and returns the address.
func (f *fleet) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	f.closers = append(f.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := r.start(); err != nil {
			return fmt.Errorf("%w: %w", errCannotRun, err)
		}
	}
	for _, r := range f.routers {
		if !r.awaitReady(15 * time.Second) {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, r.name)
		}
	}
	f.rec.line("%d routers are ready", len(f.routers))
	return nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, r := range f.routers {
		if r.cmd != nil {
			r.kill()
		}
	}
	for _, c := range f.closers {
		c()
	}
	_ = os.RemoveAll(f.dir)
}

// server is an entry in the list of servers that renews itself.
type server struct {
	id, service, address, zone, stage string
	slots                             int
}

// register writes the server's entry and renews it until the context ends.
func (f *fleet) register(ctx context.Context, s server) {
	entry := func(seq int) map[string]any {
		e := map[string]any{"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": s.slots,
			"state": "ready", "cold_remaining_ms": 0, "seq": seq}
		if s.stage != "" {
			e["stage"], e["models"] = s.stage, []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		return e
	}
	f.store.put("servers", s.id, entry(1))
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-ctx.Done():
				return
			case <-time.After(1200 * time.Millisecond):
				f.store.put("servers", s.id, entry(seq))
			}
		}
	}()
}

// answer is what a consumer has got.
type answer struct {
	status     int
	stamp      string
	retryAfter string
	body       string
	err        error
}

// send sends a request over a new channel, as a consumer does that repeats one.
func send(client *http.Client, method, url, host, id, key string, deadline time.Duration, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Response-Stamp"), retryAfter: resp.Header.Get("Retry-After"), body: string(raw), err: err}
}
