package clientlimit

import (
	"bytes"
	"errors"
)

// maxBlankLines is the number of empty lines before a request that the server ignores after a POST.
const maxBlankLines = 2

// headScan finds the end of a request head. Like the server, it takes the first empty line after the request line for the end, and a line
// may end without a carriage return.
type headScan struct {
	// scanned is the number of bytes seen, lineStart the offset of the present line.
	scanned, lineStart int
	// lines counts the lines that are not empty, blank the empty ones before the first of them.
	lines, blank int
}

// advance continues the search in b, which begins with the bytes seen before. It returns the length of the head, or 0 if the head is not
// complete.
func (s *headScan) advance(b []byte) int {
	for {
		i := bytes.IndexByte(b[s.scanned:], '\n')
		if i < 0 {
			s.scanned = len(b)
			return 0
		}
		s.scanned += i + 1
		length := s.scanned - s.lineStart - 1
		if length == 1 && b[s.lineStart] == '\r' {
			length = 0
		}
		s.lineStart = s.scanned
		switch {
		case length > 0:
			s.lines++
		case s.lines > 0:
			return s.scanned
		default:
			s.blank++
		}
	}
}

// maxChunkLineBytes and maxTrailerBytes are the limits of the server for a chunk's size with its extensions and for a trailer.
const (
	maxChunkLineBytes = 4 << 10
	maxTrailerBytes   = 4 << 10
	maxSizeDigits     = 16
)

var errChunks = errors.New("clientlimit: the chunks of the body are malformed or their lines too long; correct the client")

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataCR
	chunkDataLF
	chunkTrailer
)

// chunkScan finds the end of a chunked body. It accepts whatever the server accepts, with the same sizes.
type chunkScan struct {
	state chunkState
	// remaining is the size of the present chunk, or what is left of it.
	remaining uint64
	// digits and line count the digits and the bytes of the present line, trailer the bytes of the trailer, lines its lines.
	digits, line, trailer, lines int
	lastCR                       bool
}

// advance consumes bytes of the body. It returns how many of them belong to the body, and whether it is complete.
func (s *chunkScan) advance(b []byte) (n int, done bool, err error) {
	for n < len(b) {
		if s.state == chunkData {
			step := min(uint64(len(b)-n), s.remaining)
			n += int(step)
			if s.remaining -= step; s.remaining == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		done, err = s.step(b[n])
		n++
		if done || err != nil {
			return n, done, err
		}
	}
	return n, false, nil
}

// step consumes a byte that is not data of a chunk.
func (s *chunkScan) step(c byte) (done bool, err error) {
	switch s.state {
	case chunkDataCR:
		return false, s.expect(c, '\r', chunkDataLF)
	case chunkDataLF:
		s.remaining, s.digits, s.line = 0, 0, 0
		return false, s.expect(c, '\n', chunkSize)
	case chunkTrailer:
		return s.stepTrailer(c)
	}
	if s.line++; s.line > maxChunkLineBytes {
		return false, errChunks
	}
	switch s.state {
	case chunkSizeEnd:
		return false, s.endSize(c)
	case chunkSize:
		if digit, ok := hexDigit(c); ok {
			s.digits++
			s.remaining = s.remaining<<4 | digit
			return false, nil
		}
		if c != ';' && c != ' ' && c != '\t' && c != '\r' || s.digits == 0 || s.digits > maxSizeDigits {
			return false, errChunks
		}
		s.state = chunkExtension
	}
	switch c {
	case '\r':
		s.state = chunkSizeEnd
	case '\n':
		return false, errChunks
	}
	return false, nil
}

func (s *chunkScan) expect(c, want byte, next chunkState) error {
	if c != want {
		return errChunks
	}
	s.state = next
	return nil
}

// endSize ends the line of a chunk's size. A chunk of size zero is the last one.
func (s *chunkScan) endSize(c byte) error {
	next := chunkData
	if s.remaining == 0 {
		next, s.line = chunkTrailer, 0
	}
	return s.expect(c, '\n', next)
}

func (s *chunkScan) stepTrailer(c byte) (done bool, err error) {
	if s.trailer++; s.trailer > maxTrailerBytes {
		return false, errChunks
	}
	if c == '\n' {
		if s.line == 0 || s.line == 1 && s.lastCR {
			return true, nil
		}
		s.lines++
		s.line = 0
		return false, nil
	}
	s.line++
	s.lastCR = c == '\r'
	return false, nil
}

func hexDigit(c byte) (uint64, bool) {
	switch {
	case '0' <= c && c <= '9':
		return uint64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return uint64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return uint64(c-'A') + 10, true
	}
	return 0, false
}
