package peerhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/peer"
	"tanagerwood.dev/router/internal/fault"
)

func TestPeerHTTP(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peerhttp")
}

// echoReceiver copies fields of each message into the reply, so that the specs detect a field lost in transmission.
type echoReceiver struct{ err error }

func (s echoReceiver) ReceiveHeartbeat(_ context.Context, m peer.Heartbeat) (peer.Heartbeat, error) {
	return m, s.err
}
func (s echoReceiver) ReceiveConfirm(_ context.Context, m peer.ConfirmRequest) (peer.ConfirmReply, error) {
	return peer.ConfirmReply{Platform: true, IsMember: true, Roster: peer.Roster{Generation: m.Generation}}, s.err
}
func (s echoReceiver) ReceiveRemoval(_ context.Context, m peer.RemovalRequest) (peer.RemovalReply, error) {
	return peer.RemovalReply{Agreed: true, Reason: m.Remove.Name}, s.err
}
func (s echoReceiver) ReceiveSnapshot(context.Context) (peer.Snapshot, error) {
	return peer.Snapshot{Revision: 7, Catalogue: json.RawMessage(`{}`)}, s.err
}
func (s echoReceiver) ReceiveLoan(_ context.Context, m peer.LoanRequest) (peer.LoanReply, error) {
	return peer.LoanReply{LoanID: 3, Tokens: m.Tokens, Level: 9}, s.err
}
func (s echoReceiver) ReceiveLoanDone(context.Context, peer.LoanDone) error { return s.err }
func (s echoReceiver) ReceiveReserve(_ context.Context, m peer.ReserveRequest) (peer.ReserveReply, error) {
	return peer.ReserveReply{Granted: true, FreeInMS: m.StartInMS}, s.err
}
func (s echoReceiver) ReceiveRelease(context.Context, peer.ReleaseRequest) error { return s.err }
func (s echoReceiver) ReceiveInflight(_ context.Context, m peer.InflightRequest) (peer.InflightReply, error) {
	return peer.InflightReply{Unknown: m.Attempts}, s.err
}
func (s echoReceiver) ReceiveClaims(context.Context, peer.ClaimsRequest) (peer.ClaimsReply, error) {
	return peer.ClaimsReply{Sent: true}, s.err
}

func receivers(echo echoReceiver) Receivers {
	return Receivers{Heartbeats: echo, Confirmations: echo, Removals: echo, Snapshots: echo, Loans: echo, Reservations: echo, Inflight: echo, Claims: echo}
}

func newLog(name string) *event.Log {
	return event.NewLog(name, "1", 16, func() time.Time { return time.Unix(1000, 0) })
}

var (
	self         = peer.MemberID{Name: "a", Incarnation: 1}
	loanRequest  = peer.LoanRequest{From: self, Customer: "c", Tokens: 5}
	longTimeouts = Timeouts{Heartbeat: time.Minute, Confirm: time.Minute, Removal: time.Minute, Snapshot: time.Minute, Loan: time.Minute,
		LoanDone: time.Minute, Reserve: time.Minute, Release: time.Minute, Inflight: time.Minute, Claims: time.Minute}
)

func newClient(token string, timeouts Timeouts) *Client {
	c := NewClient(token, timeouts, newLog("client"), NewTransport())
	DeferCleanup(c.Close)
	return c
}

func startServer(h http.Handler) string {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	return server.URL
}

