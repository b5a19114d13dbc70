package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// BenchmarkChoose decides, sends and ends one request at the size of the target:
// 1,100 engines and 1,700 models with an adapter each, ten models an engine. It
// reports the 99th percentile of a decision besides the mean of the whole.
func BenchmarkChoose(b *testing.B) {
	const (
		manyEngines = 1100
		manyModels  = 1700
		perEngine   = 10
	)
	d := dispatch.New(dispatch.Options{Instances: 330, Seed: 1})
	for e := range manyEngines {
		view := viewOf("e"+strconv.Itoa(e), 1, 64)
		view.Resident = nil
		for i := range perEngine {
			model := (e*perEngine + i) * 7 % manyModels
			view.Resident = append(view.Resident, upstreamapi.Resident{
				Model: "m" + strconv.Itoa(model), Adapters: []string{"a" + strconv.Itoa(model)},
			})
		}
		d.Update(view)
	}
	requests := make([]dispatch.Request, manyModels)
	for i := range requests {
		requests[i] = dispatch.Request{
			Target: dispatch.Target{Model: "m" + strconv.Itoa(i), Adapter: "a" + strconv.Itoa(i)},
			Goal:   goal, PromptTokens: 1024, Priority: 1,
		}
		prompt := []byte(strconv.Itoa(i*1000000) + string(make([]byte, 4096)))
		requests[i].Blocks = dispatch.BlockHashes(nil, requests[i].Target, prompt, 512)
	}
	now := start
	round := func(i int) time.Duration {
		now = now.Add(time.Millisecond)
		r := &requests[i*31%manyModels]
		began := time.Now()
		decision := d.Choose(now, r)
		took := time.Since(began)
		if !decision.OK() {
			b.Fatal(decision.Reason)
		}
		flight := d.Sent(now, r, &decision)
		d.FirstByte(now, &flight)
		d.Finished(now, &flight)
		return took
	}
	// The steady state is reached when the rings of all upstreams have grown.
	for i := range 1000 * manyEngines {
		round(i)
	}
	samples := make([]time.Duration, 0, 1<<20)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if took := round(i); len(samples) < cap(samples) {
			samples = append(samples, took)
		}
	}
	b.StopTimer()
	slices.Sort(samples)
	b.ReportMetric(float64(samples[len(samples)*99/100].Nanoseconds()), "p99-ns/choice")
	b.ReportMetric(float64(samples[len(samples)/2].Nanoseconds()), "p50-ns/choice")
}
