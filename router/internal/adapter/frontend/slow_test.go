package frontend_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"tanagerwood.dev/router/internal/adapter/frontend"
	"tanagerwood.dev/router/internal/app/forward"
	"tanagerwood.dev/router/internal/app/plannedstop"
	"tanagerwood.dev/router/internal/domain/slowreader"
)

var _ = Describe("callers that do not read their answers", func() {
	// Guards against requests whose bodies and answers stay in memory for callers that read nothing.
	It("are cut when they hold too much", func() {
		tracker := slowreader.NewTracker(1 << 20)
		ended := make(chan error, 1)
		h := frontend.New(frontend.Deps{
			CallerDecoder: headerDecoder{}, SinceBoot: func() time.Duration { return 0 }, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			RequestHandler: handlerFunc(func(_ context.Context, req *forward.Request, w forward.ResponseWriter) error {
				if _, err := req.ReadBody(4 << 20); err != nil {
					return err
				}
				err := w.WriteHeader(http.StatusOK, nil)
				for err == nil {
					err = w.WriteChunk(make([]byte, 64<<10))
				}
				ended <- err
				return forward.ErrAborted
			}),
			MaxBufferedBodyBytes: 4 << 20, SlowCallers: tracker, StopPhase: func() frontend.StopPhase { return frontend.Serving }, Stop: plannedstop.New(),
		})
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		body := strings.Repeat("x", 2<<20)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n"+body)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int64 { // the request body of 2 MB exceeds the limit
			tracker.Check(slowreader.Grace)
			return tracker.CutWrites()
		}).Should(BeEquivalentTo(1))
		Eventually(ended).Should(Receive(HaveOccurred()))
	})

	// Guards against callers that read a long answer slowly and are cut when the whole of it takes longer than a caller may read nothing.
	It("are not cut while they read slowly", func() {
		const answerBytes, partBytes, writeTimeout = 24 << 20, 2 << 20, 400 * time.Millisecond
		h := frontend.New(frontend.Deps{
			CallerDecoder: headerDecoder{}, SinceBoot: func() time.Duration { return 0 }, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			RequestHandler: handlerFunc(func(_ context.Context, _ *forward.Request, w forward.ResponseWriter) error {
				return w.WriteResponse(http.StatusOK, nil, make([]byte, answerBytes))
			}),
			WriteTimeout: writeTimeout, StopPhase: func() frontend.StopPhase { return frontend.Serving }, Stop: plannedstop.New(),
		})
		server := httptest.NewServer(h)
		DeferCleanup(server.Close)
		resp, err := http.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		for range answerBytes / partBytes {
			_, err := io.CopyN(io.Discard, resp.Body, partBytes)
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(writeTimeout / 4)
		}
	})
})
