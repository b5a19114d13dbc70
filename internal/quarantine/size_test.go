package quarantine_test

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// BenchmarkSize reports the encoded sizes of a report, of a case in a snapshot, and of
// the news of one request in quarantine or on probation.
func BenchmarkSize(b *testing.B) {
	for _, requests := range []int{12, 64} {
		b.Run(fmt.Sprintf("requests=%d", requests), func(b *testing.B) {
			report := quarantine.Report{Lifetime: lifetime("i-5a140a121c")}
			for n := range requests {
				report.Suspects = append(report.Suspects, quarantine.Suspect{
					Digest: digest(fmt.Sprint(n)), Request: fmt.Sprintf("%016x", n),
				})
			}
			update := quarantine.Update{Now: time.Unix(1_000_000, 0), Reports: []quarantine.Report{report}}
			records := quarantine.Records{}
			for b.Loop() {
				records = quarantine.Records{}.With(update)
			}
			encoded, err := json.Marshal(update)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(encoded)), "bytes/report")
			b.ReportMetric(float64(len(records.Snapshot()))/float64(requests), "bytes/case")
		})
	}
	b.Run("news", func(b *testing.B) {
		size := func(quarantined, onProbation int) float64 {
			news := quarantine.News{Revision: 1, Mark: 1}
			for n := range quarantined {
				news.Quarantined = append(news.Quarantined, quarantine.Entry{Digest: digest(fmt.Sprint(n)), In: time.Second})
			}
			for n := range onProbation {
				news.OnProbation = append(news.OnProbation, quarantine.Probation{Digest: digest(fmt.Sprint(n)), Crashes: 1})
			}
			var buffer bytes.Buffer
			if err := gob.NewEncoder(&buffer).Encode(news); err != nil {
				b.Fatal(err)
			}
			return float64(buffer.Len())
		}
		for b.Loop() {
			size(1, 1)
		}
		b.ReportMetric((size(101, 1)-size(1, 1))/100, "bytes/request")
		b.ReportMetric((size(1, 101)-size(1, 1))/100, "bytes/probation")
	})
}
