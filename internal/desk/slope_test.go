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

// listing is an instance whose answer names a fixed number of entries.
type listing struct {
	fakeInstance
	entries desk.Entries
}

func (l *listing) Entries(time.Time, string) desk.Entries {
	return l.entries
}

// BenchmarkSlopeEntries measures the answer to GET /v1/entries without the
// network and without the choice, by the number of entries that it names.
func BenchmarkSlopeEntries(b *testing.B) {
	for _, named := range []int{2, 4, 8} {
		b.Run(fmt.Sprintf("entries=%d", named), func(b *testing.B) {
			instance := &listing{fakeInstance: fakeInstance{gazette: gazette.New()}}
			instance.entries.Keep = 5 * time.Second
			for n := range named {
				instance.entries.List = append(instance.entries.List, desk.Entry{
					Name: fmt.Sprintf("instance-%d", n), Address: "10.0.0.1:7600", FailureDomain: "domain",
				})
			}
			seeker := coroner.New(coroner.Options{Now: time.Now})
			b.Cleanup(seeker.Close)
			d := desk.New(desk.Options{Coroner: seeker, Instance: instance, Shuttle: shuttle.New(shuttle.Options{}), Now: time.Now, Log: zerolog.Nop()})
			request := httptest.NewRequest(http.MethodGet, "/v1/entries", nil)
			b.ReportAllocs()
			for b.Loop() {
				recorder := httptest.NewRecorder()
				d.ServeHTTP(recorder, request)
				if recorder.Code != http.StatusOK {
					b.Fatal(recorder.Code)
				}
			}
		})
	}
}
