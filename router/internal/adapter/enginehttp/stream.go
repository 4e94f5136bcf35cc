package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"tanagerwood.dev/api/h1"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/fault"
)

const (
	// maxEventBytes bounds one server-sent event, so that an engine cannot exhaust the router's memory.
	maxEventBytes    = 1 << 20
	streamBufferSize = 4 << 10
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

var errEventTooLong = errors.New("server-sent event longer than 1 MiB")

// stream reads the server-sent events of a decode call.
type stream struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	client *Client
	body   io.ReadCloser
	reader *bufio.Reader
	// timeout bounds the wait for the next chunk: FirstTokenTimeout for the first one, ProgressTimeout for the others.
	timeout time.Duration
	done    bool
	// memory is what the event that is read takes.
	memory membudget.Holding
}

func newStream(ctx context.Context, cancel context.CancelCauseFunc, c *Client, body io.ReadCloser) *stream {
	return &stream{
		ctx: ctx, cancel: cancel, client: c, body: body,
		reader: bufio.NewReaderSize(body, streamBufferSize), timeout: c.opts.FirstTokenTimeout, memory: c.memory.Open(),
	}
}

// Next implements port.TokenStream. The progress deadline applies to a chunk rather than to bytes received, so that
// keep-alive comments do not count as progress. It does not run between calls, while the consumer is slow to read tokens.
func (s *stream) Next() (openai.Completion, error) {
	if s.done {
		return openai.Completion{}, io.EOF
	}
	timeout := s.timeout
	s.timeout = s.client.opts.ProgressTimeout
	watchdog := time.AfterFunc(timeout, func() { s.cancel(&SilentConnectionError{Waited: timeout}) })
	defer watchdog.Stop()
	data, err := readEvent(s.reader, &s.memory)
	defer s.memory.Close()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return openai.Completion{}, s.client.transportError(s.ctx, err, true)
	}
	if bytes.Equal(data, doneMarker) {
		// Reading to the end returns the connection to the pool, and shows whether the trailer is valid.
		if _, err := io.Copy(io.Discard, io.LimitReader(s.reader, maxErrorBodyBytes)); errors.Is(err, h1.ErrInvalidResponse) {
			return openai.Completion{}, s.client.transportError(s.ctx, err, true)
		}
		s.done = true
		return openai.Completion{}, io.EOF
	}
	return parseChunk(data)
}

// Close implements io.Closer. It may be called at any time.
func (s *stream) Close() error {
	s.cancel(nil)
	return s.body.Close()
}

func parseChunk(data []byte) (openai.Completion, error) {
	var chunk struct {
		openai.Completion
		Error *openai.Error `json:"error"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return openai.Completion{}, fault.Wrap(err, fault.EndpointFailed, openai.Unknown, "the engine sent a chunk that is not valid")
	}
	if chunk.Error != nil {
		return openai.Completion{}, fault.New(fault.EndpointFailed, "the engine ended the stream: "+chunk.Error.Message).WithOutcome(openai.Unknown)
	}
	return chunk.Completion, nil
}

// readEvent returns the data of the next event that has any. Data lines of one event are joined by newlines.
func readEvent(r *bufio.Reader, memory *membudget.Holding) ([]byte, error) {
	var data []byte
	hasData := false
	for {
		line, err := readLine(r, int64(cap(data)), memory)
		if err != nil {
			return nil, err
		}
		if len(line) == 0 {
			if hasData {
				return data, nil
			}
			continue
		}
		value, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if hasData {
			data = append(data, '\n')
		}
		if len(data)+len(value) > maxEventBytes {
			return nil, errEventTooLong
		}
		data = append(data, value...)
		hasData = true
	}
}

// readLine reads a line of an event that takes held bytes so far.
func readLine(r *bufio.Reader, held int64, memory *membudget.Holding) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > maxEventBytes {
			return nil, errEventTooLong
		}
		if err := memory.Resize(held + int64(cap(line))); err != nil {
			return nil, err
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
