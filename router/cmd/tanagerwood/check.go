package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/settings"
)

type checkFlags struct {
	catalogue string
	settings  string
}

func newCheck() *command {
	c := &checkFlags{}
	return &command{
		name:     "check",
		synopsis: "print all problems of a catalogue and of settings",
		usage: `check [-catalogue FILE] [-settings FILE]

Prints every problem with its place and its remedy, and exits with 1 if there is one. With both files, it also warns if
a planned stop may cut the longest work of the catalogue.`,
		setFlags: func(f *flag.FlagSet) {
			f.StringVar(&c.catalogue, "catalogue", "", "catalogue `file`")
			f.StringVar(&c.settings, "settings", "", "environment `file` with settings of serve, one NAME=VALUE per line")
		},
		run: c.run,
	}
}

func (c *checkFlags) run(_ context.Context, out io.Writer, _ []string) error {
	if c.catalogue == "" && c.settings == "" {
		return fmt.Errorf("%w: name a file with -catalogue or -settings", errUsage)
	}
	checked, err := c.checkCatalogue(out)
	s, settingsErr := c.checkSettings(out)
	if s != nil && err == nil && c.catalogue != "" {
		if warning := s.DrainWarning(checked); warning != "" {
			fmt.Fprintln(out, "warning:", warning)
		}
	}
	return errors.Join(err, settingsErr)
}

func (c *checkFlags) checkCatalogue(out io.Writer) (catalogue.Catalogue, error) {
	if c.catalogue == "" {
		return catalogue.Catalogue{}, nil
	}
	data, err := os.ReadFile(c.catalogue)
	if err != nil {
		return catalogue.Catalogue{}, err
	}
	checked, problems := catalogue.Check(data)
	if len(problems) > 0 {
		return checked, problemsError(c.catalogue, problems)
	}
	fmt.Fprintf(out, "%s: valid; %d customers, %d models, %d pools, %d routes\n",
		c.catalogue, len(checked.Customers), len(checked.Models), len(checked.Pools), len(checked.Routes))
	return checked, nil
}

func (c *checkFlags) checkSettings(out io.Writer) (*settings.Settings, error) {
	if c.settings == "" {
		return nil, nil
	}
	data, err := os.ReadFile(c.settings)
	if err != nil {
		return nil, err
	}
	variables, problems := parseEnv(data)
	s, more := settings.FromEnv(variables)
	if problems = append(problems, more...); len(problems) > 0 {
		return nil, problemsError(c.settings, problems)
	}
	fmt.Fprintf(out, "%s: valid\n", c.settings)
	return s, nil
}

// parseEnv parses NAME=VALUE lines. Empty lines and lines that begin with # are skipped; quotes are part of the value.
func parseEnv(data []byte) (map[string]string, catalogue.Problems) {
	variables := make(map[string]string)
	var problems catalogue.Problems
	lines := bufio.NewScanner(bytes.NewReader(data))
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, value, ok := strings.Cut(line, "=")
		_, twice := variables[name]
		if !ok || twice {
			// The message omits the line, because it may contain a token.
			problems = append(problems, catalogue.Problem{
				Path:    fmt.Sprintf("line %d", number),
				Message: "not a new NAME=VALUE",
				Remedy:  "write one NAME=VALUE per line, each name once",
			})
			continue
		}
		variables[name] = value
	}
	if err := lines.Err(); err != nil {
		problems = append(problems, catalogue.Problem{Path: "file", Message: err.Error(), Remedy: "shorten the lines"})
	}
	return variables, problems
}
