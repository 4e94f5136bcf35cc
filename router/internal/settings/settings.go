// Package settings parses and validates the settings of "tanagerwood serve" and "tanagerwood node". Each setting is a flag or an
// environment variable TANAGERWOOD_…; validation reports all problems together.
package settings

import (
	"flag"
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"

	"tanagerwood.dev/api/catalogue"
)

// EnvPrefix is the prefix of all environment variable names.
const EnvPrefix = "TANAGERWOOD"

// Default values of the settings.
const (
	DefaultDrainNotice = 2 * time.Second
	// DefaultDrainTimeout is the documented default; it exceeds the longest answers of the current catalogues.
	DefaultDrainTimeout  = 15 * time.Minute
	DefaultEventCapacity = 65536
	DefaultLogLevel      = "info"
	DefaultHeadMemoryMB  = 6
	// defaultServeMemoryMB is the memory that the design allows for an instance.
	defaultServeMemoryMB = 128
)

// maxMillis is the maximum time.Duration in milliseconds.
const maxMillis = math.MaxInt64 / int64(time.Millisecond)

// Settings holds the settings of "tanagerwood serve".
type Settings struct {
	// Instance is the unique name of this instance; Domain and Region are its failure domain and region.
	Instance string
	Domain   string
	Region   string

	CallerListen   string
	PeerListen     string
	OperatorListen string
	// PeerURL is the base URL at which peers reach this instance.
	PeerURL string
	// Seeds are the peer URLs contacted at startup.
	Seeds     []string
	PeerToken string

	PlatformURL   string
	PlatformToken string

	DrainNotice  time.Duration
	DrainTimeout time.Duration

	LogLevel      string
	EventCapacity int

	// Scheduling replaces the catalogue's policy.scheduling if it is not empty.
	Scheduling string
	// RetryBudgetPercent replaces policy.retryBudgetPercent if it is not negative.
	RetryBudgetPercent int
	// MaxBodyBytes replaces policy.maxBodyBytes if it is positive.
	MaxBodyBytes int64

	// MemoryMB is the memory of the process.
	MemoryMB int
	// HeadMemoryMB is the memory for heads of requests beyond an allowance for each, MaxConnections the number of connections of callers;
	// zero derives it from the descriptors. MaxDescriptors is the number of descriptors; zero stands for the process's own limit.
	HeadMemoryMB   int
	MaxConnections int
	MaxDescriptors int

	parseProblems catalogue.Problems
}

// RegisterFlags defines the flags of the settings. Values that cannot be parsed are reported by Problems.
func RegisterFlags(fs *flag.FlagSet) *Settings {
	s := &Settings{}
	ownFlags := flag.NewFlagSet("settings", flag.ContinueOnError)
	s.defineFlags(ownFlags)
	ownFlags.VisitAll(func(f *flag.Flag) {
		fs.Var(&problemCollectingValue{Value: f.Value, name: f.Name, problems: &s.parseProblems}, f.Name, f.Usage)
	})
	return s
}

func (s *Settings) defineFlags(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "`name` of this instance, unique in the fleet")
	fs.StringVar(&s.Domain, "domain", "", "failure `domain` of this instance")
	fs.StringVar(&s.Region, "region", "", "`region` of this instance")
	fs.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:8080", "`address` for callers")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8081", "`address` for peers")
	fs.StringVar(&s.OperatorListen, "operator-listen", "127.0.0.1:8082", "`address` for operators")
	fs.StringVar(&s.PeerURL, "peer-url", "", "base `URL` at which peers reach this instance")
	fs.Var((*commaSeparatedList)(&s.Seeds), "seeds", "peer `URLs` to ask at the start, separated by commas")
	fs.StringVar(&s.PeerToken, "peer-token", "", "bearer `token` between peers")
	fs.StringVar(&s.PlatformURL, "platform-url", "", "base `URL` of the platform")
	fs.StringVar(&s.PlatformToken, "platform-token", "", "bearer `token` for the platform")
	fs.DurationVar(&s.DrainNotice, "drain-notice", DefaultDrainNotice, "`time` the listener serves on after not ready")
	fs.DurationVar(&s.DrainTimeout, "drain-timeout", DefaultDrainTimeout, "`time` open requests have to finish")
	fs.StringVar(&s.LogLevel, "log-level", DefaultLogLevel, "debug, info, warn or error")
	fs.IntVar(&s.EventCapacity, "event-capacity", DefaultEventCapacity, "`events` kept for the timeline")
	fs.StringVar(&s.Scheduling, "policy-scheduling", "", "`policy` that replaces the catalogue's policy.scheduling")
	fs.IntVar(&s.RetryBudgetPercent, "policy-retry-budget-percent", -1, "`percent` that replaces the catalogue's; -1 keeps it")
	fs.Int64Var(&s.MaxBodyBytes, "policy-max-body-bytes", 0, "`bytes` that replace the catalogue's; 0 keeps them")
	fs.IntVar(&s.MemoryMB, "memory-mb", defaultServeMemoryMB, "memory of the process in `MB`; garbage is collected more often from 0.7 of it")
	fs.IntVar(&s.HeadMemoryMB, "head-memory-mb", DefaultHeadMemoryMB, "memory for large heads of requests in `MB`")
	fs.IntVar(&s.MaxConnections, "max-connections", 0, "`number` of connections of callers; 0 derives it from the descriptors")
	fs.IntVar(&s.MaxDescriptors, "max-descriptors", 0, "`number` of descriptors that the process may open; 0 for its own limit")
}

