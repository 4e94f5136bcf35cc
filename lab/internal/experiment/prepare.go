package experiment

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"tanagerwood.dev/api/platform"
)

// PlatformToken is the platform's bearer token in the lab; scripts/lab-lib.sh gives the same one to routers.
const PlatformToken = "lab-platform-token"

// Kind is the type of a process of a cell.
type Kind string

// Kinds of processes, in the order in which they start.
const (
	KindPlatform Kind = "platform"
	KindEngine   Kind = "engine"
	KindService  Kind = "service"
	KindRouter   Kind = "router"
)

// Process is one process of a cell: a line "NAME KIND DOMAIN URL OPERATORS ARGUMENT…" in processes.txt.
type Process struct {
	Name   string
	Kind   Kind
	Domain string
	// URL is the base address for callers of the process, Operators that of a router's operators' port.
	URL         string
	OperatorURL string
	Arguments   []string
	// role is set for processes in the platform's instance list, pool is their pool; peer is the base URL of a router for its
	// peers.
	role platform.InstanceRole
	pool string
	peer string
}

// Layout holds all processes of a cell.
type Layout struct {
	Processes []Process
	ports     int
}

func (l *Layout) address() string {
	l.ports++
	return "127.0.0.1:" + strconv.Itoa(l.ports)
}

// NewLayout assigns the processes of a cell to ports after basePort.
func NewLayout(d Deployment, c Cell, basePort int) *Layout {
	l := &Layout{ports: basePort}
	platformAddress := l.address()
	l.add(Process{Name: "platform", Kind: KindPlatform, Domain: "none", URL: "http://" + platformAddress, Arguments: []string{
		"-listen", platformAddress, "-platform-token", PlatformToken, "-instances", "instances.json", "-instance-lag", "2s",
	}})
	for i := range d.Prefill {
		l.addEngine(d, c, i, platform.RolePrefill)
	}
	for i := range d.Decode {
		l.addEngine(d, c, i, platform.RoleDecode)
	}
	for i := range d.Services {
		address := l.address()
		name := fmt.Sprintf("service-%d", i+1)
		l.add(Process{Name: name, Kind: KindService, Domain: d.Domain(i), URL: "http://" + address,
			Arguments: []string{"-listen", address, "-name", name}, role: platform.RoleService, pool: d.ServicePool})
	}
	for i := range d.Routers {
		l.addRouter(d, i, "http://"+platformAddress)
	}
	return l
}

func (l *Layout) add(p Process) { l.Processes = append(l.Processes, p) }

// addEngine adds an engine. Decode servers continue with the domain after that of the last prefill server.
func (l *Layout) addEngine(d Deployment, c Cell, index int, role platform.InstanceRole) {
	address := l.address()
	name := fmt.Sprintf("%s-%d", role, index+1)
	place, memory := index, prefillBlocks
	if role == platform.RoleDecode {
		place, memory = index+d.Prefill, blocks
	}
	interval := loadInterval
	if c.Scenario.LoadIntervalMS > 0 {
		interval = time.Duration(c.Scenario.LoadIntervalMS) * time.Millisecond
	}
	l.add(Process{
		Name: name, Kind: KindEngine, Domain: d.Domain(place), URL: "http://" + address,
		role: role, pool: d.ModelPool + "-" + string(role),
		Arguments: []string{
			"-listen", address, "-name", name, "-role", string(role), "-model", d.ModelPool,
			"-slots", strconv.Itoa(slots), "-blocks", strconv.Itoa(memory), "-block-tokens", strconv.Itoa(blockTokens),
			"-bytes-per-token", strconv.Itoa(bytesPerToken), "-kv-bytes-per-token", strconv.Itoa(kvBytesPerToken),
			"-prefill-rate", strconv.Itoa(prefillRate), "-token-interval", tokenInterval.String(),
			"-interval-growth", fmt.Sprint(intervalGrowth), "-kv-expiry", kvExpiry.String(),
			"-link-rate", strconv.FormatFloat(linkRate*c.Scenario.linkFactor(), 'f', 0, 64),
			"-cache-blocks", strconv.Itoa(cacheBlocks), "-load-interval", interval.String(),
		},
	})
}

