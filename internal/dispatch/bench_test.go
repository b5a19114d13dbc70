package dispatch_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// BenchmarkChoose chooses an upstream for one request, sends it and finishes it, at the
// target size: 1,100 engines with ten models each, of 1,700 models with one adapter each.
// It also reports the median and the 99th percentile of the choice alone.
func BenchmarkChoose(b *testing.B) {
	const (
		engineCount     = 1100
		modelCount      = 1700
		modelsPerEngine = 10
	)
	d := dispatch.New(dispatch.Options{Instances: 330, Seed: 1})
	for e := range engineCount {
		view := viewOf("e"+strconv.Itoa(e), 1, 64)
		view.Resident = nil
		for i := range modelsPerEngine {
			model := (e*modelsPerEngine + i) * 7 % modelCount
			view.Resident = append(view.Resident, upstreamapi.Resident{
				Model: "m" + strconv.Itoa(model), Adapters: []string{"a" + strconv.Itoa(model)},
			})
		}
		d.Update(view)
	}
	requests := make([]dispatch.Request, modelCount)
	for i := range requests {
		requests[i] = dispatch.Request{
			Target: dispatch.Target{Model: "m" + strconv.Itoa(i), Adapter: "a" + strconv.Itoa(i)},
			Goal:   goal, PromptTokens: 1024, Priority: 1,
		}
		prompt := []byte(strconv.Itoa(i*1000000) + string(make([]byte, 4096)))
		requests[i].Blocks = dispatch.BlockHashes(nil, requests[i].Target, prompt, 512)
	}
	now := start
	runRequest := func(i int) time.Duration {
		now = now.Add(time.Millisecond)
		r := &requests[i*31%modelCount]
		choiceStart := time.Now()
		decision := d.Choose(now, r)
		choiceTime := time.Since(choiceStart)
		if !decision.OK() {
			b.Fatal(decision.Reason)
		}
		attempt := d.Sent(now, r, &decision)
		d.FirstByte(now, &attempt)
		d.Finished(now, &attempt)
		return choiceTime
	}
	// Warm up until the change logs of all upstreams have their final size.
	for i := range 1000 * engineCount {
		runRequest(i)
	}
	choiceTimes := make([]time.Duration, 0, 1<<20)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if choiceTime := runRequest(i); len(choiceTimes) < cap(choiceTimes) {
			choiceTimes = append(choiceTimes, choiceTime)
		}
	}
	b.StopTimer()
	slices.Sort(choiceTimes)
	b.ReportMetric(float64(choiceTimes[len(choiceTimes)*99/100].Nanoseconds()), "p99-ns/choice")
	b.ReportMetric(float64(choiceTimes[len(choiceTimes)/2].Nanoseconds()), "p50-ns/choice")
}
