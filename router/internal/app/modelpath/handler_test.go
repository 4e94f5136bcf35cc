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
		withFakeClock(func() {
			env := newTestEnv()
			result, err := env.serve(context.Background())
			Expect(err).NotTo(HaveOccurred())
			Expect(env.writer.text()).To(Equal(wholeAnswer(outputTokens)))
			Expect(result.FinishReason).To(Equal("length"))
			Expect(result.Usage).To(Equal(openai.Usage{PromptTokens: promptTokens, CompletionTokens: outputTokens, TotalTokens: promptTokens + outputTokens}))
			Expect(env.admission.charged).To(Equal(int64(50 + outputTokens)))
			Expect(env.admission.settled).To(Equal(int64(promptTokens + outputTokens)))
			Expect(env.eventKinds()).To(Equal([]event.Kind{
				event.RequestAccepted, event.RequestAdmitted, event.RequestReserved, event.PrefillStarted, event.PrefillEnded,
				event.TransferStarted, event.DecodeStarted, event.FirstToken, event.DecodeEnded, event.RequestSettled, event.RequestEnded,
			}))
			Expect(env.engine.heldCount()).To(BeZero())
			Expect(env.placer.released).To(Equal(1))
		})
	})
})

// expectWholeAnswer expects the complete answer with each token once, and no memory held.
func (env *testEnv) expectWholeAnswer(err error, attempts int64) {
	GinkgoHelper()
	Expect(err).NotTo(HaveOccurred())
	Expect(env.writer.text()).To(Equal(wholeAnswer(outputTokens)))
	Expect(env.writer.tokens).To(HaveLen(outputTokens))
	Expect(env.engine.heldCount()).To(BeZero())
	Expect(env.counterValue(modelpath.MetricAttempts)).To(Equal(attempts))
	Expect(env.placer.released).To(Equal(int(attempts)))
	Expect(env.admission.settled).To(Equal(int64(promptTokens + outputTokens)))
}

