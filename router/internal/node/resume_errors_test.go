package node_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/platform/standin"
)

// errorAnswers are answers of servers at which a stream cannot go on.
var errorAnswers = map[string]func(http.ResponseWriter){
	"a failure": func(w http.ResponseWriter) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "error: out of memory\n\n")
	},
	"a failure as an event": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusBadGateway)
		_, _ = io.WriteString(w, "data: error\n\n")
	},
	"not found":         func(w http.ResponseWriter) { http.Error(w, "no such run", http.StatusNotFound) },
	"a refusal":         standin.Refuse,
	"a misdirection":    func(w http.ResponseWriter) { w.WriteHeader(http.StatusMisdirectedRequest) },
	"a lost connection": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	"an error in JSON with status 200": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"error":"out of memory"}`+"\n\n")
	},
	"an error page with status 200 and no length": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/html")
		w.Header().Set("Transfer-Encoding", "identity")
		_, _ = io.WriteString(w, "<h1>error</h1>\n\n")
	},
	"the stream from its beginning": func(w http.ResponseWriter) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: again\n\n")
	},
	"no content": func(w http.ResponseWriter) { w.WriteHeader(http.StatusNoContent) },
}

// failSecond has the first server that is asked break its stream off after the given number of events, and the next one answer as given.
func failSecond(servers []*standin.Server, events int, answer func(http.ResponseWriter)) {
	var asked atomic.Int32
	for _, s := range servers {
		s.Intercept(func(w http.ResponseWriter, req *http.Request) bool {
			if strings.HasPrefix(req.URL.Path, "/-/") {
				return false
			}
			w.Header().Set("X-Response-Stamp", "stamp-"+s.ID)
			if asked.Add(1) > 1 {
				answer(w)
				return true
			}
			s.RecordRun(req)
			s.Stream(w, req, events)
			panic(http.ErrAbortHandler)
		})
	}
}

var _ = Describe("a stream that broke off and whose next server answers with an error", func() {
	for name, answer := range errorAnswers {
		// Guards against the text or the head of an error in the middle of a stream, and against a stream that looks complete.
		DescribeTable("is cut after its last event, next: "+name, func(path string, events int) {
			cluster := newTestCluster()
			cluster.configure(plainStreamRoutes)
			r := cluster.start("r-1")
			servers := cluster.decode
			if path == "/tail/x" {
				servers = cluster.plain
			}
			failSecond(servers, events, answer)
			a := r.stream(path)
			whole := completeStreamBody(a.id)
			end := strings.Index(whole, "id: 2")
			if events == 2 {
				end = strings.Index(whole, "id: 3")
			}
			if events == 0 { // the next server's answer is the first one
				Expect(a.body).NotTo(ContainSubstring("token"))
				return
			}
			Expect(a.err).To(HaveOccurred(), "the answer looks complete: %q", a.body)
			Expect(a.body).To(Equal(whole[:end]))
		},
			Entry("at a decode engine", "/digest/x", 2),
			Entry("at a plain server", "/tail/x", 2),
			Entry("at a decode engine, after the first event", "/digest/x", 1),
			Entry("at a plain server, before the first event", "/tail/x", 0),
		)
	}
})
