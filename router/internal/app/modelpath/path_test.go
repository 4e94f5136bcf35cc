package modelpath_test

import (
	"context"
	"fmt"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/event"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/router/internal/app/modelpath"
	"tanagerwood.dev/router/internal/fault"
)

var _ = Describe("a request", func() {
	It("passes through all steps, and is charged for what it used", func() {
		bubble(func() {
			w := newWorld()
			result, err := w.serve(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(w.sink.text()).To(Equal(whole(outputTokens)))
			Expect(result.FinishReason).To(Equal("length"))
			Expect(result.Usage).To(Equal(openai.Usage{PromptTokens: promptTokens, CompletionTokens: outputTokens, TotalTokens: promptTokens + outputTokens}))
			Expect(w.admission.charged).To(Equal(int64(50 + outputTokens)))
			Expect(w.admission.settled).To(Equal(int64(promptTokens + outputTokens)))
			Expect(w.kinds()).To(Equal([]event.Kind{
				event.RequestAccepted, event.RequestAdmitted, event.RequestReserved, event.PrefillStarted, event.PrefillEnded,
				event.TransferStarted, event.DecodeStarted, event.FirstToken, event.DecodeEnded, event.RequestSettled, event.RequestEnded,
			}))
			Expect(w.engine.holding()).To(BeZero())
			Expect(w.placer.released).To(Equal(1))
		})
	})
})

// check expects the whole answer, without a token twice, and no memory held.
func (w *world) check(err error, attempts int64) {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	Expect(w.sink.text()).To(Equal(whole(outputTokens)))
	Expect(w.sink.tokens).To(HaveLen(outputTokens))
	Expect(w.engine.holding()).To(BeZero())
	Expect(w.count(modelpath.MetricAttempts)).To(Equal(attempts))
	Expect(w.placer.released).To(Equal(int(attempts)))
	Expect(w.admission.settled).To(Equal(int64(promptTokens + outputTokens)))
}

var _ = Describe("failures of engines", func() {
	It("repeats a prefill whose engine was killed, at another engine", func() {
		bubble(func() {
			w := newWorld()
			w.engine.prefills = []behaviour{{fail: true}}
			_, err := w.serve(context.Background())
			w.check(err, 2)
			Expect(w.engine.at).To(Equal([]string{"p1", "p2", "d1"}))
			Expect(w.count(modelpath.MetricRetries)).To(Equal(int64(1)))
		})
	})

	It("repeats a prefill whose KV transfer was cut with the decode engine", func() {
		bubble(func() {
			w := newWorld()
			w.engine.decodes = []behaviour{{refuse: errKilled()}}
			_, err := w.serve(context.Background())
			w.check(err, 2)
			Expect(w.engine.at).To(Equal([]string{"p1", "d1", "p1", "d2"}))
			Expect(w.count(modelpath.MetricWastedPrefillTokens)).To(Equal(int64(promptTokens)))
		})
	})

	for _, n := range []int64{1, 7, outputTokens - 1} {
		It(fmt.Sprintf("continues an answer on another pair after its decode engine was killed at token %d", n), func() {
			bubble(func() {
				w := newWorld()
				w.engine.decodes = []behaviour{{fail: true, tokens: n}}
				_, err := w.serve(context.Background())
				w.check(err, 2)
				last := w.engine.calls[len(w.engine.calls)-1].Extension
				Expect(last.Continuation.Tokens).To(Equal(n))
				Expect(last.Continuation.Text).To(Equal(whole(n)))
				Expect(last.RequestID).To(Equal("r1.1.1.2"))
			})
		})
	}

	It("continues an answer whose stream went silent", func() {
		bubble(func() {
			w := newWorld()
			w.engine.decodes = []behaviour{{silent: true, tokens: 5}}
			began := time.Now()
			_, err := w.serve(context.Background())
			w.check(err, 2)
			Expect(time.Since(began)).To(BeNumerically("<", progressTime+time.Second))
		})
	})

	It("drops chunks of other attempts and tokens that the caller has", func() {
		bubble(func() {
			w := newWorld()
			w.engine.decodes = []behaviour{{crossed: true, repeated: true, fail: true, tokens: 9}, {crossed: true, repeated: true}}
			_, err := w.serve(context.Background())
			w.check(err, 2)
			Expect(w.count(modelpath.MetricDroppedChunks)).To(BeNumerically(">=", 3*outputTokens-3))
		})
	})

	It("does not pass on the tokens after a gap", func() {
		bubble(func() {
			w := newWorld()
			w.engine.decodes = []behaviour{{skip: 4}}
			_, err := w.serve(context.Background())
			w.check(err, 2)
		})
	})

	It("drops a prefill answer of another attempt", func() {
		bubble(func() {
			w := newWorld()
			w.engine.prefills = []behaviour{{otherID: true}}
			_, err := w.serve(context.Background())
			w.check(err, 2)
		})
	})

	It("repeats the prefill once without the retry budget when the KV cache expired or its transfer stalled", func() {
		for _, lost := range []error{fault.New(fault.NotFound, "expired"), errSilent()} {
			bubble(func() {
				w := newWorld()
				w.engine.decodes = []behaviour{{refuse: lost}}
				_, err := w.serve(context.Background())
				w.check(err, 2)
				Expect(w.count(modelpath.MetricRetries)).To(BeZero())
			})
			bubble(func() {
				w := newWorld()
				w.engine.decodes = []behaviour{{refuse: lost}, {refuse: lost}}
				_, err := w.serve(context.Background())
				w.check(err, 3)
				Expect(w.count(modelpath.MetricRetries)).To(Equal(int64(1)))
			})
		}
	})

	It("asks a full decode engine again while the KV cache lives, instead of wasting the prefill", func() {
		bubble(func() {
			w := newWorld()
			full := behaviour{refuse: fault.New(fault.EndpointRefused, "full")}
			w.engine.decodes = []behaviour{full, full, full}
			_, err := w.serve(context.Background())
			w.check(err, 1)
			Expect(w.count(modelpath.MetricWastedPrefillTokens)).To(BeZero())
		})
	})

	It("moves the decode when its engine cannot be reached, without another prefill", func() {
		bubble(func() {
			w := newWorld()
			w.engine.decodes = []behaviour{{refuse: fault.New(fault.EndpointFailed, "connection refused")}}
			_, err := w.serve(context.Background())
			w.check(err, 1)
			Expect(w.engine.at).To(Equal([]string{"p1", "d1", "d2"}))
			Expect(w.count(modelpath.MetricRetries)).To(Equal(int64(1)))
		})
	})

	It("gives up with outcome unknown before the first token, and partial after it", func() {
		bubble(func() {
			w := newWorld()
			kill := behaviour{fail: true}
			w.engine.prefills = []behaviour{kill, kill, kill, kill}
			_, err := w.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.EndpointFailed))
			Expect(fault.As(err).Outcome).To(Equal(openai.Unknown))
			Expect(fault.As(err).RetryAfter).To(BeNumerically(">", 0))
			Expect(w.admission.settled).To(BeZero())

			kill.tokens = 2
			w.engine.decodes = []behaviour{kill, kill, kill, kill}
			_, err = w.serve(context.Background())
			Expect(fault.As(err).Outcome).To(Equal(openai.Partial))
			Expect(w.admission.settled).To(Equal(int64(promptTokens + 8)))
			Expect(w.engine.holding()).To(BeZero())
		})
	})

	It("does not repeat a request that the engine calls wrong", func() {
		bubble(func() {
			w := newWorld()
			w.engine.prefills = []behaviour{{refuse: fault.New(fault.BadRequest, "too long")}}
			_, err := w.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.BadRequest))
			Expect(fault.As(err).Outcome).To(Equal(openai.Unknown)) // a byte reached an endpoint
			Expect(w.count(modelpath.MetricAttempts)).To(Equal(int64(1)))
		})
	})

	// Guards against repeats that multiply an overload: with every prefill failing, repeats stay near a tenth.
	It("bounds repeated attempts to a tenth of the requests and a small reserve", func() {
		bubble(func() {
			w := newWorld()
			for range 2000 {
				w.engine.prefills = append(w.engine.prefills, behaviour{fail: true})
			}
			for range 400 {
				_, err := w.serve(context.Background())
				Expect(err).To(HaveOccurred())
			}
			Expect(w.count(modelpath.MetricRetries)).To(BeNumerically("<=", 400/10+10))
		})
	})
})

