package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"tanagerwood.dev/api/openai"
)

// Size limits of one answer.
const (
	maxLineBytes   = 1 << 20
	maxAnswerBytes = 16 << 20
	maxErrorBytes  = 64 << 10
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// Answer holds the content of a received stream.
type Answer struct {
	Text string
	// Chunks is the number of chunks with text.
	Chunks int64
	First  time.Duration
	Last   time.Duration
	Usage  openai.Usage
	// Done reports whether the end marker was received; Failure is the error event, or nil if none was received.
	Done    bool
	Failure *openai.Error
}

type streamChunk struct {
	openai.Completion
	Error *openai.Error `json:"error"`
}

// ReadStream reads server-sent events until the end marker, an error event or the end of the connection. elapsed returns
// the time since the start of the run.
func ReadStream(r io.Reader, elapsed func() time.Duration) (Answer, error) {
	var a Answer
	var text strings.Builder
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			a.Done = true
			break
		}
		if err := a.add(data, &text, elapsed()); err != nil {
			return a.with(text.String()), err
		}
		if a.Failure != nil || text.Len() > maxAnswerBytes {
			break
		}
	}
	return a.with(text.String()), lines.Err()
}

func (a Answer) with(text string) Answer {
	a.Text = text
	return a
}

func (a *Answer) add(data []byte, text *strings.Builder, at time.Duration) error {
	var chunk streamChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("decode chunk: %w", err)
	}
	a.Failure = chunk.Error
	if chunk.Usage != nil {
		a.Usage = *chunk.Usage
	}
	for _, choice := range chunk.Choices {
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		if a.Chunks == 0 {
			a.First = at
		}
		a.Last = at
		a.Chunks++
		text.WriteString(choice.Delta.Content)
	}
	return nil
}

// decodeError decodes an error response. A body that is not a valid error document yields an empty error.
func decodeError(r io.Reader) openai.Error {
	var body openai.ErrorBody
	raw, err := io.ReadAll(io.LimitReader(r, maxErrorBytes))
	if err != nil || json.Unmarshal(raw, &body) != nil {
		return openai.Error{}
	}
	return body.Error
}