// FromEnv parses settings from the variables of an environment file. Unknown names with the prefix TANAGERWOOD_ are problems.
func FromEnv(variables map[string]string) (*Settings, catalogue.Problems) {
	fs := flag.NewFlagSet("settings", flag.ContinueOnError)
	s := RegisterFlags(fs)
	var problems catalogue.Problems
	names := make([]string, 0, len(variables))
	for name := range variables {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if !strings.HasPrefix(name, EnvPrefix+"_") {
			continue
		}
		if err := fs.Set(flagName(name), variables[name]); err != nil {
			problems = append(problems, catalogue.Problem{
				Path: name, Message: "there is no such setting", Remedy: "correct the name; 'tanagerwood serve -help' lists the settings",
			})
		}
	}
	return s, append(problems, s.Problems()...)
}

// Parse parses flags and environment variables into the settings of RegisterFlags. Flags take precedence.
func Parse(fs *flag.FlagSet, arguments []string) error {
	return ff.Parse(fs, arguments, ff.WithEnvVarPrefix(EnvPrefix))
}

// EnvName returns the environment variable name of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

func flagName(envName string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(envName, EnvPrefix+"_"), "_", "-"))
}

// ApplyPolicyOverrides returns the catalogue's policy with the overrides of the settings applied.
func (s *Settings) ApplyPolicyOverrides(p catalogue.Policy) catalogue.Policy {
	if s.Scheduling != "" {
		p.Scheduling = catalogue.PolicyName(s.Scheduling)
	}
	if s.RetryBudgetPercent >= 0 {
		p.RetryBudgetPercent = s.RetryBudgetPercent
	}
	if s.MaxBodyBytes > 0 {
		p.MaxBodyBytes = s.MaxBodyBytes
	}
	return p
}

// LongestRequestDuration returns the longest time that a request of the catalogue may take: queue patience plus the longest answer
// of a model, or the timeout of a route.
func LongestRequestDuration(c catalogue.Catalogue) time.Duration {
	longest := time.Duration(0)
	classes := make(map[string]catalogue.Class, len(c.Classes))
	for _, class := range c.Classes {
		classes[class.Name] = class
	}
	for _, m := range c.Models {
		class := classes[m.Class]
		answer := class.MaxQueueWaitMS + class.FirstTokenMS + m.MaxOutputTokens*class.TokenIntervalMS
		longest = max(longest, time.Duration(min(answer, maxMillis))*time.Millisecond)
	}
	for _, r := range c.Routes {
		longest = max(longest, time.Duration(r.TimeoutMS)*time.Millisecond)
	}
	return longest
}

// DrainWarning returns a warning if the drain timeout is shorter than the longest request of the catalogue, otherwise "".
func (s *Settings) DrainWarning(c catalogue.Catalogue) string {
	longest := LongestRequestDuration(c)
	if s.DrainTimeout >= longest {
		return ""
	}
	return fmt.Sprintf("a planned stop may cut requests: -drain-timeout (%s) is %s, the longest work of the catalogue is %s; raise it",
		EnvName("drain-timeout"), s.DrainTimeout, longest)
}

// problemCollectingValue records a parse error as a problem instead of returning it, so that the remaining values are parsed.
type problemCollectingValue struct {
	flag.Value
	name     string
	problems *catalogue.Problems
}

// Set implements flag.Value.
func (l *problemCollectingValue) Set(text string) error {
	if err := l.Value.Set(text); err != nil {
		*l.problems = append(*l.problems, problem(l.name, fmt.Sprintf("%q cannot be read: %v", text, err), "write a number, or a time such as 2s"))
	}
	return nil
}

// String implements flag.Value. The flag package calls it on the zero value.
func (l *problemCollectingValue) String() string {
	if l.Value == nil {
		return ""
	}
	return l.Value.String()
}

// commaSeparatedList is a flag value with comma-separated entries.
type commaSeparatedList []string

// Set implements flag.Value.
func (l *commaSeparatedList) Set(text string) error {
	*l = nil
	for _, entry := range strings.Split(text, ",") {
		if entry = strings.TrimSpace(entry); entry != "" {
			*l = append(*l, entry)
		}
	}
	return nil
}

// String implements flag.Value.
func (l *commaSeparatedList) String() string { return strings.Join(*l, ",") }

func problem(flagName, message, remedy string) catalogue.Problem {
	return catalogue.Problem{Path: "-" + flagName + " (" + EnvName(flagName) + ")", Message: message, Remedy: remedy}
}
