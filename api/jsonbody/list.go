package jsonbody

import (
	"bytes"
	"errors"
	"io"

	"tanagerwood.dev/api/membudget"
)

const (
	// readBytes is the size of the parts in which a body is read.
	readBytes = 4 << 10
	// maxEnvelopeBytes limits what a body holds beside the elements of its list.
	maxEnvelopeBytes = 64 << 10
	// listDepth is the number of open brackets within the list, but outside its elements.
	listDepth = 2
	// whitespace holds the characters that JSON allows between tokens.
	whitespace = " \t\r\n"
)

var (
	// ErrNotWhole means that a body is not one JSON object, or that it was cut off.
	ErrNotWhole = errors.New("jsonbody: the body is not one whole JSON object")
	// ErrTooLong means that a body exceeds a limit.
	ErrTooLong = errors.New("jsonbody: the body is too long")
)

// Element is an element of a list. Its bytes are valid until the next element is read.
type Element struct {
	Raw []byte
	// Truncated is set if the element is longer than the limit; Raw is then its beginning.
	Truncated bool
}

// ListLimits bound what is read of a body.
type ListLimits struct {
	// ElementBytes limits the part of an element that is kept, BodyBytes the whole body.
	ElementBytes, BodyBytes int64
	// Memory accounts for the element that is being read. It may be nil.
	Memory *membudget.Holding
}

// ReadList reads a JSON object with a list that may be larger than the memory. It passes the elements of the list to yield, one after the
// other, and returns the object without them. It finds them by brackets and quotes alone: what an element holds need not be valid JSON.
// If it returns an error, the body may have been cut off, and the elements that were passed must not be used. An error of yield ends it.
func ReadList(body io.Reader, list string, limits ListLimits, yield func(Element) error) (envelope []byte, err error) {
	if limits.Memory == nil {
		limits.Memory = &membudget.Holding{}
	}
	s := &listReader{key: []byte(`"` + list + `"`), limits: limits, yield: yield}
	body = io.LimitReader(body, limits.BodyBytes+1)
	part, total := make([]byte, readBytes), int64(0)
	for {
		n, err := body.Read(part)
		if total += int64(n); total > limits.BodyBytes {
			return nil, ErrTooLong
		}
		if err := s.consume(part[:n]); err != nil {
			return nil, err
		}
		switch {
		case errors.Is(err, io.EOF) && s.ended:
			return s.envelope, nil
		case errors.Is(err, io.EOF):
			return nil, ErrNotWhole
		case err != nil:
			return nil, err
		}
	}
}

// listReader is the state of ReadList between two parts of a body.
type listReader struct {
	key    []byte
	limits ListLimits
	yield  func(Element) error

	// depth is the number of open brackets. ended is set after the one that closes the object.
	depth                    int
	inString, escaped, ended bool
	// inList is set between the brackets of the list.
	inList    bool
	element   []byte
	truncated bool
	envelope  []byte
}

// consume processes the next part of the body.
func (s *listReader) consume(part []byte) error {
	for len(part) > 0 {
		n := s.plainBytes(part)
		if err := s.keep(part[:n]); err != nil {
			return err
		}
		if n == len(part) {
			return nil
		}
		if err := s.consumeToken(part[n : n+1]); err != nil {
			return err
		}
		part = part[n+1:]
	}
	return nil
}

// plainBytes returns the number of bytes up to the next one that may change the state.
func (s *listReader) plainBytes(part []byte) int {
	if s.escaped {
		return 0
	}
	if !s.inString {
		return indexOr(bytes.IndexAny(part, `"{}[],`), len(part))
	}
	end := indexOr(bytes.IndexByte(part, '"'), len(part))
	return indexOr(bytes.IndexByte(part[:end], '\\'), end)
}

// indexOr returns an index that was found, and otherwise the alternative.
func indexOr(index, alternative int) int {
	if index >= 0 {
		return index
	}
	return alternative
}

// consumeToken processes a byte that may change the state.
func (s *listReader) consumeToken(token []byte) error {
	switch c := token[0]; {
	case s.escaped:
		s.escaped = false
	case s.inString && c == '\\':
		s.escaped = true
	case c == '"':
		s.inString = !s.inString
	case s.inString:
	case c == '{' || c == '[':
		return s.open(token)
	case c == '}' || c == ']':
		return s.close(token)
	case c == ',' && s.inList && s.depth == listDepth:
		return s.endElement()
	}
	return s.keep(token)
}

// open processes an opening bracket.
func (s *listReader) open(token []byte) error {
	if s.ended || s.depth == 0 && token[0] != '{' {
		return ErrNotWhole
	}
	begins := token[0] == '[' && s.depth == listDepth-1 && s.expectsList()
	s.depth++
	err := s.keep(token)
	s.inList = s.inList || begins
	return err
}

// close processes a closing bracket.
func (s *listReader) close(token []byte) error {
	if s.depth == 0 || s.depth == 1 && token[0] != '}' {
		return ErrNotWhole
	}
	if s.inList && s.depth == listDepth {
		if err := s.endElement(); err != nil {
			return err
		}
		s.inList = false
	}
	err := s.keep(token)
	s.depth--
	s.ended = s.depth == 0
	return err
}

// expectsList reports whether the object's next value is that of the list.
func (s *listReader) expectsList() bool {
	before, found := bytes.CutSuffix(bytes.TrimRight(s.envelope, whitespace), []byte(":"))
	before, isKey := bytes.CutSuffix(bytes.TrimRight(before, whitespace), s.key)
	before = bytes.TrimRight(before, whitespace)
	return found && isKey && len(before) > 0 && (before[len(before)-1] == '{' || before[len(before)-1] == ',')
}

// keep appends bytes to the present element, or to the envelope.
func (s *listReader) keep(b []byte) error {
	switch {
	case len(b) == 0:
		return nil
	case s.inList:
		return s.keepInElement(b)
	case s.depth == 0: // before or after the object
		if len(bytes.Trim(b, whitespace)) > 0 {
			return ErrNotWhole
		}
		return nil
	case len(s.envelope)+len(b) > maxEnvelopeBytes:
		return ErrTooLong
	}
	s.envelope = append(s.envelope, b...)
	return nil
}

// keepInElement appends bytes to the present element, up to its limit.
func (s *listReader) keepInElement(b []byte) error {
	if left := s.limits.ElementBytes - int64(len(s.element)); int64(len(b)) > left {
		b, s.truncated = b[:left], true
	}
	if need := len(s.element) + len(b); need > cap(s.element) {
		larger := int64(max(need, 2*cap(s.element)))
		if err := s.limits.Memory.Resize(int64(cap(s.element)) + larger); err != nil {
			return err
		}
		s.element = append(make([]byte, 0, larger), s.element...)
		_ = s.limits.Memory.Resize(larger) // fails only if it grows
	}
	s.element = append(s.element, b...)
	return nil
}

// endElement passes the present element on, unless the list is empty.
func (s *listReader) endElement() error {
	e := Element{Raw: bytes.Trim(s.element, whitespace), Truncated: s.truncated}
	s.element, s.truncated = s.element[:0], false
	if len(e.Raw) == 0 {
		return nil
	}
	return s.yield(e)
}