var _ = Describe("failures of engines", func() {
	It("repeats a prefill whose engine was killed, at another engine", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.prefills = []callBehaviour{{killed: true}}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 2)
			Expect(env.engine.endpoints).To(Equal([]string{"p1", "p2", "d1"}))
			Expect(env.counterValue(modelpath.MetricRetries)).To(Equal(int64(1)))
		})
	})

	It("repeats a prefill whose KV transfer was cut with the decode engine", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.decodes = []callBehaviour{{refuse: errKilled()}}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 2)
			Expect(env.engine.endpoints).To(Equal([]string{"p1", "d1", "p1", "d2"}))
			Expect(env.counterValue(modelpath.MetricWastedPrefillTokens)).To(Equal(int64(promptTokens)))
		})
	})

	for _, n := range []int64{1, 7, outputTokens - 1} {
		It(fmt.Sprintf("continues an answer on another pair after its decode engine was killed at token %d", n), func() {
			withFakeClock(func() {
				env := newTestEnv()
				env.engine.decodes = []callBehaviour{{killed: true, tokens: n}}
				_, err := env.serve(context.Background())
				env.expectWholeAnswer(err, 2)
				last := env.engine.calls[len(env.engine.calls)-1].Extension
				Expect(last.Continuation.Tokens).To(Equal(n))
				Expect(last.Continuation.Text).To(Equal(wholeAnswer(n)))
				Expect(last.RequestID).To(Equal("r1.1.1.2"))
			})
		})
	}

	It("continues an answer whose stream went silent", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.decodes = []callBehaviour{{goesSilent: true, tokens: 5}}
			began := time.Now()
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 2)
			Expect(time.Since(began)).To(BeNumerically("<", progressTimeout+time.Second))
		})
	})

	It("drops chunks of other attempts and tokens that the caller has", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.decodes = []callBehaviour{{mixedIn: true, duplicated: true, killed: true, tokens: 9}, {mixedIn: true, duplicated: true}}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 2)
			Expect(env.counterValue(modelpath.MetricDroppedChunks)).To(BeNumerically(">=", 3*outputTokens-3))
		})
	})

	It("does not pass on the tokens after a gap", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.decodes = []callBehaviour{{skippedToken: 4}}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 2)
		})
	})

	It("drops a prefill answer of another attempt", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.prefills = []callBehaviour{{wrongAttemptID: true}}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 2)
		})
	})

	It("repeats the prefill once without the retry budget when the KV cache expired or its transfer stalled", func() {
		for _, lost := range []error{fault.New(fault.NotFound, "expired"), errSilent()} {
			withFakeClock(func() {
				env := newTestEnv()
				env.engine.decodes = []callBehaviour{{refuse: lost}}
				_, err := env.serve(context.Background())
				env.expectWholeAnswer(err, 2)
				Expect(env.counterValue(modelpath.MetricRetries)).To(BeZero())
			})
			withFakeClock(func() {
				env := newTestEnv()
				env.engine.decodes = []callBehaviour{{refuse: lost}, {refuse: lost}}
				_, err := env.serve(context.Background())
				env.expectWholeAnswer(err, 3)
				Expect(env.counterValue(modelpath.MetricRetries)).To(Equal(int64(1)))
			})
		}
	})

	It("asks a full decode engine again while the KV cache lives, instead of wasting the prefill", func() {
		withFakeClock(func() {
			env := newTestEnv()
			full := callBehaviour{refuse: fault.New(fault.EndpointRefused, "full")}
			env.engine.decodes = []callBehaviour{full, full, full}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 1)
			Expect(env.counterValue(modelpath.MetricWastedPrefillTokens)).To(BeZero())
		})
	})

	It("moves the decode when its engine cannot be reached, without another prefill", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.decodes = []callBehaviour{{refuse: fault.New(fault.EndpointFailed, "connection refused")}}
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 1)
			Expect(env.engine.endpoints).To(Equal([]string{"p1", "d1", "d2"}))
			Expect(env.counterValue(modelpath.MetricRetries)).To(Equal(int64(1)))
		})
	})

	// Guards against requests that are assigned to an engine before a wait and sent to it after it has begun to leave.
	DescribeTable("sends nothing to a decode engine that leaves", func(decodes []callBehaviour, endpoints ...string) {
		withFakeClock(func() {
			env := newTestEnv()
			env.placer.leaving = map[string]bool{"d1": true}
			env.engine.decodes = decodes
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 1)
			Expect(env.engine.endpoints).To(Equal(endpoints))
		})
	},
		Entry("during the prefill", nil, "p1", "d2"),
		Entry("while another one is full", []callBehaviour{{refuse: fault.New(fault.EndpointRefused, "full")}}, "p1", "d2", "d2"),
	)

	// Guards against a full engine that is asked again although it leaves.
	It("sends nothing to decode engines if all of them leave", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.placer.leaving = map[string]bool{"d1": true, "d2": true}
			_, err := env.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.EndpointFailed))
			Expect(env.engine.endpoints).NotTo(ContainElement(HavePrefix("d")))
			Expect(env.engine.heldCount()).To(BeZero())
		})
	})

	It("gives up with outcome unknown before the first token, and partial after it", func() {
		withFakeClock(func() {
			env := newTestEnv()
			kill := callBehaviour{killed: true}
			env.engine.prefills = []callBehaviour{kill, kill, kill, kill}
			_, err := env.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.EndpointFailed))
			Expect(fault.As(err).Outcome).To(Equal(openai.Unknown))
			Expect(fault.As(err).RetryAfter).To(BeNumerically(">", 0))
			Expect(env.admission.settled).To(BeZero())

			kill.tokens = 2
			env.engine.decodes = []callBehaviour{kill, kill, kill, kill}
			_, err = env.serve(context.Background())
			Expect(fault.As(err).Outcome).To(Equal(openai.Partial))
			Expect(env.admission.settled).To(Equal(int64(promptTokens + 8)))
			Expect(env.engine.heldCount()).To(BeZero())
		})
	})

	// Guards against a refusal of an engine that reaches the caller as the promise that nothing has run, and against attempts beyond the budget.
	It("has an unknown outcome when the engines go on refusing", func() {
		withFakeClock(func() {
			env := newTestEnv()
			refusal := callBehaviour{refuse: fault.New(fault.EndpointRefused, "engine e answered 503")}
			for range 100 {
				env.engine.prefills = []callBehaviour{refusal, refusal, refusal, refusal}
				_, err := env.serve(context.Background())
				Expect(fault.As(err).Kind).To(Equal(fault.EndpointFailed))
				Expect(fault.As(err).Outcome).To(Equal(openai.Unknown))
			}
			Expect(env.counterValue(modelpath.MetricAttempts)).To(BeNumerically("<=", 120)) // a tenth, and ten
		})
	})

	It("does not repeat a request that the engine calls wrong", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.engine.prefills = []callBehaviour{{refuse: fault.New(fault.BadRequest, "too long")}}
			_, err := env.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.BadRequest))
			Expect(fault.As(err).Outcome).To(Equal(openai.Unknown)) // a byte reached an endpoint
			Expect(env.counterValue(modelpath.MetricAttempts)).To(Equal(int64(1)))
		})
	})

	// Guards against retries that multiply an overload: with every prefill failing, retries stay near a tenth of the requests.
	It("bounds repeated attempts to a tenth of the requests and a small reserve", func() {
		withFakeClock(func() {
			env := newTestEnv()
			for range 2000 {
				env.engine.prefills = append(env.engine.prefills, callBehaviour{killed: true})
			}
			for range 400 {
				_, err := env.serve(context.Background())
				Expect(err).To(HaveOccurred())
			}
			Expect(env.counterValue(modelpath.MetricRetries)).To(BeNumerically("<=", 400/10+10))
		})
	})
})

