// Package loglines reads JSON log lines of routers. A line may have a prefix before the JSON object, and lines of other
// programs may be mixed in.
package loglines

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Read calls handle for each line whose JSON object decodes as L, and skips all other lines.
func Read[L any](in io.Reader, handle func(L)) error {
	lines := bufio.NewReader(in)
	for {
		raw, err := lines.ReadBytes('\n')
		if i := bytes.IndexByte(raw, '{'); i >= 0 {
			var l L
			if json.Unmarshal(raw[i:], &l) == nil {
				handle(l)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}
