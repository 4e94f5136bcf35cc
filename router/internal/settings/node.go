package settings

import (
	"flag"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"tanagerwood.dev/api/catalogue"
)

// Node holds the settings of "tanagerwood node", an instance that reads its configuration and endpoints from the platform's store.
type Node struct {
	// File is the path of the settings file, which may change while the process runs.
	File string

	Instance string
	Domain   string

	CallerListen  string
	ReadyListen   string
	MetricsListen string
	// PeerListen is the IP:PORT at which peers connect over TCP and UDP. All instances use the same port.
	PeerListen string
	// Seeds are addresses of other instances; their ports are ignored.
	Seeds []string
	// PeerSecrets authenticate messages between instances: the first signs, and signatures of any of them are accepted.
	PeerSecrets []string
	// PlatformAddress is the IP:PORT of the platform's store.
	PlatformAddress string

	// MemoryMB is the memory limit of the process.
	MemoryMB int
	// HeadMemoryMB is the memory for heads of requests beyond an allowance for each, MaxConnections the number of connections of callers.
	// Zero derives them from the memory and the descriptors.
	HeadMemoryMB   int
	MaxConnections int
	// MaxDescriptors is the number of descriptors that the machine allows; zero stands for the process's own limit.
	MaxDescriptors int
	// CPUShare is the CPU time available to the process, in cores. Instances with a larger share take over work for the others.
	CPUShare float64
	// StopGrace is the maximum duration of a planned stop.
	StopGrace time.Duration

	// ConfigPropagationLimit is the time within which an accepted configuration takes effect, and DrainPropagationLimit the time
	// within which a leaving endpoint stops receiving requests. They determine how often the platform is polled.
	ConfigPropagationLimit time.Duration
	DrainPropagationLimit  time.Duration
	// EvacuationLimit is the time within which an evacuation of a domain takes effect; zero if evacuations are not read.
	EvacuationLimit time.Duration
	// Regions holds the region of each failure domain.
	Regions map[string]string
	// EndpointHeartbeat is the interval at which endpoints renew their entries in the platform's list.
	EndpointHeartbeat time.Duration

	// In any QuotaWindow, QuotaOverage times the rate and the burst of a customer's quota and QuotaSlack tokens may be admitted beyond
	// them. QuotaWindow is zero if that is unknown.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64

	RetryRatio   float64
	FixedRetries float64
	RetryWindow  time.Duration

	// EndpointPacing has work placed by the speed of each endpoint for all services, also for those whose endpoints do not state their
	// speed and that have no limit for cold endpoints.
	EndpointPacing bool

	LogLevel string
}

// Default values of the node settings.
const (
	defaultMemoryMB         = 256
	defaultCPUShare         = 1.0
	defaultStopGrace        = 8 * time.Second
	defaultPropagationLimit = 2 * time.Second
	defaultHeartbeat        = 1200 * time.Millisecond
	defaultRetryRatio       = 0.2
	defaultFixedRetries     = 10
	defaultRetryWindow      = 10 * time.Second
)

// minPropagationLimit is the shortest time in which a change can take effect on all instances.
const minPropagationLimit = 500 * time.Millisecond

// maxCPUShare rejects values beyond the core count of real machines.
const maxCPUShare = 1024

