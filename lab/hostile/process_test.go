package hostile

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"tanagerwood.dev/platform/standin"
)

const (
	// memoryMB is the memory of a node, and serveMemoryMB that of a process of serve.
	memoryMB, serveMemoryMB = 64, 128
	// maxDescriptors is the limit of open files of each process, and reservedDescriptors what must stay free of connections.
	maxDescriptors, reservedDescriptors = 512, 200
	// answerTimeout limits the wait for the answer to an ordinary request, which is sent again until then.
	answerTimeout = 30 * time.Second
	token         = "a-token-between-processes"
)

var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "hostile")
	if err != nil {
		panic(err)
	}
	build := exec.Command("go", "build", "-o", dir+"/", "./router/cmd/tanagerwood", "./lab/cmd/tanagerlab")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		panic(string(out))
	}
	binaries = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// target is a listener with the ordinary request that must be answered there.
type target struct {
	name, address, path string
	// status is the status of the answer to the ordinary request.
	status int
}

// process is a router process with the listeners that clients reach.
type process struct {
	cmd         *exec.Cmd
	exited      chan struct{}
	memoryBytes int64
	targets     []target
}

// startProcess runs a program whose limit of open files is maxDescriptors.
func startProcess(t *testing.T, binary string, arguments ...string) *process {
	t.Helper()
	script := fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, maxDescriptors)
	cmd := exec.Command("sh", append([]string{"-c", script, filepath.Join(binaries, binary)}, arguments...)...)
	var log bytes.Buffer
	cmd.Stdout, cmd.Stderr = &log, &log
	cmd.Env = append(os.Environ(), "TANAGERWOOD_PLATFORM_TOKEN="+token, "TANAGERWOOD_PEER_TOKEN="+token+"-2")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.exited
		if t.Failed() {
			text := log.String()
			t.Log(text[max(0, len(text)-4000):])
		}
	})
	return p
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

const nodeConfiguration = `{"version":1,"routes":[
 {"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"service":"s","max_attempts":2}],
 "services":[{"name":"s","max_connections":100}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["key"],"unit":"token_stream","plain_tokens":1,"rate_per_s":100000000,"burst":100000000}]}`

// startNode starts a node with a stand-in store and endpoint.
func startNode(t *testing.T) *process {
	t.Helper()
	store := standin.NewStore()
	storeServer, endpoint := httptest.NewServer(store), httptest.NewServer(standin.NewServer("s-0", ""))
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Config.Close()
		endpoint.CloseClientConnections()
		endpoint.Config.Close()
	})
	store.Put("servers", "s-0", fmt.Sprintf(`{"service":"s","address":%q,"zone":"z","version":"v1","slots":4,"state":"ready"}`, strings.TrimPrefix(endpoint.URL, "http://")))
	store.Put("config", "main", nodeConfiguration)
	callers, ready, metrics, peers := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	p := startProcess(t, "tanagerwood", "node", "-instance", "r-1", "-domain", "z", "-caller-listen", callers, "-ready-listen", ready,
		"-metrics-listen", metrics, "-peer-listen", peers, "-platform-address", strings.TrimPrefix(storeServer.URL, "http://"),
		"-memory-mb", strconv.Itoa(memoryMB), "-stop-grace", "8s")
	p.memoryBytes = memoryMB << 20
	p.targets = []target{
		{"callers", callers, "/look/a", http.StatusOK}, {"readiness", ready, "/-/readiness", http.StatusOK},
		{"metrics", metrics, "/metrics", http.StatusOK}, {"peers", peers, "/state", http.StatusOK},
	}
	return p
}

// startServe starts a process of serve with the example catalogue and without engines.
func startServe(t *testing.T) *process {
	t.Helper()
	platform := freeAddress(t)
	startProcess(t, "tanagerlab", "platform", "-listen", platform, "-platform-token", token)
	catalogue, err := os.ReadFile(filepath.Join("..", "..", "examples", "asahan", "catalogue.json"))
	if err != nil {
		t.Fatal(err)
	}
	awaitAnswer(t, func() error { return putCatalogue(platform, catalogue) })
	callers, peers, operators := freeAddress(t), freeAddress(t), freeAddress(t)
	p := startProcess(t, "tanagerwood", "serve", "-instance", "r-1", "-domain", "Klang", "-region", "my-west", "-platform-url", "http://"+platform,
		"-caller-listen", callers, "-peer-listen", peers, "-operator-listen", operators, "-peer-url", "http://"+peers, "-log-level", "warn")
	p.memoryBytes = serveMemoryMB << 20
	p.targets = []target{
		{"callers", callers, "/v1/models", http.StatusUnauthorized}, {"operators", operators, "/metrics", http.StatusOK},
		{"peers", peers, "/peer", http.StatusUnauthorized},
	}
	return p
}

func putCatalogue(platform string, catalogue []byte) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+platform+"/api/v1/catalogue/main", bytes.NewReader(catalogue))
	if err != nil {
		return err
	}
	req.Header = http.Header{"Authorization": {"Bearer " + token}, "If-None-Match": {"*"}}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 300 {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// ask sends the ordinary request on a new connection.
func (x target) ask() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+x.address+x.path, nil)
	if err != nil {
		return err
	}
	req.Host = "h.example"
	req.Header = http.Header{"X-Request-Id": {strconv.FormatInt(time.Now().UnixNano(), 36)}, "X-Deadline-Ms": {"2000"}}
	if x.status == http.StatusOK {
		req.Header.Set("Authorization", "Bearer key")
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: stepTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != x.status {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// awaitAnswer repeats a call until it succeeds.
func awaitAnswer(t *testing.T, call func() error) {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	limit := time.NewTimer(answerTimeout)
	defer limit.Stop()
	for {
		err := call()
		if err == nil {
			return
		}
		select {
		case <-limit.C:
			t.Fatal("no answer to an ordinary request: ", err)
		case <-ticker.C:
		}
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// resetPeak sets the peak memory of the process to its present memory.
func (p *process) resetPeak() {
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", p.cmd.Process.Pid), []byte("5"), 0)
}

func (p *process) peakBytes(t *testing.T) int64 {
	t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(raw), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		t.Fatal("the process has ended")
	}
	kb, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

func (p *process) descriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}
