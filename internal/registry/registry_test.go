package registry_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/manifest"
	"github.com/lovagelift/lovagelift/internal/parcel"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// randomCommand returns a random command. Many of them are rejected when applied.
func randomCommand(random *rand.Rand, now time.Time, revision registry.Revision) registry.Command {
	key := docket.KeyOf("booking", fmt.Sprint(random.IntN(5)))
	claimant := docket.Claimant{Instance: fmt.Sprintf("entry-%d", random.IntN(2)), Incarnation: 1, Request: uint64(random.IntN(3))}
	switch random.IntN(7) {
	case 0:
		return docket.Expire{Now: now, Limits: docket.DefaultLimits()}
	case 1:
		return docket.Claim{Key: key, Claimant: claimant, Timeout: time.Minute}
	case 2:
		return docket.Record{Key: key, Claimant: claimant, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{Status: 200, Body: []byte("yes")}}
	case 3:
		return docket.Abandon{Instance: claimant.Instance, Incarnation: uint64(random.IntN(3))}
	}
	c := registry.Change{ID: fmt.Sprint(random.IntN(50)), Expected: revision - registry.Revision(random.IntN(2)), By: "driver", Summary: "drawn", Now: now}
	if random.IntN(2) == 0 {
		c.Declarations = []byte("<ordinary> peak & night")
	}
	if random.IntN(2) == 0 {
		c.Preset = []string{"<ordinary>", "peak", "none"}[random.IntN(3)]
	}
	validated, _ := c.Validated(validateDeclarations)
	return validated
}

var _ = Describe("Registry", func() {
	// A voter that restarts from a snapshot and one that replays the whole log must
	// apply every later command with the same result, or their states diverge
	// undetected.
	It("is the same after a snapshot and after a replay, byte for byte", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 5))
			replayed, restored := newReplica(), newReplica()
			now := startTime
			for range 120 {
				now = now.Add(time.Duration(random.IntN(9000)) * time.Millisecond)
				data, err := registry.Encode(randomCommand(random, now, replayed.View().Revision))
				Expect(err).NotTo(HaveOccurred())
				Expect(restored.applyEncoded(data)).To(Equal(replayed.applyEncoded(data)), "seed %d", seed)
				if random.IntN(8) == 0 {
					restored = restored.restoredCopy()
				}
				first, err := replayed.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				second, err := restored.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(second).To(Equal(first), "seed %d", seed)
			}
			Expect(restored.View()).To(Equal(replayed.View()))
		}
	})

	It("decodes an encoded result to an equal one", func() {
		r := newReplica()
		for _, command := range []registry.Command{presetChange("one", 4, "peak"), docket.Expire{Now: startTime, Limits: docket.DefaultLimits()}} {
			result := r.apply(command)
			decoded, err := registry.DecodeResult(result.Encode())
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal(result))
		}
	})

	// An upgraded leader proposes a command that an older voter doesn't support. The
	// older voter must stop with the reason: if it skipped the command, its state
	// would diverge.
	DescribeTable("returns an error for a command that it can't apply", func(command string, newer bool) {
		r := registry.New()
		_, err := r.Apply(1, []byte(command))
		Expect(err).To(HaveOccurred())
		Expect(errors.HasType(err, (*registry.NewerVersionError)(nil))).To(Equal(newer))
		_, err = registry.Decode([]byte(command))
		Expect(err).To(HaveOccurred())
		Expect(r.AppliedIndex()).To(BeZero())
	},
		Entry("newer format", `{"format":9,"placement":{}}`, true),
		Entry("newer format of a known kind", `{"format":9,"change":{"id":"one"}}`, true),
		Entry("unknown kind", `{"format":1,"placement":{}}`, false),
		Entry("unknown field", `{"format":1,"change":{"id":"one","colour":"red"}}`, false),
		Entry("no command", `{"format":1}`, false),
		Entry("two commands", `{"format":1,"change":{"id":"one"},"claim":{}}`, false),
		Entry("invalid JSON", `{`, false),
	)

	It("applies no index twice", func() {
		r := newReplica()
		r.change(declareChange("one", 0, "ordinary"))
		data, err := registry.Encode(presetChange("two", 1, "ordinary"))
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Apply(1, data)
		Expect(err).To(HaveOccurred())
		Expect(r.View().Revision).To(Equal(registry.Revision(1)))
	})

	It("rejects truncated and newer snapshots and keeps its state", func() {
		r := newReplica()
		r.change(declareChange("one", 0, "ordinary"))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		for cut := range snapshot {
			Expect(r.Restore(snapshot[:cut])).NotTo(Succeed())
		}
		newer := parcel.AppendBytes(nil, "lovagelift-registry")
		newer = append(newer, 1, 9, 1)
		newer = parcel.AppendBytes(newer, "placement")
		newer = append(newer, 0)
		Expect(r.Restore(newer)).To(MatchError(ContainSubstring(`section "placement" comes from a newer program`)))
		Expect(r.View().Revision).To(Equal(registry.Revision(1)))
	})
})