var _ = Describe("callers and keys", func() {
	// The fake engine releases memory only on Cancel, so a step without a cancel leaves memory held.
	DescribeTable("cancels at both engines when the caller is gone",
		func(after time.Duration, sent bool) {
			withFakeClock(func() {
				env := newTestEnv()
				if !sent {
					env.placer.queueGate = make(chan struct{})
				}
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(after, cancel)
				_, err := env.serve(ctx)
				Expect(fault.As(err).Kind).To(Equal(fault.CallerDisconnected))
				Expect(env.engine.heldCount()).To(BeZero())
				Expect(env.registry.OpenRequests()).To(BeZero())
				if sent {
					Expect(env.placer.released).To(Equal(1))
					Expect(env.admission.settled).To(BeNumerically(">=", promptTokens))
				} else {
					Expect(env.admission.cancelled).To(BeTrue())
				}
			})
		},
		Entry("while queued", 10*time.Millisecond, false),
		Entry("during the prefill", prefillTime/2, true),
		Entry("during the transfer", prefillTime+transferTime/2, true),
		Entry("before the first token", prefillTime+transferTime+tokenInterval/2, true),
		Entry("during the stream", prefillTime+transferTime+5*tokenInterval+tokenInterval/2, true),
	)

	It("cancels at both engines when the caller takes no bytes", func() {
		withFakeClock(func() {
			env := newTestEnv()
			env.writer.failAfterTokens = 3
			_, err := env.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.CallerDisconnected))
			Expect(env.engine.heldCount()).To(BeZero())
			Expect(env.counterValue(modelpath.MetricAttempts)).To(Equal(int64(1)))
		})
	})

	DescribeTable("ends requests whose key is withdrawn",
		func(after time.Duration, queued bool, outcome openai.Outcome) {
			withFakeClock(func() {
				env := newTestEnv()
				if queued {
					env.placer.queueGate = make(chan struct{})
				}
				time.AfterFunc(after, func() { env.config.apply(snapshotWithKeys("another")) })
				began := time.Now()
				_, err := env.serve(context.Background())
				Expect(fault.As(err).Kind).To(Equal(fault.KeyWithdrawn))
				Expect(fault.As(err).Outcome).To(Equal(outcome))
				Expect(time.Since(began)).To(Equal(after))
				Expect(env.engine.heldCount()).To(BeZero())
				synctest.Wait() // the event is recorded after the cancel, on the goroutine that applied the configuration
				Expect(env.eventKinds()).To(ContainElement(event.KeyWithdrawn))
			})
		},
		Entry("while queued", time.Second, true, openai.NotRun),
		Entry("while prefilling", prefillTime/2, false, openai.Partial),
		Entry("while streaming", prefillTime+transferTime+5*tokenInterval, false, openai.Partial),
	)

	It("ends a request whose key was withdrawn after its authentication", func() {
		withFakeClock(func() {
			env := newTestEnv()
			req := env.request()
			env.config.apply(snapshotWithKeys("another"))
			_, err := env.handler.Serve(context.Background(), req, env.writer)
			Expect(fault.As(err).Kind).To(Equal(fault.KeyWithdrawn))
			Expect(env.engine.calls).To(BeEmpty())
		})
	})

	It("leaves requests with other keys alone", func() {
		withFakeClock(func() {
			env := newTestEnv()
			time.AfterFunc(prefillTime, func() { env.config.apply(snapshotWithKeys("another", testKey)) })
			_, err := env.serve(context.Background())
			env.expectWholeAnswer(err, 1)
		})
	})
})

