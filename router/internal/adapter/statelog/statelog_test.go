package statelog_test

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/router/internal/adapter/statelog"
)

func TestStateLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "state log")
}

// Guards against log lines per request, which would cost more CPU time than handling the request.
var _ = It("writes one JSON line per change of state at the set level, and none per request", func() {
	var out bytes.Buffer
	timeline := event.NewLog("r1", "1", 16, time.Now)
	recorder := statelog.NewRecorder(timeline, statelog.NewLogger(&out, "warn", "klang-1"))
	recorder.Record(event.Event{Kind: event.RequestAccepted, Request: "r"})
	recorder.Record(event.Event{Kind: event.LoanGiven, Customer: "c"})
	recorder.Record(event.Event{Kind: event.ConfigApplied})
	recorder.Record(event.Event{Kind: event.ConfigRejected, Detail: "revision 7"})
	Expect(timeline.Since(0).Events).To(HaveLen(4))
	Expect(bytes.Count(out.Bytes(), []byte("\n"))).To(Equal(1))
	var line map[string]any
	Expect(json.Unmarshal(out.Bytes(), &line)).To(Succeed())
	Expect(line).To(SatisfyAll(HaveKeyWithValue("event", "config.rejected"), HaveKeyWithValue("detail", "revision 7"),
		HaveKeyWithValue("instance", "klang-1"), HaveKeyWithValue("level", "error"), HaveKey("time")))
})
