package upstreamapi_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// An upstream sends anything at all. Decoding must not panic, must not give back
// what it found fault with in decoding, and what it took must survive being
// passed on between instances.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(goodEngine))
	f.Add([]byte(`{"name":"pings-1","incarnation":1,"sequence":1,"address":"[::1]:80","kind":"service",` +
		`"failure-domain":"kgn-b","services":["pings"],"load":{"clock":"2026-01-01T00:00:00.5Z"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		before, findings := upstreamapi.DecodeAnnouncement(data)
		if findings.Len() > 0 {
			return
		}
		passed, err := json.Marshal(before)
		if err != nil {
			t.Fatalf("what was taken cannot be passed on: %v", err)
		}
		after, findings := upstreamapi.DecodeAnnouncement(passed)
		if err := findings.Err(); err != nil {
			t.Fatalf("what was taken is refused when passed on: %v", err)
		}
		again, _ := json.Marshal(after)
		if string(passed) != string(again) {
			t.Fatalf("changed by being passed on:\n%s\n%s", passed, again)
		}
	})
}

// Cache events come late, with gaps, and from any program. Decoding must not
// panic, and the numbers of what it took must go up.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(goodEvents))
	f.Add([]byte(`{"name":"e","incarnation":1,"first":18446744073709551615,"events":[{"kind":"cleared"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		before, findings := upstreamapi.DecodeCacheEvents(data)
		if findings.Len() > 0 {
			return
		}
		if before.First == 0 || before.Next() <= before.First {
			t.Fatalf("numbers from %d up to %d", before.First, before.Next())
		}
		passed, err := json.Marshal(before)
		if err != nil {
			t.Fatalf("what was taken cannot be passed on: %v", err)
		}
		after, findings := upstreamapi.DecodeCacheEvents(passed)
		if findings.Len() > 0 || !reflect.DeepEqual(before, after) {
			t.Fatalf("changed by being passed on:\n%+v\n%+v", before, after)
		}
	})
}
