package permit_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// messages returns at least one message of each kind.
func messages() []permit.Message {
	return []permit.Message{
		permit.Request{
			ID: 1 << 60, Service: "pool", Model: "m", Adapter: "a1", PromptTokens: 1460,
			AnswerTokens: 80, Priority: 2, Yields: true, Objective: 800 * time.Millisecond, MaxEventGap: 300 * time.Millisecond,
			Age: 3 * time.Millisecond, Remaining: 12 * time.Second, Tried: []string{"e1", "e2"},
		},
		permit.Granted{ID: 2, Upstream: "e1", Address: "10.0.0.9:8080", PrefillBacklog: 40 * time.Millisecond},
		permit.Granted{ID: 25, Upstream: "e1", Address: "10.0.0.9:8080", Described: true, Incarnation: 1 << 60, SoftwareVersion: "v1.2"},
		permit.Granted{ID: 26, Upstream: "e1", Described: true},
		permit.Queued{ID: 3},
		permit.Rejected{
			ID: 4, Reason: permit.WaitTooLong, RetryAfter: time.Second, EstimatedWait: 2 * time.Second,
			Survey: permit.Survey{Holders: 5, Full: 2, PrefillBusy: 1, Yielding: 1, Avoided: 1, ReportAge: time.Second},
		},
		permit.Rejected{ID: 23, Reason: permit.WaitTooLong, RetryAfter: time.Second, Reserved: true},
		permit.Rejected{ID: 24, Reason: permit.WaitTooLong, Survey: permit.Survey{Holders: 5}, RelativeUse: 7.25},
		permit.ShuttingDown{ID: 5},
		permit.Release{
			ID: 6, Outcome: permit.Succeeded, FirstEventTime: time.Millisecond, RunTime: time.Second, Events: 22, StreamTime: 900 * time.Millisecond,
		},
		permit.LoadReport{Upstream: "e1", PrefillTime: 50 * time.Millisecond, ActiveRequests: 7},
		permit.LimitReport{Upstream: "e1", Incarnation: 1 << 60, Named: true, Limit: 1.1, Age: time.Second},
		permit.LimitReport{Upstream: "e1"},
		permit.LeaveReport{Upstream: "e1", Incarnation: 1 << 60},
		permit.RefusalReport{Upstream: "e1", Incarnation: 1 << 60, Tolerance: 12},
		permit.SpeedReport{Upstream: "e1", Incarnation: 1 << 60, Factor: 1.6, Samples: 7},
		permit.SpeedReport{Upstream: "e1", Factor: 0.25},
		permit.PushbackReport{Upstream: "e1", Incarnation: 1 << 60, Remaining: 3 * time.Second},
		permit.SendRequest{ID: 7, Upstream: "e1", Limit: 0.3},
		permit.TrialRequest{ID: 20, Trial: quarantine.Trial{ID: 1 << 63}},
		permit.TrialRequest{ID: 29, Trial: quarantine.Trial{ID: 1 << 63, Crashes: 2}},
		permit.TrialEnded{Trial: quarantine.Trial{ID: 1 << 63, Crashes: 2}},
		permit.SendAllowed{ID: 8},
		permit.SendDelayed{ID: 9, Wait: 900 * time.Millisecond},
		permit.QuotaRequest{ID: 10, Workspace: "clerks", PerSecond: 235_663, Burst: 2700, Need: 1540, Ahead: 800},
		permit.QuotaGranted{ID: 11, Units: 2340, Scarce: true},
		permit.QuotaDenied{ID: 12, Wait: 300 * time.Millisecond},
		permit.QuotaReturn{Workspace: "clerks", Units: 800},
		permit.QuotaDebit{Workspace: "clerks", Units: 1540},
		permit.QuotaContinued{Workspace: "clerks", Age: 1400 * time.Millisecond},
		permit.Request{ID: 21, Service: "pool", Model: "m", Workspace: "clerks", Caller: 1 << 63, Software: resumption.BoundTo("v2")},
		permit.Request{ID: 22, Service: "pool", Model: "m", Tried: []string{"e1"}, Caller: 7},
		permit.Request{ID: 13, Service: "pool", Model: "m", Software: resumption.BoundTo("v1.2")},
		permit.Request{ID: 14, Service: "pool", Model: "m", Tried: []string{"e1"}, Software: resumption.BoundTo("")},
		permit.Request{ID: 27, Service: "pool", Model: "m", Tried: []string{"e1"}, Software: resumption.ToRecorded()},
		permit.Request{ID: 28, Service: "pool", Model: "m", Workspace: "clerks", Caller: 1 << 63, Software: resumption.ToRecorded()},
		permit.StreamReport{Stream: 1 << 63, Origin: resumption.Origin{Service: "pool", SoftwareVersion: "v1.2"}, Remaining: 9 * time.Second},
		permit.StreamQuery{ID: 15, Stream: 1 << 63},
		permit.StreamFound{ID: 16, Origin: resumption.Origin{Service: "pool", SoftwareVersion: "v1"}},
		permit.StreamUnknown{ID: 17},
	}
}

var _ = Describe("A message", func() {
	It("is the same after encoding and decoding", func() {
		for _, message := range messages() {
			Expect(permit.Decode(permit.Append(nil, message))).To(Equal(message))
		}
	})

	It("that is truncated or too long is rejected", func() {
		for _, message := range messages() {
			encoded := permit.Append(nil, message)
			for size := range encoded {
				_, err := permit.Decode(encoded[:size])
				Expect(err).To(MatchError(permit.ErrDamaged))
			}
			_, err := permit.Decode(append(encoded, 0))
			Expect(err).To(MatchError(permit.ErrDamaged))
		}
		_, err := permit.Decode(make([]byte, permit.MaxBytes+1))
		Expect(err).To(MatchError(permit.ErrDamaged))
	})
})

// A factor of 0 or without bound from a damaged message would stop all requests to an engine, or draw all
// of them there.
var _ = DescribeTable("A report of a speed beyond the bounds is rejected",
	func(factor float64) {
		_, err := permit.Decode(permit.Append(nil, permit.SpeedReport{Upstream: "e1", Factor: factor, Samples: 3}))
		Expect(err).To(MatchError(permit.ErrDamaged))
	},
	Entry("no time", 0.0), Entry("too fast", 0.2), Entry("too slow", 4.5),
)

// FuzzDecode checks that arbitrary bytes cause no panic, and that a decoded message stays
// the same after another encoding and decoding.
func FuzzDecode(f *testing.F) {
	for _, message := range messages() {
		f.Add(permit.Append(nil, message))
	}
	f.Add([]byte{1, 255, 255, 255, 255, 15})
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := permit.Decode(data)
		if err != nil {
			return
		}
		encoded := permit.Append(nil, message)
		again, err := permit.Decode(encoded)
		if err != nil || !bytes.Equal(permit.Append(nil, again), encoded) {
			t.Fatalf("%v becomes %v after encoding and decoding: %v", message, again, err)
		}
	})
}
