package docket_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/docket"
)

// FuzzRestore restores arbitrary bytes. If Restore accepts them, a snapshot of the
// restored store must restore to the same state.
func FuzzRestore(f *testing.F) {
	s := docket.New()
	s.Apply(docket.Expire{Now: startTime, Limits: docket.DefaultLimits()})
	f.Add(s.Snapshot(nil))
	s.Apply(docket.Claim{Key: bookingKey, Fingerprint: bookingFingerprint, Claimant: claimant1, Timeout: time.Minute})
	f.Add(s.Snapshot(nil))
	s.Apply(docket.Record{Key: bookingKey, Claimant: claimant1, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{
		Status: 201, Headers: []docket.Header{{Name: "Content-Type", Value: "text/plain"}}, Body: []byte("yes"),
	}})
	f.Add(s.Snapshot(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := docket.Restore(data)
		if err != nil {
			return
		}
		snapshot := restored.Snapshot(nil)
		restoredAgain, err := docket.Restore(snapshot)
		if err != nil || !bytes.Equal(restoredAgain.Snapshot(nil), snapshot) {
			t.Fatal(err)
		}
		restoredAgain.Apply(docket.Expire{Now: startTime, Limits: docket.DefaultLimits()})
	})
}