func (l *Layout) addRouter(d Deployment, index int, platformURL string) {
	callers, operators, peers := l.address(), l.address(), l.address()
	name := fmt.Sprintf("router-%d", index+1)
	l.add(Process{
		Name: name, Kind: KindRouter, Domain: d.Domain(index), URL: "http://" + callers, OperatorURL: "http://" + operators,
		role: platform.RoleRouter, peer: "http://" + peers,
		Arguments: RouterArguments(name, d.Domain(index), d.Region, platformURL, callers, operators, peers),
	})
}

// RouterArguments returns the flags of "tanagerwood serve" for a router on loopback addresses.
func RouterArguments(name, domain, region, platformURL, callers, operators, peers string) []string {
	return []string{
		"-instance", name, "-domain", domain, "-region", region, "-platform-url", platformURL,
		"-caller-listen", callers, "-operator-listen", operators, "-peer-listen", peers, "-peer-url", "http://" + peers,
		"-log-level", "warn",
	}
}

// Instances returns the platform's instance list at the start of the run.
func (l *Layout) Instances(region string) platform.InstanceList {
	var list platform.InstanceList
	for _, p := range l.Processes {
		if p.role == "" {
			continue
		}
		list.Instances = append(list.Instances, p.instance(region, platform.InstanceLive))
	}
	return list
}

func (p Process) instance(region string, state platform.InstanceState) platform.Instance {
	address := p.URL
	if p.peer != "" {
		address = p.peer
	}
	return platform.Instance{Name: p.Name, Role: p.role, Pool: p.pool, URL: address, Domain: p.Domain, Region: region, State: state}
}

// Prepare writes the files of a cell into a directory: catalogue.json, instances.json, scenario.json, processes.txt and
// faults.txt.
func Prepare(c Cell, dir string, basePort int) error {
	d, err := DeploymentByName(c.Deployment)
	if err != nil {
		return err
	}
	layout := NewLayout(d, c, basePort)
	faults, err := layout.FaultLines(c.Scenario.Faults)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	documents := map[string]any{
		"catalogue.json": d.Catalogue(c),
		"instances.json": layout.Instances(d.Region),
		"scenario.json":  d.Traffic(c),
	}
	for name, document := range documents {
		raw, err := json.MarshalIndent(document, "", " ")
		if err != nil {
			return err
		}
		if err := writeFile(dir, name, string(raw)+"\n"); err != nil {
			return err
		}
	}
	if err := writeFile(dir, "processes.txt", layout.Lines()); err != nil {
		return err
	}
	return writeFile(dir, "faults.txt", faults)
}

func writeFile(dir, name, text string) error {
	return os.WriteFile(filepath.Join(dir, name), []byte(text), 0o644)
}

// Lines formats the processes for scripts/experiment.sh, one per line.
func (l *Layout) Lines() string {
	var b strings.Builder
	for _, p := range l.Processes {
		operators := p.OperatorURL
		if operators == "" {
			operators = "none"
		}
		fmt.Fprintf(&b, "%s %s %s %s %s %s\n", p.Name, p.Kind, p.Domain, p.URL, operators, strings.Join(p.Arguments, " "))
	}
	return b.String()
}

// FaultLines formats the faults for scripts/experiment.sh as lines "AT_MS ACTION NAME [URL BODY]", one for each process of a
// target.
func (l *Layout) FaultLines(faults []Fault) (string, error) {
	var b strings.Builder
	for _, f := range faults {
		targets := l.targets(f.Target)
		if len(targets) == 0 {
			return "", fmt.Errorf("fault target %q matches no process", f.Target)
		}
		for _, p := range targets {
			fmt.Fprintf(&b, "%d %s %s", f.AtMS, f.Action, p.Name)
			if f.Action == ActionPost {
				fmt.Fprintf(&b, " %s%s %s", p.URL, f.Path, compact(f.Body))
			}
			b.WriteByte('\n')
		}
	}
	return b.String(), nil
}

func (l *Layout) targets(target string) []Process {
	var list []Process
	domain, isDomain := strings.CutPrefix(target, "domain:")
	for _, p := range l.Processes {
		if p.Name == target || (isDomain && p.Domain == domain) || (target == "routers" && p.Kind == KindRouter) {
			list = append(list, p)
		}
	}
	return list
}

func compact(body json.RawMessage) string {
	var value any
	if json.Unmarshal(body, &value) != nil {
		return "{}"
	}
	raw, _ := json.Marshal(value)
	return string(raw)
}
