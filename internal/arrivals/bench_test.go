package arrivals_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/arrivals"
	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// BenchmarkSlopeAnnounce measures the lease renewal of an engine by its number of adapters, without
// the network: decoding, validation and the roster update.
func BenchmarkSlopeAnnounce(b *testing.B) {
	for _, adapters := range []int{2, 10, 50} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			handler := arrivals.New(arrivals.Options{
				Instance:        rosterInstance{Roster: roster.New(roster.Options{Self: "one", Incarnation: 1, Lease: time.Minute})},
				UpstreamByToken: func(string) (string, bool) { return "engine", true },
				Now:             time.Now,
				Log:             zerolog.Nop(),
			})
			announcement := upstreamapi.Announcement{
				Name: "engine-0001", Incarnation: 1, Address: "10.0.0.1:8000", Kind: upstreamapi.KindEngine,
				FailureDomain: "domain-1", Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 80 << 30}},
				Resident: []upstreamapi.Resident{{Model: "model-0001", Version: "1", Accelerators: []string{"a0"}, MemoryBytes: 16 << 30}},
			}
			for n := range adapters {
				name := fmt.Sprintf("model-0001-adapter-%d", n)
				announcement.Resident[0].Adapters = append(announcement.Resident[0].Adapters, name)
			}
			bodyBytes := 0
			for b.Loop() {
				announcement.Sequence++
				body, err := json.Marshal(announcement)
				if err != nil {
					b.Fatal(err)
				}
				bodyBytes = len(body)
				request := httptest.NewRequest(http.MethodPost, upstreamapi.AnnouncePath, bytes.NewReader(body))
				recorder := httptest.NewRecorder()
				handler.ServeHTTP(recorder, request)
				if recorder.Code != http.StatusOK {
					b.Fatal(recorder.Body.String())
				}
			}
			b.ReportMetric(float64(bodyBytes), "body-B")
		})
	}
}
