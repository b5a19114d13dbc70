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

// draw draws a command of any kind; many of them are refused.
func draw(random *rand.Rand, now time.Time, revision registry.Revision) registry.Command {
	key := docket.KeyOf("booking", fmt.Sprint(random.IntN(5)))
	by := docket.Claimant{Instance: fmt.Sprintf("entry-%d", random.IntN(2)), Incarnation: 1, Request: uint64(random.IntN(3))}
	switch random.IntN(7) {
	case 0:
		return docket.Expire{Now: now, Limits: docket.DefaultLimits()}
	case 1:
		return docket.Claim{Key: key, Claimant: by, Timeout: time.Minute}
	case 2:
		return docket.Record{Key: key, Claimant: by, Attempt: 1, State: docket.StateCompleted, Response: &docket.Response{Status: 200, Body: []byte("yes")}}
	case 3:
		return docket.Abandon{Instance: by.Instance, Incarnation: uint64(random.IntN(3))}
	}
	c := registry.Change{ID: fmt.Sprint(random.IntN(50)), Expected: revision - registry.Revision(random.IntN(2)), By: "driver", Summary: "drawn", Now: now}
	if random.IntN(2) == 0 {
		c.Declarations = []byte("<ordinary> peak & night")
	}
	if random.IntN(2) == 0 {
		c.Preset = []string{"<ordinary>", "peak", "none"}[random.IntN(3)]
	}
	prepared, _ := c.Prepare(check)
	return prepared
}

var _ = Describe("Registry", func() {
	// A voter that restarts from a snapshot and one that replayed the whole log
	// must decide every later command alike, or the state forks without anyone
	// noticing.
	It("is the same after a snapshot and after a replay, byte for byte", func() {
		for seed := range uint64(60) {
			random := rand.New(rand.NewPCG(seed, 5))
			replayed, restored := newReplica(), newReplica()
			now := start
			for range 120 {
				now = now.Add(time.Duration(random.IntN(9000)) * time.Millisecond)
				data, err := registry.Encode(draw(random, now, replayed.View().Revision))
				Expect(err).NotTo(HaveOccurred())
				Expect(restored.applyEncoded(data)).To(Equal(replayed.applyEncoded(data)), "seed %d", seed)
				if random.IntN(8) == 0 {
					restored = restored.restarted()
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

	It("gives a result back from its encoding", func() {
		r := newReplica()
		for _, command := range []registry.Command{choose("one", 4, "peak"), docket.Expire{Now: start, Limits: docket.DefaultLimits()}} {
			result := r.apply(command)
			decoded, err := registry.DecodeResult(result.Encode())
			Expect(err).NotTo(HaveOccurred())
			Expect(decoded).To(Equal(result))
		}
	})

	// An upgraded leader proposes what an older voter doesn't know. The older one
	// must stop and say why: skipping it would fork the state.
	DescribeTable("stops at a command that it can't apply", func(command string, newer bool) {
		r := registry.New()
		_, err := r.Apply(1, []byte(command))
		Expect(err).To(HaveOccurred())
		Expect(errors.HasType(err, (*registry.NewerError)(nil))).To(Equal(newer))
		_, err = registry.Decode([]byte(command))
		Expect(err).To(HaveOccurred())
		Expect(r.Applied()).To(BeZero())
	},
		Entry("newer format", `{"format":6,"placement":{}}`, true),
		Entry("newer format of a known kind", `{"format":6,"change":{"id":"one"}}`, true),
		Entry("unknown kind", `{"format":1,"placement":{}}`, false),
		Entry("unknown field", `{"format":1,"change":{"id":"one","colour":"red"}}`, false),
		Entry("none", `{"format":1}`, false),
		Entry("two", `{"format":1,"change":{"id":"one"},"claim":{}}`, false),
		Entry("no JSON", `{`, false),
	)

	It("applies no index twice", func() {
		r := newReplica()
		r.change(declare("one", 0, "ordinary"))
		data, err := registry.Encode(choose("two", 1, "ordinary"))
		Expect(err).NotTo(HaveOccurred())
		_, err = r.Apply(1, data)
		Expect(err).To(HaveOccurred())
		Expect(r.View().Revision).To(Equal(registry.Revision(1)))
	})

	It("restores no damaged or newer snapshot and stays as it is", func() {
		r := newReplica()
		r.change(declare("one", 0, "ordinary"))
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
	// Operators made 600 changes, the state was compacted in between, and the
	// machine restarts. The instance must come back at the same revision, and
	// know every change that is sent again.
	It("comes back at the same revision", func() {
		options := archive.Options{Folder: GinkgoT().TempDir(), SegmentBytes: 4096}
		r := newReplica()
		a, _, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		append1 := func(command registry.Command) {
			data, err := registry.Encode(command)
			Expect(err).NotTo(HaveOccurred())
			r.applyEncoded(data)
			entry := jury.Entry{Index: r.last, Term: 1, Kind: jury.EntryCommand, Data: data}
			Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{entry})).To(Succeed())
		}
		first, err := declare("first", 0, "ordinary peak").Prepare(check)
		Expect(err).NotTo(HaveOccurred())
		append1(first)
		for i := registry.Revision(1); i < 600; i++ {
			append1(choose(fmt.Sprint("change ", i), i, []string{"ordinary", "peak"}[i%2]))
			if i%250 == 0 {
				data, err := r.Snapshot()
				Expect(err).NotTo(HaveOccurred())
				Expect(a.SaveSnapshot(jury.Snapshot{Index: r.last, Term: 1, Data: data})).To(Succeed())
				Expect(a.Compact(r.last)).To(Succeed())
			}
		}
		Expect(a.Close()).To(Succeed())

		a, loaded, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		again := newReplica()
		Expect(again.Restore(loaded.Snapshot.Data)).To(Succeed())
		again.last = loaded.Snapshot.Index
		Expect(len(loaded.Entries)).To(BeNumerically("<", 250))
		for _, entry := range loaded.Entries {
			again.applyEncoded(entry.Data)
		}
		Expect(again.View()).To(Equal(r.View()))
		Expect(again.View().Revision).To(Equal(registry.Revision(600)))
		Expect(again.change(choose("change 3", 3, "peak"))).To(Equal(registry.Answer{Verdict: registry.VerdictApplied, Revision: 4, Preset: "peak"}))
	})
})

var _ = Describe("Manifest", func() {
	It("is applied from the log, kept by a snapshot, and left out of it while it is empty", func() {
		r := registry.New()
		before, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(before)).NotTo(ContainSubstring("manifest"))
		command, err := registry.Encode(manifest.Lead{Term: 3})
		Expect(err).NotTo(HaveOccurred())
		result, err := r.Apply(1, command)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Manifest).To(Equal(&manifest.Result{Accepted: true}))
		snapshot, err := r.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		other := registry.New()
		Expect(other.Restore(snapshot)).To(Succeed())
		Expect(other.Manifest()).To(Equal(manifest.View{Term: 3}))
		again, err := other.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(snapshot))
	})
})
