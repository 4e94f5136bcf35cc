package settings

import (
	"fmt"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"

	"tanagerwood.dev/api/catalogue"
)

const (
	maxDrainNotice   = 10 * time.Minute
	maxDrainTimeout  = 24 * time.Hour
	minEventCapacity = 1024
	// maxEventCapacity keeps the timeline, at about 200 bytes per event, below the daemon's memory limit of 128 MB.
	maxEventCapacity = 500_000
	minTokenBytes    = 16
	minMemoryMB      = 32
	minBodyBytes     = 1 << 10
	maxBodyBytes     = 1 << 30
)

// instancePattern excludes dots, which separate the parts of attempt IDs.
var instancePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$`)

// Problems returns all validation problems of the settings, including values that could not be parsed.
func (s *Settings) Problems() catalogue.Problems {
	v := &validator{problems: append(catalogue.Problems{}, s.parseProblems...)}
	v.identity(s)
	v.addresses(s)
	v.tokens(s)
	v.drain(s)
	v.operation(s)
	v.policy(s)
	return v.problems
}

type validator struct{ problems catalogue.Problems }

func (v *validator) check(ok bool, flagName, remedy, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, problem(flagName, fmt.Sprintf(format, args...), remedy))
	}
}

func (v *validator) identity(s *Settings) {
	v.check(instancePattern.MatchString(s.Instance), "instance", "use 1 to 63 letters, digits, '_' or '-'", "%q is not an instance name", s.Instance)
	v.check(strings.TrimSpace(s.Domain) != "", "domain", "name the failure domain that this instance runs in", "no domain is set")
	v.check(strings.TrimSpace(s.Region) != "", "region", "name the region that this instance runs in", "no region is set")
}

func (v *validator) addresses(s *Settings) {
	flagByAddress := make(map[string]string)
	for _, l := range []struct{ flagName, address string }{
		{"caller-listen", s.CallerListen}, {"peer-listen", s.PeerListen}, {"operator-listen", s.OperatorListen},
	} {
		_, port, err := net.SplitHostPort(l.address)
		number, numberErr := strconv.ParseUint(port, 10, 16)
		v.check(err == nil && numberErr == nil, l.flagName, "write host:port, such as 10.0.0.5:8080", "%q is not an address to listen on", l.address)
		first, taken := flagByAddress[l.address]
		v.check(!taken || number == 0, l.flagName, "give each listener its own port", "%s is already the address of -%s", l.address, first)
		flagByAddress[l.address] = l.flagName
	}
	v.url("peer-url", s.PeerURL)
	for _, seed := range s.Seeds {
		v.url("seeds", seed)
	}
	v.url("platform-url", s.PlatformURL)
}

func (v *validator) url(flagName, text string) {
	const remedy = "write an absolute URL without path, such as http://10.0.0.5:8081"
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Hostname() == "" || strings.TrimSuffix(u.Path, "/") != "" ||
		u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		v.check(false, flagName, remedy, "%q is not a base URL", redact(u, text))
		return
	}
	ip := net.ParseIP(u.Hostname())
	v.check(ip == nil || !ip.IsUnspecified(), flagName, remedy, "%q cannot be reached: it names no host", text)
}

// redact removes passwords from a URL before it appears in a message.
func redact(u *url.URL, text string) string {
	if u != nil && u.User != nil {
		return u.Redacted()
	}
	if u == nil && strings.Contains(text, "@") {
		return "…"
	}
	return text
}

func (v *validator) tokens(s *Settings) {
	for _, t := range []struct{ flagName, token string }{{"peer-token", s.PeerToken}, {"platform-token", s.PlatformToken}} {
		v.check(len(t.token) >= minTokenBytes && !strings.ContainsAny(t.token, " \t\r\n"), t.flagName,
			fmt.Sprintf("set a token of at least %d bytes without spaces, best by the environment variable", minTokenBytes),
			"the token is missing, too short or has spaces")
	}
	v.check(s.PeerToken == "" || s.PeerToken != s.PlatformToken, "peer-token", "use two different tokens", "it equals the platform's token")
}

func (v *validator) drain(s *Settings) {
	v.check(s.DrainNotice >= 0 && s.DrainNotice <= maxDrainNotice, "drain-notice",
		fmt.Sprintf("set it between 0s and %s", maxDrainNotice), "%s is out of bounds", s.DrainNotice)
	v.check(s.DrainTimeout > 0 && s.DrainTimeout <= maxDrainTimeout, "drain-timeout",
		fmt.Sprintf("set it between 1s and %s", maxDrainTimeout), "%s is out of bounds", s.DrainTimeout)
}

func (v *validator) operation(s *Settings) {
	switch s.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		v.check(false, "log-level", "use debug, info, warn or error", "%q is not a level", s.LogLevel)
	}
	v.check(s.MemoryMB >= minMemoryMB, "memory-mb", "raise it", "a router needs at least %d MB", minMemoryMB)
	v.check(s.HeadMemoryMB >= 0 && s.MaxConnections >= 0 && s.MaxDescriptors >= 0, "head-memory-mb, -max-connections, -max-descriptors",
		"give 0 or more", "a number is negative")
	v.check(s.EventCapacity >= minEventCapacity && s.EventCapacity <= maxEventCapacity, "event-capacity",
		fmt.Sprintf("set it between %d and %d", minEventCapacity, maxEventCapacity), "%d is out of bounds", s.EventCapacity)
}

func (v *validator) policy(s *Settings) {
	switch catalogue.PolicyName(s.Scheduling) {
	case "", catalogue.PolicyReserve, catalogue.PolicyTwoChoices, catalogue.PolicyRandom, catalogue.PolicyLeastLoaded, catalogue.PolicyPrefillFirst:
	default:
		v.check(false, "policy-scheduling", "use reserve, two-choices, random, least-loaded or prefill-first", "%q is not a policy", s.Scheduling)
	}
	v.check(s.RetryBudgetPercent >= -1 && s.RetryBudgetPercent <= 100, "policy-retry-budget-percent",
		"set it between 0 and 100, or -1 for the catalogue's", "%d is out of bounds", s.RetryBudgetPercent)
	v.check(s.MaxBodyBytes == 0 || (s.MaxBodyBytes >= minBodyBytes && s.MaxBodyBytes <= maxBodyBytes), "policy-max-body-bytes",
		fmt.Sprintf("set it between %d and %d, or 0 for the catalogue's", minBodyBytes, maxBodyBytes), "%d is out of bounds", s.MaxBodyBytes)
}
