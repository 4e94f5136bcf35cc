package statelog_test

import (
	"bytes"
	"io"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/adapter/statelog"
)

// blockedWriter is an io.Writer whose Write blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

var _ = Describe("the asynchronous writer", func() {
	// Guards against a data race between the writing of a line and the reuse of its buffer, which lab/soak found under the race
	// detector: lines that are logged concurrently must all be written intact.
	It("writes the lines of all goroutines whole", func() {
		const writers, lines = 8, 200
		var out bytes.Buffer
		w := statelog.NewAsyncWriter(&out)
		logger := statelog.NewAsyncLogger(w, "info", "i")
		var group sync.WaitGroup
		for range writers {
			group.Go(func() {
				for range lines {
					logger.Info().Str("event", strings.Repeat("x", 100)).Msg("")
				}
			})
		}
		group.Wait()
		Expect(w.Close()).To(Succeed())
		logger.Info().Str("event", "late").Msg("") // a background loop may log after Close
		written := strings.Split(strings.TrimSpace(out.String()), "\n")
		Expect(written).To(HaveLen(writers*lines - int(w.DroppedLines())))
		for _, line := range written {
			Expect(line).To(SatisfyAll(HavePrefix("{"), HaveSuffix("}"), ContainSubstring(strings.Repeat("x", 100))))
		}
	})

	// Guards against requests that block on a slow log output.
	It("drops and counts lines instead of blocking", func() {
		stuck := blockedWriter{make(chan struct{})}
		w := statelog.NewAsyncWriter(stuck)
		logger := statelog.NewAsyncLogger(w, "info", "i")
		for range 10_000 {
			logger.Info().Str("event", "x").Msg("")
		}
		Expect(w.DroppedLines()).To(BeNumerically(">", 0))
		close(stuck.release)
		Expect(w.Close()).To(Succeed())
	})

	It("returns the last write error when it is closed", func() {
		reader, writer := io.Pipe()
		Expect(reader.Close()).To(Succeed())
		w := statelog.NewAsyncWriter(writer)
		statelog.NewAsyncLogger(w, "info", "i").Info().Str("event", "x").Msg("")
		Expect(w.Close()).To(MatchError(io.ErrClosedPipe))
	})
})
