package archive_test

import (
	"fmt"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

const segmentBytes = 150

func openArchive(fs archive.FS) (*archive.Archive, archive.Loaded, error) {
	return archive.Open(archive.Options{Folder: "/data", FS: fs, SegmentBytes: segmentBytes})
}

// runUntilFailure runs the operations until one fails. It returns the states
// that the disk may then contain, which are those before, within and after the
// failed operation.
func runUntilFailure(fs *crashFS, ops []operation) (allowed []model, failure error) {
	state := model{}
	a, _, err := openArchive(fs)
	if err != nil {
		return []model{state}, err
	}
	for _, op := range ops {
		if err := op.call(a); err != nil {
			// An install operation makes two calls. The first one only changes
			// the hard state.
			termOnly := state
			termOnly.hardState = op.after.hardState
			return []model{state, termOnly, op.after}, err
		}
		state = op.after
	}
	return []model{state}, a.Close()
}

var _ = Describe("a crash of the machine", func() {
	// The machine loses power at any byte of a write or between any two other
	// file system calls. Unsynced bytes and file name changes are lost, kept or
	// partly kept, with zeroed blocks among the bytes. Acknowledged changes must
	// survive, and the one in progress must be complete or absent. A voter that
	// forgets its vote or an entry allows two leaders in one term.
	DescribeTable("loses no acknowledged change and keeps no partial one", func(seed uint64) {
		ops := randomOperations(seed, 18)
		uncrashed := newCrashFS()
		_, err := runUntilFailure(uncrashed, ops)
		Expect(err).NotTo(HaveOccurred())
		random := rand.New(rand.NewPCG(seed, 2))
		for crashStep := 1; crashStep <= uncrashed.steps; crashStep++ {
			for _, outcome := range []unsyncedOutcome{dropUnsynced, keepUnsynced, keepRandomPart} {
				context := fmt.Sprintf("seed %d, crash at step %d, outcome %d", seed, crashStep, outcome)
				fs := newCrashFS()
				fs.crashStep = crashStep
				allowed, err := runUntilFailure(fs, ops)
				if err == nil {
					continue
				}
				Expect(errors.Is(err, errCrashed)).To(BeTrue(), "%s: %v", context, err)
				expectRecovery(fs.crash(outcome, random), random, context, allowed)
			}
		}
	},
		Entry(nil, uint64(1)),
		Entry(nil, uint64(2)),
		Entry(nil, uint64(3)),
		Entry(nil, uint64(6)),
	)
})

// expectRecovery opens the data folder after a crash, with a second crash during
// Open, and checks that the state is one of allowed and that Append works.
func expectRecovery(fs *crashFS, random *rand.Rand, context string, allowed []model) {
	fs.crashStep = 1 + random.IntN(400)
	if a, _, err := openArchive(fs); err == nil {
		Expect(a.Close()).To(Succeed())
	}
	fs = fs.crash(unsyncedOutcome(random.IntN(3)), random)
	a, loaded, err := openArchive(fs)
	ExpectWithOffset(1, err).NotTo(HaveOccurred(), context)
	expectOneOf(loaded, context, allowed...)

	next := jury.Entry{Index: loaded.Snapshot.Index + jury.Index(len(loaded.Entries)) + 1, Term: loaded.HardState.Term + 1, Kind: jury.EntryBarrier}
	hardState := jury.HardState{Term: next.Term}
	ExpectWithOffset(1, a.Append(hardState, 0, []jury.Entry{next})).To(Succeed(), context)
	_, reloaded, err := openArchive(fs.crash(dropUnsynced, random))
	ExpectWithOffset(1, err).NotTo(HaveOccurred(), context)
	expected := model{hardState: hardState, snapshot: loaded.Snapshot, entries: append(loaded.Entries, next), cluster: loaded.ClusterID}
	expectOneOf(reloaded, context, expected)
}

var _ = Describe("a crash while a new segment is being created", func() {
	// The power fails while the first record of a new segment is written, so that
	// the newest vote is in the segment before it. A snapshot then covers all
	// entries. If Compact removed the segment with the vote, the voter could vote
	// twice in one term.
	It("doesn't let Compact remove the segment with the newest vote", func() {
		fs := newCrashFS()
		a, _, err := openArchive(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{commandEntry(1, 1), commandEntry(2, 1)})).To(Succeed())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{{Index: 3, Term: 1, Kind: jury.EntryCommand, Data: make([]byte, segmentBytes)}})).To(Succeed())
		vote := jury.HardState{Term: 5, Vote: jury.Identity(make([]byte, segmentBytes))}
		Expect(a.Append(vote, 0, nil)).To(Succeed())
		fs.crashStep = fs.steps + 2
		Expect(a.Append(vote, 0, nil)).NotTo(Succeed())

		fs = fs.crash(keepUnsynced, nil)
		a, loaded, err := openArchive(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.HardState).To(Equal(vote))
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 3, Term: 1})).To(Succeed())
		Expect(a.Compact(3)).To(Succeed())
		_, loaded, err = openArchive(fs.crash(dropUnsynced, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.HardState).To(Equal(vote))
	})
})