var _ = Describe("messages between client and server", func() {
	ctx := context.Background()

	It("delivers every message and its reply", func() {
		url, c := startServer(NewHandler("secret", newLog("server"), receivers(echoReceiver{}))), newClient("secret", longTimeouts)
		heartbeat := peer.Heartbeat{From: self, Entries: []peer.HeartbeatEntry{{Member: peer.Member{MemberID: self}, Counter: 4}}}
		Expect(c.Heartbeat(ctx, url, heartbeat)).To(Equal(heartbeat))
		Expect(c.Confirm(ctx, url, peer.ConfirmRequest{From: self, Generation: 2})).To(HaveField("Roster.Generation", uint64(2)))
		Expect(c.AgreeRemoval(ctx, url, peer.RemovalRequest{From: self, Remove: peer.MemberID{Name: "b"}})).To(HaveField("Reason", "b"))
		Expect(c.Snapshot(ctx, url)).To(HaveField("Revision", uint64(7)))
		Expect(c.Loan(ctx, url, loanRequest)).To(Equal(peer.LoanReply{LoanID: 3, Tokens: 5, Level: 9}))
		Expect(c.LoanDone(ctx, url, peer.LoanDone{From: self, Customer: "c", LoanID: 3})).To(Succeed())
		Expect(c.Reserve(ctx, url, peer.ReserveRequest{From: self, Endpoint: "e", Attempt: "x", StartInMS: 8})).To(HaveField("FreeInMS", int64(8)))
		Expect(c.Release(ctx, url, peer.ReleaseRequest{Endpoint: "e", Attempt: "x"})).To(Succeed())
		Expect(c.Inflight(ctx, url, peer.InflightRequest{Attempts: []string{"x"}})).To(HaveField("Unknown", []string{"x"}))
		Expect(c.Claims(ctx, url, peer.ClaimsRequest{Claim: "k"})).To(HaveField("Sent", true))
	})

	DescribeTable("rejects a wrong token, so that API callers cannot take quota loans", func(server, presented string) {
		url := startServer(NewHandler(server, newLog("server"), receivers(echoReceiver{})))
		_, err := newClient(presented, longTimeouts).Loan(ctx, url, loanRequest)
		Expect(fault.Is(err, fault.Unauthorized)).To(BeTrue(), "%v", err)
	},
		Entry("another token", "secret", "secreT"),
		Entry("no token", "secret", ""),
		Entry("no token configured", "", ""),
	)

	It("does not update the clock from a request without the token", func() {
		log := newLog("server")
		before := log.Clock()
		r := httptest.NewRequest(http.MethodPost, peer.PathLoan, strings.NewReader("{}"))
		r.Header.Set(event.ClockHeader, "65536100000000")
		NewHandler("secret", log, receivers(echoReceiver{})).ServeHTTP(httptest.NewRecorder(), r)
		Expect(log.Clock()).To(Equal(before + 1))
	})

	It("returns a typed error with the outcome reported by the peer", func() {
		url := startServer(NewHandler("secret", newLog("server"), receivers(echoReceiver{err: fault.New(fault.InstanceNotConfirmed, "not confirmed")})))
		_, err := newClient("secret", longTimeouts).Loan(ctx, url, loanRequest)
		Expect(fault.As(err)).To(And(HaveField("Kind", fault.EndpointFailed), HaveField("Outcome", openai.NotRun)))
	})

	It("answers 503 for a message that has no receiver", func() {
		url := startServer(NewHandler("secret", newLog("server"), Receivers{}))
		_, err := newClient("secret", longTimeouts).Snapshot(ctx, url)
		Expect(fault.As(err).Message).To(ContainSubstring("503"))
	})

	It("times out on a peer that accepts the connection and does not respond", func() {
		release := make(chan struct{})
		url := startServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer close(release)
		shortTimeouts := longTimeouts
		shortTimeouts.Loan = time.Millisecond
		_, err := newClient("secret", shortTimeouts).Loan(ctx, url, loanRequest)
		Expect(fault.Is(err, fault.Timeout)).To(BeTrue(), "%v", err)
	})

	DescribeTable("validates request bodies", func(path, body string, status int) {
		Expect(post(path, []byte(body))).To(Equal(status))
	},
		Entry("not JSON", peer.PathLoan, "{", 400),
		Entry("wrong type", peer.PathLoan, `{"tokens":"many"}`, 400),
		Entry("negative tokens, which would lend the debt of the borrower", peer.PathLoan, `{"from":{"name":"a"},"customer":"c","tokens":-1}`, 400),
		Entry("no sender", peer.PathConfirm, `{}`, 400),
		Entry("negative amount", peer.PathReserve, `{"from":{"name":"a"},"endpoint":"e","attempt":"x","kvBytes":-1}`, 400),
		Entry("unknown fields are ignored", peer.PathLoan, `{"from":{"name":"a","zone":1},"customer":"c","tokens":1,"new":[]}`, 200),
		Entry("trailing data", peer.PathClaims, `{"claim":"k"} {}`, 400),
		Entry("too large", peer.PathLoan, strings.Repeat(" ", maxSmallBytes+1), 413),
	)
})

func post(path string, body []byte) int {
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(body))
	r.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	NewHandler("secret", newLog("server"), receivers(echoReceiver{})).ServeHTTP(w, r)
	return w.Code
}

var postPaths = []string{peer.PathHeartbeat, peer.PathConfirm, peer.PathAgreeRemoval, peer.PathLoan, peer.PathLoanDone,
	peer.PathReserve, peer.PathRelease, peer.PathInflight, peer.PathClaims}

// FuzzServer guards against a body that makes the peer port panic or answer with a status other than success, 400 or 413.
func FuzzServer(f *testing.F) {
	for i := range postPaths {
		f.Add(uint8(i), []byte(`{"from":{"name":"a","incarnation":1},"customer":"c","tokens":1}`))
	}
	f.Fuzz(func(t *testing.T, pathIndex uint8, body []byte) {
		path := postPaths[int(pathIndex)%len(postPaths)]
		status := post(path, body)
		if status != 200 && status != 204 && status != 400 && status != 413 {
			t.Fatalf("%s answered %d", path, status)
		}
	})
}

// FuzzReply guards against a reply that makes the client panic, or that it accepts as a success although it is not JSON.
func FuzzReply(f *testing.F) {
	f.Add(200, []byte(`{"from":{"name":"a"},"entries":[{"name":"b"}],"roster":{"generation":1}}`))
	f.Add(503, []byte(`{"message":"busy","outcome":"not_run"}`))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		var reply peer.Heartbeat
		err := decodeReply(status, body, "http://peer", &reply)
		if err == nil && status != 204 && !json.Valid(body) {
			t.Fatalf("status %d with body %q was taken for a success", status, body)
		}
	})
}
