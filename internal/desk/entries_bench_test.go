package desk_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/desk"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// fixedEntriesInstance is an instance that returns a fixed list of entries.
type fixedEntriesInstance struct {
	fakeInstance
	entries desk.Entries
}

func (i *fixedEntriesInstance) Entries(time.Time, string) desk.Entries {
	return i.entries
}

// BenchmarkSlopeEntries measures GET /v1/entries by the number of entries in the response. It
// excludes the network and the selection of the entries.
func BenchmarkSlopeEntries(b *testing.B) {
	for _, count := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			instance := &fixedEntriesInstance{fakeInstance: fakeInstance{configCache: gazette.New()}}
			instance.entries.TTL = 5 * time.Second
			for n := range count {
				instance.entries.Instances = append(instance.entries.Instances, desk.Entry{
					Name: fmt.Sprintf("instance-%d", n), Address: "10.0.0.1:7600", FailureDomain: "domain",
				})
			}
			detector := coroner.New(coroner.Options{Now: time.Now})
			b.Cleanup(detector.Close)
			server := desk.New(desk.Options{CrashDetector: detector, Instance: instance, Proxy: shuttle.New(shuttle.Options{}), Now: time.Now, Log: zerolog.Nop()})
			request := httptest.NewRequest(http.MethodGet, "/v1/entries", nil)
			b.ReportAllocs()
			for b.Loop() {
				recorder := httptest.NewRecorder()
				server.ServeHTTP(recorder, request)
				if recorder.Code != http.StatusOK {
					b.Fatal(recorder.Code)
				}
			}
		})
	}
}
