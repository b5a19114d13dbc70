package upstreamapi_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// An upstream may send arbitrary data. Decoding must not panic, must not return
// a message with decoding errors, and an accepted announcement must survive the
// re-encoding with which instances forward it.
func FuzzAnnouncement(f *testing.F) {
	f.Add([]byte(validEngine))
	f.Add([]byte(`{"name":"pings-1","incarnation":1,"sequence":1,"address":"[::1]:80","kind":"service",` +
		`"failure-domain":"kgn-b","services":["pings"],"load":{"clock":"2026-01-01T00:00:00.5Z"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, findings := upstreamapi.DecodeAnnouncement(data)
		if findings.Len() > 0 {
			return
		}
		encoded, err := json.Marshal(decoded)
		if err != nil {
			t.Fatalf("accepted message cannot be encoded: %v", err)
		}
		redecoded, findings := upstreamapi.DecodeAnnouncement(encoded)
		if err := findings.Err(); err != nil {
			t.Fatalf("accepted message is rejected after re-encoding: %v", err)
		}
		reencoded, _ := json.Marshal(redecoded)
		if string(encoded) != string(reencoded) {
			t.Fatalf("message changed by re-encoding:\n%s\n%s", encoded, reencoded)
		}
	})
}

// Cache events may arrive late, with gaps and from any program. Decoding must
// not panic, and the sequence numbers of accepted events must increase.
func FuzzCacheEvents(f *testing.F) {
	f.Add([]byte(validEvents))
	f.Add([]byte(`{"name":"e","incarnation":1,"first":18446744073709551615,"events":[{"kind":"cleared"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, findings := upstreamapi.DecodeCacheEvents(data)
		if findings.Len() > 0 {
			return
		}
		if decoded.First == 0 || decoded.Next() <= decoded.First {
			t.Fatalf("first sequence number %d, next %d", decoded.First, decoded.Next())
		}
		encoded, err := json.Marshal(decoded)
		if err != nil {
			t.Fatalf("accepted message cannot be encoded: %v", err)
		}
		redecoded, findings := upstreamapi.DecodeCacheEvents(encoded)
		if findings.Len() > 0 || !reflect.DeepEqual(decoded, redecoded) {
			t.Fatalf("message changed by re-encoding:\n%+v\n%+v", decoded, redecoded)
		}
	})
}