var _ = Describe("callers and keys", func() {
	// The fake engine frees memory on cancel only, so a step without a cancel leaves memory held.
	DescribeTable("cancels at both engines when the caller is gone",
		func(after time.Duration, sent bool) {
			bubble(func() {
				w := newWorld()
				if !sent {
					w.placer.queue = make(chan struct{})
				}
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(after, cancel)
				_, err := w.serve(ctx)
				Expect(fault.As(err).Kind).To(Equal(fault.CallerGone))
				Expect(w.engine.holding()).To(BeZero())
				Expect(w.registry.OpenRequests()).To(BeZero())
				if sent {
					Expect(w.placer.released).To(Equal(1))
					Expect(w.admission.settled).To(BeNumerically(">=", promptTokens))
				} else {
					Expect(w.admission.cancelled).To(BeTrue())
				}
			})
		},
		Entry("while queued", 10*time.Millisecond, false),
		Entry("during the prefill", prefillTime/2, true),
		Entry("during the transfer", prefillTime+transferTime/2, true),
		Entry("before the first token", prefillTime+transferTime+tokenTime/2, true),
		Entry("during the stream", prefillTime+transferTime+5*tokenTime+tokenTime/2, true),
	)

	It("cancels at both engines when the caller takes no bytes", func() {
		bubble(func() {
			w := newWorld()
			w.sink.failAt = 3
			_, err := w.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.CallerGone))
			Expect(w.engine.holding()).To(BeZero())
			Expect(w.count(modelpath.MetricAttempts)).To(Equal(int64(1)))
		})
	})

	DescribeTable("ends requests whose key is withdrawn",
		func(after time.Duration, queued bool, outcome openai.Outcome) {
			bubble(func() {
				w := newWorld()
				if queued {
					w.placer.queue = make(chan struct{})
				}
				time.AfterFunc(after, func() { w.config.apply(snapshot("another")) })
				began := time.Now()
				_, err := w.serve(context.Background())
				Expect(fault.As(err).Kind).To(Equal(fault.KeyWithdrawn))
				Expect(fault.As(err).Outcome).To(Equal(outcome))
				Expect(time.Since(began)).To(Equal(after))
				Expect(w.engine.holding()).To(BeZero())
				synctest.Wait() // the event follows the cancel, on the goroutine that applied the configuration
				Expect(w.kinds()).To(ContainElement(event.KeyWithdrawn))
			})
		},
		Entry("while queued", time.Second, true, openai.NotRun),
		Entry("while prefilling", prefillTime/2, false, openai.Partial),
		Entry("while streaming", prefillTime+transferTime+5*tokenTime, false, openai.Partial),
	)

	It("ends a request whose key was withdrawn after its authentication", func() {
		bubble(func() {
			w := newWorld()
			req := w.request()
			w.config.apply(snapshot("another"))
			_, err := w.path.Serve(context.Background(), req, w.sink)
			Expect(fault.As(err).Kind).To(Equal(fault.KeyWithdrawn))
			Expect(w.engine.calls).To(BeEmpty())
		})
	})

	It("leaves requests with other keys alone", func() {
		bubble(func() {
			w := newWorld()
			time.AfterFunc(prefillTime, func() { w.config.apply(snapshot("another", testKey)) })
			_, err := w.serve(context.Background())
			w.check(err, 1)
		})
	})
})

var _ = Describe("a planned stop", func() {
	It("refuses new requests, lets open ones finish, and cuts the rest at its end", func() {
		bubble(func() {
			w := newWorld()
			done := make(chan error, 1)
			go func() {
				_, err := w.serve(context.Background())
				done <- err
			}()
			synctest.Wait()
			Expect(w.registry.Has("r1.1.1.1")).To(BeTrue())
			w.registry.StopAccepting()
			_, err := w.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.Draining))
			Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
			Expect(w.path.WaitIdle(context.Background())).To(Succeed())
			Expect(<-done).To(Succeed())
			Expect(w.registry.Has("r1.1.1.1")).To(BeFalse())
		})
		bubble(func() {
			w := newWorld()
			done := make(chan error, 1)
			go func() {
				_, err := w.serve(context.Background())
				done <- err
			}()
			time.Sleep(prefillTime + transferTime + 3*tokenTime)
			ctx, cancel := context.WithTimeout(context.Background(), tokenTime)
			defer cancel()
			Expect(w.path.WaitIdle(ctx)).NotTo(Succeed())
			w.registry.CancelAll()
			Expect(fault.As(<-done).Outcome).To(Equal(openai.Partial))
			Expect(w.engine.holding()).To(BeZero())
		})
	})
})
