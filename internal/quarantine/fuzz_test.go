package quarantine_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// FuzzRestore checks that damaged snapshots are either rejected, or restored to records
// whose snapshot can be restored again.
func FuzzRestore(f *testing.F) {
	records := quarantine.Records{}.With(quarantine.Update{
		Now: time.Unix(1_000_000, 0),
		Reports: []quarantine.Report{{
			Lifetime: quarantine.Lifetime{Upstream: "e1", Incarnation: 7},
			Suspects: []quarantine.Suspect{{Digest: quarantine.Identity{Target: "/x"}.Digest(), Request: "r1", Answering: true, Parts: partDigests([]string{"a", "b"})}},
		}},
	})
	f.Add(records.Snapshot())
	f.Add(quarantine.Records{}.Snapshot())
	f.Fuzz(func(t *testing.T, data []byte) {
		restored, err := quarantine.Restore(data)
		if err != nil {
			return
		}
		again, err := quarantine.Restore(restored.Snapshot())
		if err != nil || !bytes.Equal(again.Snapshot(), restored.Snapshot()) {
			t.Fatalf("snapshot of the restored records can't be restored: %v", err)
		}
		quarantine.NewPublisher(quarantine.Limits{}).News(time.Unix(1_000_000, 0), restored)
	})
}
