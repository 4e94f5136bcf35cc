package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

const statusPollInterval = 200 * time.Millisecond

type applyFlags struct {
	platformFlags
	catalogue string
	version   uint64
	create    bool
	dryRun    bool
	wait      time.Duration
}

func newApply() *command {
	c := &applyFlags{}
	return &command{
		name:     "apply",
		synopsis: "make a catalogue file the platform's newest revision",
		usage: `apply -catalogue FILE [-version N | -create] [-dry-run] [-wait TIME]

Checks the file, shows what it changes, and writes it only if the platform still has the version from which the file was
made (FILE.version, or -version). If another operator was faster, nothing is written and the exit code is 3.`,
		setFlags: func(f *flag.FlagSet) {
			c.register(f)
			f.StringVar(&c.catalogue, "catalogue", "catalogue.json", "catalogue `file`")
			f.Uint64Var(&c.version, "version", 0, "`version` that the file was made from, instead of FILE.version")
			f.BoolVar(&c.create, "create", false, "the platform has no catalogue yet")
			f.BoolVar(&c.dryRun, "dry-run", false, "only show the changes")
			f.DurationVar(&c.wait, "wait", 0, "`time` to wait until an instance has judged the revision; 0 does not wait")
		},
		run: c.run,
	}
}

func (c *applyFlags) run(ctx context.Context, out io.Writer, _ []string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	data, err := os.ReadFile(c.catalogue)
	if err != nil {
		return err
	}
	if _, problems := catalogue.Check(data); len(problems) > 0 {
		return problemsError(c.catalogue, problems)
	}
	base, err := c.baseVersion()
	if err != nil {
		return err
	}
	current, err := currentCatalogue(ctx, client)
	if err != nil {
		return err
	}
	if current.Version != base {
		return versionConflict(base, current.Version)
	}
	changes, err := diff(current.Value, data)
	if err != nil {
		return err
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	if len(changes) == 0 {
		fmt.Fprintf(out, "no changes; version %d stays\n", base)
		return nil
	}
	if c.dryRun {
		return nil
	}
	return c.write(ctx, out, client, base, data)
}

func (c *applyFlags) write(ctx context.Context, out io.Writer, client port.Platform, baseVersion uint64, data []byte) error {
	version, err := writeRevision(ctx, client, baseVersion, data)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "applied as version %d\n", version)
	if err := writeVersion(c.catalogue, version); err != nil {
		return fmt.Errorf("version %d is applied, but %s cannot be written: %w", version, c.catalogue+versionSuffix, err)
	}
	if c.wait > 0 {
		return waitForValidation(ctx, out, client, version, c.wait)
	}
	return nil
}

// baseVersion returns the version from which the file was made; 0 if there is no catalogue yet.
func (c *applyFlags) baseVersion() (uint64, error) {
	switch {
	case c.create && c.version > 0:
		return 0, fmt.Errorf("%w: -create and -version exclude each other", errUsage)
	case c.create:
		return 0, nil
	case c.version > 0:
		return c.version, nil
	}
	return readVersion(c.catalogue)
}

// currentCatalogue returns the platform's catalogue, or version 0 and an empty object if there is none yet.
func currentCatalogue(ctx context.Context, client port.Platform) (platform.Object, error) {
	o, err := client.Get(ctx, platform.KindCatalogue, platform.SingletonName)
	if fault.Is(err, fault.NotFound) {
		return platform.Object{Value: json.RawMessage(`{}`)}, nil
	}
	return o, err
}

// writeRevision writes a revision without retries. If the reply is lost, it reads the catalogue back to find out whether the
// write took effect.
func writeRevision(ctx context.Context, client port.Platform, baseVersion uint64, data []byte) (uint64, error) {
	var version uint64
	var err error
	if baseVersion == 0 {
		version, err = client.Create(ctx, platform.KindCatalogue, platform.SingletonName, data)
	} else {
		version, err = client.Replace(ctx, platform.KindCatalogue, platform.SingletonName, baseVersion, data)
	}
	if err == nil {
		return version, nil
	}
	var conflict *platformhttp.VersionConflictError
	if errors.As(err, &conflict) {
		return 0, versionConflict(baseVersion, conflict.CurrentVersion)
	}
	if fault.As(err).Outcome != openai.Unknown {
		return 0, err
	}
	return readBack(ctx, client, baseVersion, data, err)
}

func readBack(ctx context.Context, client port.Platform, baseVersion uint64, data []byte, writeErr error) (uint64, error) {
	current, err := currentCatalogue(ctx, client)
	switch {
	case err != nil:
		const message = "the platform's reply was lost and the catalogue cannot be read back; run the same apply again, it takes effect at most once"
		return 0, fault.Wrap(errors.Join(writeErr, err), fault.PlatformUnavailable, openai.Unknown, message)
	case current.Version > baseVersion && sameJSON(current.Value, data):
		return current.Version, nil
	case current.Version > baseVersion:
		return 0, versionConflict(baseVersion, current.Version)
	}
	const message = "the platform's reply was lost and the write has not taken effect so far; run the same apply again, it takes effect at most once"
	return 0, fault.Wrap(writeErr, fault.PlatformUnavailable, openai.Unknown, message)
}

func versionConflict(baseVersion, currentVersion uint64) error {
	message := fmt.Sprintf("the file was made from version %d, but the platform has version %d; "+
		"nothing was written: get the newer version, repeat your change in it and apply again", baseVersion, currentVersion)
	return fault.New(fault.Conflict, message)
}

func sameJSON(a, b []byte) bool {
	var left, right bytes.Buffer
	return json.Compact(&left, a) == nil && json.Compact(&right, b) == nil && bytes.Equal(left.Bytes(), right.Bytes())
}

// waitForValidation waits until an instance has validated the revision or a newer one.
func waitForValidation(ctx context.Context, out io.Writer, client port.Platform, version uint64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		status, err := readStatus(ctx, client)
		if err == nil && status.Revision >= version {
			return reportValidation(out, status)
		}
		if sleep(ctx, statusPollInterval) != nil {
			return fmt.Errorf("no instance has judged version %d within %s; see 'tanagerwood status'", version, limit)
		}
	}
}

func reportValidation(out io.Writer, status catalogue.Status) error {
	if !status.Valid {
		return problemsError(fmt.Sprintf("revision %d is not in force: it", status.Revision), status.Problems)
	}
	fmt.Fprintf(out, "revision %d is valid, judged by %s\n", status.Revision, status.ValidatedBy)
	return nil
}

func readStatus(ctx context.Context, client port.Platform) (catalogue.Status, error) {
	var status catalogue.Status
	o, err := client.Get(ctx, platform.KindCatalogueStatus, platform.SingletonName)
	if err != nil {
		return status, err
	}
	return status, json.Unmarshal(o.Value, &status)
}