// RegisterNodeFlags defines the flags of the node settings.
func RegisterNodeFlags(fs *flag.FlagSet) *Node {
	n := &Node{}
	fs.StringVar(&n.File, "settings", "", "JSON `file` with values for the other flags; read again on SIGHUP")
	fs.StringVar(&n.Instance, "instance", "", "`name` of this instance, unique in the fleet")
	fs.StringVar(&n.Domain, "domain", "", "failure `domain` of this instance")
	fs.StringVar(&n.CallerListen, "caller-listen", "127.0.0.1:8080", "`address` for callers")
	fs.StringVar(&n.ReadyListen, "ready-listen", "127.0.0.1:8083", "`address` at which readiness is asked")
	fs.StringVar(&n.MetricsListen, "metrics-listen", "", "`address` of the metrics; none if empty")
	fs.StringVar(&n.PeerListen, "peer-listen", "127.0.0.1:8081", "`address` for other instances, TCP and UDP")
	fs.Var((*commaSeparatedList)(&n.Seeds), "seeds", "`addresses` of other instances, separated by commas; their ports are ignored")
	fs.Var((*commaSeparatedList)(&n.PeerSecrets), "peer-secrets", "`secrets` that all instances share, separated by commas: the first signs messages, each is accepted")
	fs.StringVar(&n.PlatformAddress, "platform-address", "", "`address` of the platform's store")
	fs.IntVar(&n.MemoryMB, "memory-mb", defaultMemoryMB, "memory of the process in `MB`")
	fs.IntVar(&n.HeadMemoryMB, "head-memory-mb", 0, "memory for large heads of requests in `MB`; 0 for a tenth of the memory")
	fs.IntVar(&n.MaxConnections, "max-connections", 0, "`number` of connections of callers; 0 derives it from descriptors and memory")
	fs.IntVar(&n.MaxDescriptors, "max-descriptors", 0, "`number` of descriptors that the process may open; 0 for its own limit")
	fs.Float64Var(&n.CPUShare, "cpu-share", defaultCPUShare, "processor time of the process in `cores`; stronger instances work for the others")
	fs.DurationVar(&n.StopGrace, "stop-grace", defaultStopGrace, "`time` that a planned stop may take")
	fs.DurationVar(&n.ConfigPropagationLimit, "config-within", defaultPropagationLimit, "`time` within which an accepted configuration is in force")
	fs.DurationVar(&n.DrainPropagationLimit, "drain-within", defaultPropagationLimit, "`time` within which a leaving endpoint gets no more requests")
	fs.DurationVar(&n.EvacuationLimit, "evacuate-within", 0, "`time` within which an evacuated domain gets no more requests; 0 if evacuations are not read")
	fs.Var((*stringTable)(&n.Regions), "regions", "`table` from failure domain to region: a JSON object; needed for routes and customers with allowed regions")
	fs.DurationVar(&n.EndpointHeartbeat, "endpoint-heartbeat", defaultHeartbeat, "`time` between renewals of an endpoint's entry; an entry is removed after three of them without one")
	fs.DurationVar(&n.QuotaWindow, "quota-window", 0, "`time` over which quotas in tokens are measured; 0 if unknown")
	fs.Float64Var(&n.QuotaOverage, "quota-overage", 0, "`fraction` of the rate and the burst of a quota that may be admitted in a window beyond them")
	fs.Float64Var(&n.QuotaSlack, "quota-slack", 0, "`tokens` that may be admitted in a window beside that")
	fs.Float64Var(&n.RetryRatio, "retry-ratio", defaultRetryRatio, "retries per request, as a `ratio`")
	fs.Float64Var(&n.FixedRetries, "retry-fixed", defaultFixedRetries, "`number` of retries in a window beside the ratio, for the fleet")
	fs.DurationVar(&n.RetryWindow, "retry-window", defaultRetryWindow, "`time` over which retries are counted")
	fs.BoolVar(&n.EndpointPacing, "endpoint-pacing", false, "place work by the speed of each endpoint, and pace endpoints that start or recover, for all services")
	fs.StringVar(&n.LogLevel, "log-level", DefaultLogLevel, "debug, info, warn or error")
	return n
}

// ParseNode parses flags, environment variables and the settings file, in this order of precedence.
func ParseNode(fs *flag.FlagSet, arguments []string) error {
	return ff.Parse(fs, arguments, ff.WithEnvVarPrefix(EnvPrefix), ff.WithConfigFileFlag("settings"),
		ff.WithConfigFileParser(parseSettingsFile), ff.WithAllowMissingConfigFile(false))
}

