package main

import (
	"bytes"
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

var _ = Describe("commands that get broken answers of an instance", func() {
	const wait = 1500 * time.Millisecond
	ctx := context.Background()
	const status = `{"instance":"klang-1","phase":"finishing","ready":true}`
	answer := func(head string) string {
		return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", head, len(status), status)
	}
	start := func(s *standin.Script) string {
		address, err := s.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Close)
		return "http://" + address
	}

	// Guards against broken answers that are shown as an instance's status, and against a planned stop that is reported as complete because of
	// one.
	DescribeTable("do not take them for answers", func(broken string, reset bool) {
		out := &bytes.Buffer{}
		err := (&statusFlags{operators: urlList{start(&standin.Script{Answers: []string{broken}, ResetUploads: reset})}}).run(ctx, out, nil)
		Expect(exitCode(err)).To(Equal(exitUnreachable))
		Expect(out.String()).NotTo(ContainSubstring("klang-1"))

		out.Reset()
		err = (&timelineFlags{processes: urlList{start(&standin.Script{Answers: []string{broken}, ResetUploads: reset})}}).run(ctx, out, nil)
		Expect(exitCode(err)).To(Equal(exitUnreachable))

		out.Reset()
		stopping := start(&standin.Script{Answers: []string{answer("HTTP/1.1 200 OK"), broken}})
		err = (&drainFlags{operatorURL: stopping, wait: wait}).run(ctx, out, nil)
		Expect(err).To(HaveOccurred())
		Expect(out.String()).NotTo(ContainSubstring("stopped"))
	},
		Entry("status 000", answer("HTTP/1.1 000 Trouble"), false),
		Entry("status 600", answer("HTTP/1.1 600 Trouble"), false),
		Entry("a blank in the name of a field", answer("HTTP/1.1 200 OK\r\nX Bad: 1"), false),
		Entry("a control byte in the name of a field", answer("HTTP/1.1 200 OK\r\nX\x01Bad: 1"), false),
		Entry("a part without a length", "HTTP/1.1 200 OK\r\n\r\n"+status[:20], false),
		Entry("a reset after a body without a length", "HTTP/1.1 200 OK\r\n\r\n"+status, true),
		Entry("another body after the status", "HTTP/1.1 200 OK\r\n\r\n"+status+"{", false),
		Entry("an error page", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", false),
	)
})
