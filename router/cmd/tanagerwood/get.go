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
	"path/filepath"
	"strconv"
	"strings"

	"tanagerwood.dev/api/platform"
)

// versionSuffix is the suffix of the file next to a catalogue file that holds the version from which the catalogue was made.
const versionSuffix = ".version"

type getFlags struct {
	platformFlags
	catalogue string
	force     bool
}

func newGet() *command {
	c := &getFlags{}
	return &command{
		name:     "get",
		synopsis: "write the platform's catalogue and its version into files",
		usage: `get -catalogue FILE [-force]

Writes the catalogue into FILE and its version into FILE.version, from which 'apply' knows what was changed.`,
		setFlags: func(f *flag.FlagSet) {
			c.register(f)
			f.StringVar(&c.catalogue, "catalogue", "catalogue.json", "`file` to write")
			f.BoolVar(&c.force, "force", false, "overwrite the file")
		},
		run: c.run,
	}
}

func (c *getFlags) run(ctx context.Context, out io.Writer, _ []string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if _, err := os.Stat(c.catalogue); err == nil && !c.force {
		return fmt.Errorf("%s exists and may hold changes; remove it or use -force", c.catalogue)
	}
	o, err := client.Get(ctx, platform.KindCatalogue, platform.SingletonName)
	if err != nil {
		return err
	}
	if err := writeCatalogue(c.catalogue, o); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s: version %d\n", c.catalogue, o.Version)
	return nil
}

// writeCatalogue writes the version file last, because apply refuses a catalogue file without one.
func writeCatalogue(file string, o platform.Object) error {
	var text bytes.Buffer
	if err := json.Indent(&text, o.Value, "", "  "); err != nil {
		return err
	}
	text.WriteByte('\n')
	if err := os.Remove(file + versionSuffix); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := writeFile(file, text.Bytes()); err != nil {
		return err
	}
	return writeVersion(file, o.Version)
}

func writeVersion(file string, version uint64) error {
	return writeFile(file+versionSuffix, []byte(strconv.FormatUint(version, 10)+"\n"))
}

// writeFile replaces a file by a rename, so that a crash leaves either the old or the new content.
func writeFile(file string, data []byte) error {
	tempFile, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".tmp*")
	if err != nil {
		return err
	}
	defer os.Remove(tempFile.Name()) // has no effect after the rename
	_, err = tempFile.Write(data)
	if err := errors.Join(err, tempFile.Close()); err != nil {
		return err
	}
	return os.Rename(tempFile.Name(), file)
}

func readVersion(file string) (uint64, error) {
	data, err := os.ReadFile(file + versionSuffix)
	if err != nil {
		return 0, fmt.Errorf("the version that %s was made from is not known; make it with 'tanagerwood get', or use -version or -create: %w", file, err)
	}
	version, err := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 64)
	if err != nil || version == 0 {
		return 0, fmt.Errorf("%s holds no version; make the file again with 'tanagerwood get'", file+versionSuffix)
	}
	return version, nil
}
