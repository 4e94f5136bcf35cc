package kit

import (
	"bufio"
	"encoding/json"
	"fmt"
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

// Exit codes of the scripts.
const (
	Held   = 0
	Broken = 1
	unable = 2
)

// Trouble reports whether the disruption takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

var (
	recordMu sync.Mutex
	record   *os.File
	started  = time.Now()
	// running holds the processes that were started.
	running []*exec.Cmd
	folder  string
)

// Begin opens the record and the temporary folder.
func Begin(recordPath string) {
	var err error
	if record, err = os.Create(recordPath); err != nil {
		fmt.Println(err)
		os.Exit(unable)
	}
	if folder, err = os.MkdirTemp("", "review-"); err != nil {
		Unable("no temporary folder: %v", err)
	}
	time.AfterFunc(110*time.Second, func() { Unable("the script takes too long") })
}

// Log writes a line with the time since the start to the record.
func Log(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, "%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}

// Unable ends the script because it could not run.
func Unable(format string, args ...any) {
	Log("could not run: "+format, args...)
	fmt.Printf("could not run: "+format+"\n", args...)
	End(unable)
}

// End ends all processes that were started, and the script.
func End(code int) {
	for _, c := range running {
		c.Process.Signal(syscall.SIGCONT)
		c.Process.Kill()
		c.Wait()
	}
	os.RemoveAll(folder)
	Log("exit code %d", code)
	record.Close()
	os.Exit(code)
}

// FreePort returns a port that is free at the IP address.
func FreePort(ip string) int {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		Unable("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Router is a process of the router.
type Router struct {
	Name, IP, Callers, Ready string
	Command                  *exec.Cmd
	settings, log            string
	ended                    chan struct{}
}

// Ports are the ports of all machines.
type Ports struct{ Callers, Ready, Peers, Metrics int }

// FreePorts returns ports that are free.
func FreePorts(ip string) Ports { return Ports{FreePort(ip), FreePort(ip), FreePort(ip), FreePort(ip)} }

// NewRouter prepares a router process whose settings are those of the deploy file's template on a small deployment.
func NewRouter(name, ip, domain, store string, ports Ports, seeds string) *Router {
	r := &Router{Name: name, IP: ip, Callers: fmt.Sprintf("%s:%d", ip, ports.Callers), Ready: fmt.Sprintf("%s:%d", ip, ports.Ready)}
	r.settings, r.log = filepath.Join(folder, name+".json"), filepath.Join(folder, name+".log")
	raw, _ := json.MarshalIndent(map[string]any{
		"instance": name, "domain": domain, "caller-listen": r.Callers, "ready-listen": r.Ready,
		"metrics-listen": fmt.Sprintf("%s:%d", ip, ports.Metrics), "peer-listen": fmt.Sprintf("%s:%d", ip, ports.Peers), "seeds": seeds,
		"platform-address": store, "memory-mb": 134, "max-descriptors": 4100, "cpu-share": "0.4", "stop-grace": "8s",
		"config-within": "2000ms", "drain-within": "2000ms", "endpoint-heartbeat": "1200ms", "quota-window": "8s", "quota-overage": "0.1",
		"quota-slack": "140000", "retry-ratio": "0.2", "retry-fixed": "56", "retry-window": "10s",
	}, "", "  ")
	if err := os.WriteFile(r.settings, raw, 0o600); err != nil {
		Unable("%v", err)
	}
	return r
}

// Start starts the process with the command of the deploy file. The working folder is the repository's root.
func (r *Router) Start() {
	out, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Unable("%v", err)
	}
	r.Command = exec.Command("target/tanagerwood", "node", "-settings", r.settings)
	r.Command.Stdout, r.Command.Stderr = out, out
	r.Command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.Command.Start(); err != nil {
		Unable("the router does not start: %v", err)
	}
	running = append(running, r.Command)
	ended := make(chan struct{})
	r.ended = ended
	go func(c *exec.Cmd) { c.Wait(); close(ended) }(r.Command)
	Log("%s started, process %d", r.Name, r.Command.Process.Pid)
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) {
	Log("%s gets %v", r.Name, s)
	r.Command.Process.Signal(s)
}

// Ended waits for the end of the process.
func (r *Router) Ended(limit time.Duration) bool {
	select {
	case <-r.ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// LogPath is the file with the output of the process.
func (r *Router) LogPath() string { return r.log }

// AwaitReady waits until the readiness probe gets 200.
func (r *Router) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + r.Ready + "/-/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			Log("%s is ready", r.Name)
			return
		}
	}
	raw, _ := os.ReadFile(r.log)
	Log("%s", raw)
	Unable("%s is not ready", r.Name)
}

// MemoryMB returns the largest resident size of the process so far.
func (r *Router) MemoryMB() (mb float64) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", r.Command.Process.Pid))
	if err != nil {
		return 0
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		var kb float64
		if n, _ := fmt.Sscanf(lines.Text(), "VmHWM: %f kB", &kb); n == 1 {
			return kb / 1024
		}
	}
	return 0
}

// Register writes a server's entry to the store, and again at every heartbeat until the returned function is called.
func (s *Store) Register(id, service, address, zone, stage string, slots int) (stop func()) {
	done := make(chan struct{})
	born, seq := time.Now().UnixMilli(), 0
	beat := func() {
		seq++
		spec := map[string]any{"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
			"cold_remaining_ms": 0, "seq": seq, "born": born}
		if stage != "" {
			spec["stage"] = stage
			spec["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		s.Put("servers", id, spec)
	}
	beat()
	go func() {
		for t := time.NewTicker(1200 * time.Millisecond); ; {
			select {
			case <-done:
				t.Stop()
				return
			case <-t.C:
				beat()
			}
		}
	}()
	return func() { close(done) }
}

// LogTail returns the last lines of the process's output that hold a text, at most count.
func (r *Router) LogTail(text string, count int) string {
	raw, err := os.ReadFile(r.log)
	if err != nil {
		return ""
	}
	var lines []string
	for line := range strings.Lines(string(raw)) {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(0, len(lines)-count):], "")
}
