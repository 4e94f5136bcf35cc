// Package settings holds the typed settings of "tanagerwood serve". Each setting is a flag or an environment variable
// TANAGERWOOD_…; all problems are reported at once.
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

// EnvPrefix begins the name of each environment variable.
const EnvPrefix = "TANAGERWOOD"

// Defaults of settings.
const (
	DefaultDrainNotice = 2 * time.Second
	// DefaultDrainTimeout is the page's default; it exceeds the longest answers of the present catalogues.
	DefaultDrainTimeout  = 15 * time.Minute
	DefaultEventCapacity = 65536
	DefaultLogLevel      = "info"
)

// maxMillis is the longest time.Duration in milliseconds.
const maxMillis = math.MaxInt64 / int64(time.Millisecond)

// Settings are the settings of a router process.
type Settings struct {
	// Instance is the name of this instance, Domain and Region where it runs.
	Instance string
	Domain   string
	Region   string

	CallerListen   string
	PeerListen     string
	OperatorListen string
	// PeerURL is the base URL at which peers reach this instance.
	PeerURL string
	// Seeds are peer URLs that are asked at the start.
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

	unreadable catalogue.Problems
}

// RegisterFlags defines the flags of the settings.
func RegisterFlags(fs *flag.FlagSet) *Settings {
	s := &Settings{}
	own := flag.NewFlagSet("settings", flag.ContinueOnError)
	s.define(own)
	own.VisitAll(func(f *flag.Flag) {
		fs.Var(&lenient{Value: f.Value, name: f.Name, problems: &s.unreadable}, f.Name, f.Usage)
	})
	return s
}

func (s *Settings) define(fs *flag.FlagSet) {
	fs.StringVar(&s.Instance, "instance", "", "`name` of this instance, unique in the fleet")
	fs.StringVar(&s.Domain, "domain", "", "failure `domain` of this instance")
	fs.StringVar(&s.Region, "region", "", "`region` of this instance")
	fs.StringVar(&s.CallerListen, "caller-listen", "127.0.0.1:8080", "`address` for callers")
	fs.StringVar(&s.PeerListen, "peer-listen", "127.0.0.1:8081", "`address` for peers")
	fs.StringVar(&s.OperatorListen, "operator-listen", "127.0.0.1:8082", "`address` for operators")
	fs.StringVar(&s.PeerURL, "peer-url", "", "base `URL` at which peers reach this instance")
	fs.Var((*list)(&s.Seeds), "seeds", "peer `URLs` to ask at the start, separated by commas")
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
}

// FromEnv reads settings from variables as an environment file has them. Unknown TANAGERWOOD_ names are problems.
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

// Parse reads flags and environment variables into the settings of Register. Flags win.
func Parse(fs *flag.FlagSet, arguments []string) error {
	return ff.Parse(fs, arguments, ff.WithEnvVarPrefix(EnvPrefix))
}

// EnvName is the environment variable of a flag.
func EnvName(flagName string) string {
	return EnvPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flagName, "-", "_"))
}

func flagName(envName string) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(envName, EnvPrefix+"_"), "_", "-"))
}

// ApplyPolicyOverrides applies the overrides to the catalogue's policy.
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

// LongestRequestDuration is the longest queue patience plus the longest answer, or the longest service call, of a catalogue.
func LongestRequestDuration(c catalogue.Catalogue) time.Duration {
	longest := time.Duration(0)
	classes := make(map[string]catalogue.Class, len(c.Classes))
	for _, class := range c.Classes {
		classes[class.Name] = class
	}
	for _, m := range c.Models {
		class := classes[m.Class]
		answer := class.QueuePatienceMS + class.FirstTokenMS + m.MaxOutputTokens*class.TokenIntervalMS
		longest = max(longest, time.Duration(min(answer, maxMillis))*time.Millisecond)
	}
	for _, r := range c.Routes {
		longest = max(longest, time.Duration(r.TimeoutMS)*time.Millisecond)
	}
	return longest
}

// DrainWarning tells that a planned stop may cut requests of the catalogue; it is empty if it does not.
func (s *Settings) DrainWarning(c catalogue.Catalogue) string {
	longest := LongestRequestDuration(c)
	if s.DrainTimeout >= longest {
		return ""
	}
	return fmt.Sprintf("a planned stop may cut requests: -drain-timeout (%s) is %s, the longest work of the catalogue is %s; raise it",
		EnvName("drain-timeout"), s.DrainTimeout, longest)
}

// lenient keeps a value that cannot be read as a problem, so that the others are still read.
type lenient struct {
	flag.Value
	name     string
	problems *catalogue.Problems
}

// Set implements flag.Value.
func (l *lenient) Set(text string) error {
	if err := l.Value.Set(text); err != nil {
		*l.problems = append(*l.problems, problem(l.name, fmt.Sprintf("%q cannot be read: %v", text, err), "write a number, or a time such as 2s"))
	}
	return nil
}

// String implements flag.Value. The flag package calls it on a zero value.
func (l *lenient) String() string {
	if l.Value == nil {
		return ""
	}
	return l.Value.String()
}

// list is a flag with texts separated by commas.
type list []string

// Set implements flag.Value.
func (l *list) Set(text string) error {
	*l = nil
	for _, entry := range strings.Split(text, ",") {
		if entry = strings.TrimSpace(entry); entry != "" {
			*l = append(*l, entry)
		}
	}
	return nil
}

// String implements flag.Value.
func (l *list) String() string { return strings.Join(*l, ",") }

func problem(flagName, message, remedy string) catalogue.Problem {
	return catalogue.Problem{Path: "-" + flagName + " (" + EnvName(flagName) + ")", Message: message, Remedy: remedy}
}
