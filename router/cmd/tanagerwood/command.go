package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/settings"
)

// Exit codes of all subcommands; docs/OPERATIONS.md lists them for operators.
const (
	exitOK = subcommands.ExitSuccess
	// exitProblems: the input is not valid, or the operation was refused.
	exitProblems = subcommands.ExitFailure
	// exitUsage: a flag, an argument or an environment variable is wrong.
	exitUsage = subcommands.ExitUsageError
	// exitConflict: another operator changed the object first; nothing was written.
	exitConflict subcommands.ExitStatus = 3
	// exitUnreachable: the platform or an instance does not answer; nothing was written.
	exitUnreachable subcommands.ExitStatus = 4
	// exitUnknown: the reply was lost and reading back failed; the write may have taken effect.
	exitUnknown subcommands.ExitStatus = 5
)

const (
	// commandTimeout limits one platform call of a command. It is longer than a daemon's, because a person waits for the result.
	commandTimeout  = 5 * time.Second
	instanceTimeout = 5 * time.Second
	// retryDelay is the delay before a command retries after status 429 or a lost reply.
	retryDelay = time.Second
	// conflictDelay is the delay before a command retries after a conflict.
	conflictDelay = 200 * time.Millisecond
	// maxAttempts limits the attempts of a command that reads again and retries.
	maxAttempts = 10
)

// errUsage marks a wrong flag or argument.
var errUsage = errors.New("wrong usage")

// command is a subcommand. Its run function writes results to out; the returned error determines the exit code.
type command struct {
	name     string
	synopsis string
	usage    string
	// hasVerb means that the first argument is a verb, which flags may follow.
	hasVerb  bool
	setFlags func(*flag.FlagSet)
	// parse sets flags from the environment and from files; nil means settings.Parse.
	parse func(f *flag.FlagSet, arguments []string) error
	run   func(ctx context.Context, out io.Writer, arguments []string) error
}

func (c *command) Name() string     { return c.name }
func (c *command) Synopsis() string { return c.synopsis }

func (c *command) Usage() string {
	return "tanagerwood " + c.usage + `

Each flag may also be set by an environment variable: ` + settings.EnvPrefix + `_PLATFORM_URL for -platform-url, and so on.

`
}

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.setFlags != nil {
		c.setFlags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	arguments, err := c.parseArguments(f)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK // the flag set has printed the usage
	}
	if err == nil {
		err = c.run(ctx, os.Stdout, arguments)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "tanagerwood %s: %v\n", c.name, err)
	}
	return exitCode(err)
}

// parseArguments parses the flags after the verb and the environment variables, and returns the positional arguments.
func (c *command) parseArguments(f *flag.FlagSet) ([]string, error) {
	arguments := f.Args()
	if c.hasVerb && len(arguments) > 1 {
		if err := f.Parse(arguments[1:]); err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		arguments = append(arguments[:1:1], f.Args()...)
	}
	parse := c.parse
	if parse == nil {
		parse = settings.Parse
	}
	if err := parse(f, nil); err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return arguments, nil
}

// exitCode maps an error to the exit code of the process.
func exitCode(err error) subcommands.ExitStatus {
	var faultErr *fault.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case !errors.As(err, &faultErr):
		return exitProblems
	case faultErr.Kind == fault.Conflict:
		return exitConflict
	case faultErr.Kind == fault.PlatformUnavailable && faultErr.Outcome == openai.Unknown:
		return exitUnknown
	case faultErr.Kind == fault.PlatformUnavailable || faultErr.Kind == fault.EndpointFailed:
		return exitUnreachable
	}
	return exitProblems
}

// platformFlags are the flags of commands that call the platform.
type platformFlags struct {
	url   string
	token string
}

func (p *platformFlags) register(f *flag.FlagSet) {
	f.StringVar(&p.url, "platform-url", "", "base `URL` of the platform")
	f.StringVar(&p.token, "platform-token", "", "bearer `token` for the platform; better set by the environment")
}

func (p *platformFlags) client() (*platformhttp.Client, error) {
	if p.url == "" {
		return nil, fmt.Errorf("%w: set -platform-url or %s", errUsage, settings.EnvName("platform-url"))
	}
	return platformhttp.New(platformhttp.Options{BaseURL: p.url, Token: p.token, Timeout: commandTimeout}), nil
}

// urlList is a flag value with comma-separated base URLs.
type urlList []string

// Set implements flag.Value.
func (l *urlList) Set(text string) error {
	*l = nil
	for _, entry := range strings.Split(text, ",") {
		if entry = strings.TrimSuffix(strings.TrimSpace(entry), "/"); entry != "" {
			*l = append(*l, entry)
		}
	}
	return nil
}

// String implements flag.Value.
func (l *urlList) String() string { return strings.Join(*l, ",") }

// problemsError returns an error that lists all problems, one per line.
func problemsError(what string, problems catalogue.Problems) error {
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = "  " + p.String()
	}
	return fmt.Errorf("%s has %d problems:\n%s", what, len(problems), strings.Join(lines, "\n"))
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
