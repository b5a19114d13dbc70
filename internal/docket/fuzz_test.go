package docket_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// FuzzRestore puts any bytes in the place of a snapshot. What Restore takes must
// come back as the same docket from its own snapshot.
func FuzzRestore(f *testing.F) {
	d := docket.New()
	d.Apply(docket.Expire{Now: start, Limits: docket.DefaultLimits()})
	f.Add(d.Snapshot(nil))
	d.Apply(docket.Claim{Key: seat, Fingerprint: body, Claimant: here, Timeout: time.Minute})
	f.Add(d.Snapshot(nil))
	d.Apply(docket.Record{Key: seat, Claimant: here, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{
		Status: 201, Headers: []docket.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("yes"),
	}})
	f.Add(d.Snapshot(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := docket.Restore(data)
		if err != nil {
			return
		}
		first := restored.Snapshot(nil)
		again, err := docket.Restore(first)
		if err != nil || !bytes.Equal(again.Snapshot(nil), first) {
			t.Fatal(err)
		}
		again.Apply(docket.Expire{Now: start, Limits: docket.DefaultLimits()})
	})
}