var _ = Describe("a planned stop", func() {
	It("refuses new requests, lets open ones finish, and cuts the rest at its end", func() {
		withFakeClock(func() {
			env := newTestEnv()
			done := make(chan error, 1)
			go func() {
				_, err := env.serve(context.Background())
				done <- err
			}()
			synctest.Wait()
			Expect(env.registry.Has("r1.1.1.1")).To(BeTrue())
			env.registry.StopAccepting()
			_, err := env.serve(context.Background())
			Expect(fault.As(err).Kind).To(Equal(fault.Draining))
			Expect(fault.As(err).Outcome).To(Equal(openai.NotRun))
			Expect(env.handler.WaitIdle(context.Background())).To(Succeed())
			Expect(<-done).To(Succeed())
			Expect(env.registry.Has("r1.1.1.1")).To(BeFalse())
		})
		withFakeClock(func() {
			env := newTestEnv()
			done := make(chan error, 1)
			go func() {
				_, err := env.serve(context.Background())
				done <- err
			}()
			time.Sleep(prefillTime + transferTime + 3*tokenInterval)
			ctx, cancel := context.WithTimeout(context.Background(), tokenInterval)
			defer cancel()
			Expect(env.handler.WaitIdle(ctx)).NotTo(Succeed())
			env.registry.CancelAll()
			Expect(fault.As(<-done).Outcome).To(Equal(openai.Partial))
			Expect(env.engine.heldCount()).To(BeZero())
		})
	})

	// Guards against requests that get their place so late in a stop that they are cut at its end.
	It("refuses requests that wait for rate limit tokens or for a place when their wait ends, and lets the others finish", func() {
		withFakeClock(func() {
			env := newTestEnv()
			sent, waiting := make(chan error, 1), make(chan error, 2)
			serve := func(result chan<- error) {
				_, err := env.serve(context.Background())
				result <- err
			}
			go serve(sent)
			synctest.Wait()
			env.placer.queueGate = make(chan struct{})
			go serve(waiting)
			synctest.Wait()
			env.admission.queueGate = make(chan struct{})
			go serve(waiting)
			synctest.Wait()
			env.registry.EndWaits()
			for range 2 {
				refused := fault.As(<-waiting)
				Expect(refused.Kind).To(Equal(fault.Draining))
				Expect(refused.Outcome).To(Equal(openai.NotRun))
				Expect(refused.RetryAfter).To(BeNumerically(">", 0))
			}
			Expect(<-sent).To(Succeed())
			Expect(env.engine.heldCount()).To(BeZero())
		})
	})
})
