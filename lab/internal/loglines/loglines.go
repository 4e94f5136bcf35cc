// Package loglines reads the log lines of routers, which may have a prefix before the JSON object and other programs' lines between
// them.
package loglines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Read calls take with each line that is a JSON object of type L.
func Read[L any](in io.Reader, take func(L)) error {
	lines := bufio.NewReader(in)
	for {
		raw, err := lines.ReadBytes('\n')
		if i := bytes.IndexByte(raw, '{'); i >= 0 {
			var l L
			if json.Unmarshal(raw[i:], &l) == nil {
				take(l)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading the log: %w", err)
		}
	}
}
