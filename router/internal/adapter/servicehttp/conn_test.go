package servicehttp

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("connection", func() {
	It("refuses writes of a call that was reported as not sent, so that the report stays true", func() {
		near, far := net.Pipe()
		DeferCleanup(near.Close)
		Expect(far.Close()).To(Succeed()) // a write that reaches the pipe fails immediately
		c, state := &conn{Conn: near}, &sendState{}
		c.activeCall.Store(state)
		Expect(state.abandon()).To(BeTrue())
		_, err := c.Write([]byte("x"))
		Expect(err).To(MatchError(errAbandoned))
	})

	It("never reports a call as not sent after its first write", func() {
		state := &sendState{}
		Expect(state.beforeWrite()).To(Succeed())
		Expect(state.abandon()).To(BeFalse())
		Expect(state.beforeWrite()).To(Succeed())
	})
})