var _ = Describe("a restart after hundreds of changes", func() {
	// An instance restarts after 600 changes with compactions in between. It must
	// recover the same revision and still recognize retried changes.
	It("comes back at the same revision", func() {
		options := archive.Options{Folder: GinkgoT().TempDir(), SegmentBytes: 4096}
		r := newReplica()
		log, _, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		appendCommand := func(command registry.Command) {
			data, err := registry.Encode(command)
			Expect(err).NotTo(HaveOccurred())
			r.applyEncoded(data)
			entry := jury.Entry{Index: r.lastIndex, Term: 1, Kind: jury.EntryCommand, Data: data}
			Expect(log.Append(jury.HardState{Term: 1}, 0, []jury.Entry{entry})).To(Succeed())
		}
		first, err := declareChange("first", 0, "ordinary peak").Validated(validateDeclarations)
		Expect(err).NotTo(HaveOccurred())
		appendCommand(first)
		for i := registry.Revision(1); i < 600; i++ {
			appendCommand(presetChange(fmt.Sprint("change ", i), i, []string{"ordinary", "peak"}[i%2]))
			if i%250 == 0 {
				data, err := r.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(log.SaveSnapshot(jury.Snapshot{Index: r.lastIndex, Term: 1, Data: data})).To(Succeed())
				Expect(log.Compact(r.lastIndex)).To(Succeed())
			}
		}
		Expect(log.Close()).To(Succeed())

		log, loaded, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		defer log.Close()
		restarted := newReplica()
		Expect(restarted.Restore(loaded.Snapshot.Data)).To(Succeed())
		restarted.lastIndex = loaded.Snapshot.Index
		Expect(len(loaded.Entries)).To(BeNumerically("<", 250))
		for _, entry := range loaded.Entries {
			restarted.applyEncoded(entry.Data)
		}
		Expect(restarted.View()).To(Equal(r.View()))
		Expect(restarted.View().Revision).To(Equal(registry.Revision(600)))
		Expect(restarted.change(presetChange("change 3", 3, "peak"))).To(Equal(registry.ChangeResult{Verdict: registry.VerdictApplied, Revision: 4, Preset: "peak"}))
	})
})

var _ = Describe("Manifest", func() {
	It("is applied from the log, included in snapshots, and omitted from them while empty", func() {
		r := registry.New()
		emptySnapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(emptySnapshot)).NotTo(ContainSubstring("manifest"))
		command, err := registry.Encode(manifest.NewLeader{Term: 3})
		Expect(err).NotTo(HaveOccurred())
		result, err := r.Apply(1, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Manifest).To(Equal(&manifest.Result{Accepted: true}))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		restored := registry.New()
		Expect(restored.Restore(snapshot)).To(Succeed())
		Expect(restored.Manifest()).To(Equal(manifest.View{Term: 3}))
		snapshotAgain, err := restored.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(snapshotAgain).To(Equal(snapshot))
	})
})