// Reload rereads the settings file and returns the new settings, or an error if the file cannot be read or is invalid.
func (n *Node) Reload() (*Node, error) {
	fs := flag.NewFlagSet("node", flag.ContinueOnError)
	next := RegisterNodeFlags(fs)
	if err := ParseNode(fs, []string{"-settings", n.File}); err != nil {
		return nil, fmt.Errorf("the settings file %s cannot be read; the last good settings hold: %w", n.File, err)
	}
	if problems := next.Problems(); len(problems) > 0 {
		return nil, fmt.Errorf("the settings file %s has problems; the last good settings hold: %s", n.File, problems[0])
	}
	return next, nil
}

// Problems returns the validation problems of the settings.
func (n *Node) Problems() catalogue.Problems {
	var problems catalogue.Problems
	for name, value := range map[string]string{"instance": n.Instance, "domain": n.Domain} {
		if value == "" {
			problems = append(problems, problem(name, "it is empty", "set it"))
		}
	}
	for name, address := range map[string]string{
		"caller-listen": n.CallerListen, "ready-listen": n.ReadyListen, "peer-listen": n.PeerListen,
		"platform-address": n.PlatformAddress,
	} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			problems = append(problems, problem(name, fmt.Sprintf("%q is not an address", address), "give IP:PORT"))
		}
	}
	if n.MemoryMB < minMemoryMB {
		problems = append(problems, problem("memory-mb", fmt.Sprintf("a router needs at least %d MB", minMemoryMB), "raise it"))
	}
	if n.HeadMemoryMB < 0 || n.MaxConnections < 0 || n.MaxDescriptors < 0 {
		problems = append(problems, problem("head-memory-mb, -max-connections, -max-descriptors", "a number is negative", "give 0 or more"))
	}
	if n.CPUShare <= 0 || n.CPUShare > maxCPUShare {
		problems = append(problems, problem("cpu-share", "it is not a valid number of cores", "give a number such as 0.4"))
	}
	if n.StopGrace <= 0 || n.RetryWindow <= 0 {
		problems = append(problems, problem("stop-grace, -retry-window", "a time is not positive", "give a time such as 8s"))
	}
	if n.ConfigPropagationLimit < minPropagationLimit || n.DrainPropagationLimit < minPropagationLimit {
		problems = append(problems, problem("config-within, -drain-within", "less than "+minPropagationLimit.String()+" is too short for a change to reach all instances", "give a time such as 2s"))
	}
	if n.EvacuationLimit != 0 && n.EvacuationLimit < minPropagationLimit {
		problems = append(problems, problem("evacuate-within",
			"less than "+minPropagationLimit.String()+" is too short for a change to reach all instances", "give a time such as 5s, or 0"))
	}
	if n.EndpointHeartbeat <= 0 {
		problems = append(problems, problem("endpoint-heartbeat", "it is not positive", "give a time such as 1200ms"))
	}
	if n.QuotaWindow < 0 || n.QuotaOverage < 0 || n.QuotaSlack < 0 {
		problems = append(problems, problem("quota-window, -quota-overage, -quota-slack", "a number is negative", "give 0 or more"))
	}
	if n.RetryRatio < 0 || n.FixedRetries < 0 {
		problems = append(problems, problem("retry-ratio, -retry-fixed", "a number is negative", "give 0 or more"))
	}
	return problems
}

// SeedAddresses returns the peer addresses of the seeds: their hosts with the port of PeerListen.
func (n *Node) SeedAddresses() []string {
	_, port, err := net.SplitHostPort(n.PeerListen)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range n.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = strings.Trim(seed, "[]")
		}
		if host != "" {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// RestartOnlyValues returns the values that take effect only after a restart, joined into one string for comparison.
func (n *Node) RestartOnlyValues() string {
	return strings.Join([]string{n.Instance, n.Domain, n.CallerListen, n.ReadyListen, n.MetricsListen, n.PeerListen, n.PlatformAddress}, " ")
}
