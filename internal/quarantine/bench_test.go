package quarantine_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// BenchmarkRequest measures the cost of the watch for a request that is not suspected, by
// body size: computing the digest, checking for quarantine and recording the success.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{0, 4 << 10, 64 << 10} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			watch := quarantine.NewWatch()
			now := time.Unix(1_000_000, 0)
			identity := quarantine.Identity{Method: "POST", Host: "spec.test", Target: "/write/x", Body: bytes.Repeat([]byte("x"), size)}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				digest := identity.Digest()
				if !watch.IsQuarantined(now, digest) {
					digest[0], digest[1] = byte(n), byte(n>>8)
					watch.Succeeded(now, digest)
				}
			}
		})
	}
}

// BenchmarkParts measures the cost of the watch for a request with three parts in its prompt, with
// and without entries in quarantine.
func BenchmarkParts(b *testing.B) {
	for _, entries := range []int{0, 64} {
		b.Run(fmt.Sprintf("quarantined=%d", entries), func(b *testing.B) {
			watch := quarantine.NewWatch()
			now := time.Unix(1_000_000, 0)
			news := quarantine.News{Revision: 1, Mark: 1}
			for n := range entries {
				news.Quarantined = append(news.Quarantined, quarantine.Entry{Digest: quarantine.PartDigest(fmt.Sprint("dead", n)), Part: true})
			}
			watch.ApplyNews(now, news)
			request := digest("x")
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				parts := partDigests([]string{"system", "tool", fmt.Sprint("subject", n%1000)})
				if watch.Rule(now, request, parts...).Decision == quarantine.DecisionSend {
					watch.Succeeded(now, request, parts...)
				}
			}
		})
	}
}

// BenchmarkJudge measures the cost of new reports at a control instance that keeps the
// largest number of cases.
func BenchmarkJudge(b *testing.B) {
	var records quarantine.Records
	now := time.Unix(1_000_000, 0)
	for n := range 200 {
		report := quarantine.Report{Lifetime: lifetime(fmt.Sprint("e", n)), Suspects: []quarantine.Suspect{suspect("bad")}}
		for m := range 12 {
			report.Suspects = append(report.Suspects, suspect(fmt.Sprint(n, "-", m)))
		}
		records = records.With(quarantine.Update{Now: now.Add(time.Duration(n) * time.Second), Reports: []quarantine.Report{report}})
	}
	b.ReportAllocs()
	for b.Loop() {
		quarantine.NewPublisher(quarantine.Limits{}).News(now, records)
	}
}