var _ = Describe("a failed fsync", func() {
	// After a failed fsync, the operating system marks the unwritten pages as
	// clean. They can still be read, so the record looks durable after a restart
	// of the process. The voter acknowledges it, and the next power failure loses
	// it. All later Appends must fail, and Open must rewrite the bytes.
	It("stops the archive, and what Open then returns survives a power cut", func() {
		fs := newCrashFS()
		a, _, err := openArchive(fs)
		Expect(err).NotTo(HaveOccurred())
		entry := jury.Entry{Index: 1, Term: 1, Kind: jury.EntryCommand, Data: []byte("preset")}
		Expect(a.Append(jury.HardState{Term: 1}, 0, nil)).To(Succeed())
		fs.failSyncAfter = 1
		var diskError *archive.DiskError
		Expect(errors.As(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{entry}), &diskError)).To(BeTrue())
		Expect(diskError.Operation).To(Equal("sync"))
		Expect(diskError.DiskFull()).To(BeFalse())
		Expect(a.Append(jury.HardState{Term: 2}, 0, nil)).To(MatchError(diskError))
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 1, Term: 1})).To(MatchError(diskError))
		Expect(a.Err()).To(MatchError(diskError))
		Expect(a.Close()).To(Succeed())

		a, loaded, err := openArchive(fs.restart())
		Expect(err).NotTo(HaveOccurred())
		next := jury.Entry{Index: 2, Term: 1, Kind: jury.EntryCommand}
		Expect(loaded.Entries).To(Equal([]jury.Entry{entry}))
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{next})).To(Succeed())
		_, loaded, err = openArchive(fs.crash(dropUnsynced, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Entries).To(Equal([]jury.Entry{entry, next}))
	})
})

var _ = Describe("a full disk", func() {
	// The disk fills up in the middle of a record. The error says so, and all
	// later calls fail even if space is freed. When the operator restarts the
	// instance, Open removes the partial record.
	DescribeTable("stops the archive until it is opened again", func(freeBytes int) {
		fs := newCrashFS()
		ops := randomOperations(7, 30)
		fs.limitedSpace, fs.freeBytes = true, freeBytes
		allowed, err := runUntilFailure(fs, ops)
		var diskError *archive.DiskError
		Expect(errors.As(err, &diskError)).To(BeTrue(), "%v", err)
		Expect(diskError.DiskFull()).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("make room on the disk")))
		_, loaded, err := openArchive(fs.restart())
		Expect(err).NotTo(HaveOccurred())
		expectOneOf(loaded, "after space was freed", allowed...)
	},
		Entry("before the first record", 130),
		Entry("within a header", 170),
		Entry("within a payload", 300),
		Entry("within a later record", 500),
	)
})
