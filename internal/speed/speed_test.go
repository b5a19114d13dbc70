package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/speed"
)

func TestSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "speed")
}

// engines simulates engines with a fixed prefill and decode speed, and the noise of
// batching.
type engines struct {
	random         *rand.Rand
	prefillRate    float64 // prompt tokens per second
	decodeStep     time.Duration
	tokensPerEvent int
}

func newEngines(prefillRate float64, decodeStep time.Duration, tokensPerEvent int) engines {
	return engines{random: rand.New(rand.NewPCG(7, 7)), prefillRate: prefillRate, decodeStep: decodeStep, tokensPerEvent: tokensPerEvent}
}

// serve records the given number of streams in estimator. The share queued of them first waits
// 400 ms in the engine's queue.
func (e engines) serve(estimator *speed.Estimator, streams int, queued float64) {
	for range streams {
		prompt := 200 + 2000*e.random.Float64()
		firstToken := prompt/e.prefillRate + e.decodeStep.Seconds() + 0.004 + 0.006*e.random.ExpFloat64()
		if e.random.Float64() < queued {
			firstToken += 0.4
		}
		estimator.ObservePrefill("m", int(prompt), seconds(firstToken))
		events := 10 + e.random.IntN(60)
		slowdown := 1 + 0.5*e.random.ExpFloat64()
		decodeTime := float64(events*e.tokensPerEvent) * e.decodeStep.Seconds() * slowdown
		estimator.ObserveStream(events*e.tokensPerEvent*2, events, seconds(decodeTime))
	}
}

// prefillRate returns the estimated prompt tokens per second.
func prefillRate(estimator *speed.Estimator) float64 {
	return 1e6 / estimator.PrefillTime("m", 1e6).Seconds()
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

var _ = Describe("Speed", func() {
	// Engines of another deployment prefill at half or three times the speed. With a fixed
	// speed, two thirds of the fast ones stay idle while requests are refused, and streams
	// of the slow ones pause for longer than callers tolerate.
	DescribeTable("arrives at engines of any speed",
		func(rate float64, decodeStep time.Duration, tokensPerEvent int) {
			estimator := speed.New(tokensPerEvent)
			newEngines(rate, decodeStep, tokensPerEvent).serve(estimator, 1000, 0)
			Expect(prefillRate(estimator)).To(BeNumerically("~", rate, 0.15*rate))
			event := time.Duration(tokensPerEvent) * decodeStep
			Expect(estimator.EventInterval()).To(BeNumerically("~", event, event/4))
			Expect(estimator.AnswerTime(100)).To(BeNumerically("~", 50*decodeStep*3/2, 50*decodeStep/2), "answers have half the declared number of tokens")
		},
		Entry("at the prior", 26_000.0, 10*time.Millisecond, 3),
		Entry("faster", 38_400.0, 6*time.Millisecond, 6),
		Entry("much faster", 120_000.0, 3*time.Millisecond, 8),
		Entry("slower", 9_000.0, 25*time.Millisecond, 1),
		Entry("much slower, with a large model", 5_000.0, 40*time.Millisecond, 4),
	)

	It("follows engines that become slower", func() {
		estimator := speed.New(4)
		newEngines(40_000, 5*time.Millisecond, 4).serve(estimator, 1000, 0)
		newEngines(10_000, 20*time.Millisecond, 4).serve(estimator, 1500, 0)
		Expect(prefillRate(estimator)).To(BeNumerically("~", 10_000, 2_000))
		Expect(estimator.EventInterval()).To(BeNumerically("~", 80*time.Millisecond, 25*time.Millisecond))
	})

	// Prefill takes three times as long for some models as for others on the same engines.
	// A common estimate makes streams pause during prefills of the large models, and wastes
	// time with the small ones.
	It("estimates each model separately, starting from the estimate over all models", func() {
		estimator := speed.New(3)
		for range 300 {
			estimator.ObservePrefill("large", 1000, 60*time.Millisecond)
			estimator.ObservePrefill("large", 500, 35*time.Millisecond)
			estimator.ObservePrefill("small", 1000, 25*time.Millisecond)
			estimator.ObservePrefill("small", 500, 17*time.Millisecond)
		}
		Expect(estimator.PrefillTime("large", 1000)).To(BeNumerically("~", 50*time.Millisecond, 5*time.Millisecond))
		Expect(estimator.PrefillTime("small", 1000)).To(BeNumerically("~", 16*time.Millisecond, 3*time.Millisecond))
		Expect(estimator.PrefillTime("new", 1000)).To(BeNumerically("~", 33*time.Millisecond, 5*time.Millisecond))
	})

	It("does not take queueing at the engine for a slower prefill", func() {
		estimator := speed.New(3)
		newEngines(26_000, 10*time.Millisecond, 3).serve(estimator, 1000, 0.1)
		Expect(prefillRate(estimator)).To(BeNumerically("~", 26_000, 6_000))
	})

	It("keeps the priors if it gets no measurement or only invalid ones", func() {
		estimator := speed.New(3)
		before := prefillRate(estimator)
		estimator.ObservePrefill("m", 0, time.Second)
		estimator.ObservePrefill("m", -5, time.Second)
		estimator.ObservePrefill("m", 500, 0)
		estimator.ObserveStream(0, 10, time.Second)
		estimator.ObserveStream(100, 1, time.Second)
		Expect(prefillRate(estimator)).To(Equal(before))
		Expect(estimator.EventInterval()).To(Equal(30 * time.Millisecond))
		Expect(estimator.PrefillTime("m", 26_000)).To(BeNumerically("~", time.Second, 10*time.Millisecond))
	})

	// Callers may name models that don't exist. An instance that stored an entry for each
	// would grow until it runs out of memory.
	It("stores nothing for models without an answer", func() {
		estimator := speed.New(3)
		allocations := testing.AllocsPerRun(100, func() { estimator.PrefillTime("nonexistent", 1000) })
		Expect(allocations).To(BeZero())
	})

	It("keeps the estimates within bounds for any measurement", func() {
		estimator := speed.New(3)
		for i := range 5000 {
			estimator.ObservePrefill("m", 1+i%7, time.Hour)
			estimator.ObserveStream(1, 2, time.Hour)
		}
		Expect(prefillRate(estimator)).To(BeNumerically(">", 1_000))
		Expect(estimator.EventInterval()).To(BeNumerically("<=", 240*time.Millisecond))
		Expect(estimator.AnswerTime(1)).To(BeNumerically("<=", 80*time.Millisecond))
	})
})
