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

const smallSegment = 150

func open(fs archive.FS) (*archive.Archive, archive.Loaded, error) {
	return archive.Open(archive.Options{Folder: "/data", FS: fs, SegmentBytes: smallSegment})
}

// run calls the operations until one fails. It returns the models that the disk
// may then hold: the one before, and the one after the failed operation.
func run(fs *crashFS, ops []operation) (possible []model, failed error) {
	state := model{}
	a, _, err := open(fs)
	if err != nil {
		return []model{state}, err
	}
	for _, op := range ops {
		if err := op.call(a); err != nil {
			// An install is two calls; the first one raises the term only.
			half := state
			half.hard = op.after.hard
			return []model{state, half, op.after}, err
		}
		state = op.after
	}
	return []model{state}, a.Close()
}

var _ = Describe("a crash of the machine", func() {
	// The caller of Append sees no error for what it was told is durable, and
	// then the machine loses power at any byte of any write, or between any two
	// other calls. Bytes that were not synced are lost, kept or partly kept with
	// holes of zeros, and so are changes of names. What was acknowledged must be
	// there, and what was under way whole or not at all: a voter that forgets
	// its vote or an entry lets two leaders win one term.
	DescribeTable("loses nothing acknowledged and keeps nothing half", func(seed uint64) {
		ops := operations(seed, 18)
		whole := newCrashFS()
		_, err := run(whole, ops)
		Expect(err).NotTo(HaveOccurred())
		random := rand.New(rand.NewPCG(seed, 2))
		for limit := 1; limit <= whole.steps; limit++ {
			for _, kept := range []unsynced{loseAll, keepAll, keepSome} {
				why := fmt.Sprintf("seed %d, crash at step %d, kept %d", seed, limit, kept)
				fs := newCrashFS()
				fs.limit = limit
				possible, err := run(fs, ops)
				if err == nil {
					continue
				}
				Expect(errors.Is(err, errCrashed)).To(BeTrue(), "%s: %v", why, err)
				expectRecovery(fs.crash(kept, random), random, why, possible)
			}
		}
	},
		Entry(nil, uint64(1)),
		Entry(nil, uint64(2)),
		Entry(nil, uint64(3)),
		Entry(nil, uint64(6)),
	)
})

// expectRecovery opens what a crash left, crashing once more in the middle of
// that, and then checks that appending goes on from there.
func expectRecovery(fs *crashFS, random *rand.Rand, why string, possible []model) {
	fs.limit = 1 + random.IntN(400)
	if a, _, err := open(fs); err == nil {
		Expect(a.Close()).To(Succeed())
	}
	fs = fs.crash(unsynced(random.IntN(3)), random)
	a, loaded, err := open(fs)
	ExpectWithOffset(1, err).NotTo(HaveOccurred(), why)
	expectOneOf(loaded, why, possible...)

	next := jury.Entry{Index: loaded.Snapshot.Index + jury.Index(len(loaded.Entries)) + 1, Term: loaded.HardState.Term + 1, Kind: jury.EntryBarrier}
	hard := jury.HardState{Term: next.Term}
	ExpectWithOffset(1, a.Append(hard, 0, []jury.Entry{next})).To(Succeed(), why)
	_, again, err := open(fs.crash(loseAll, random))
	ExpectWithOffset(1, err).NotTo(HaveOccurred(), why)
	expected := model{hard: hard, snapshot: loaded.Snapshot, entries: append(loaded.Entries, next), cluster: loaded.ClusterID}
	expectOneOf(again, why, expected)
}

var _ = Describe("a crash while a new log file is begun", func() {
	// A voter votes, the next batch begins a new log file, and the power fails
	// with that file empty. A snapshot then makes all entries of the file with
	// the vote needless; if Compact removed it, the voter would vote twice in
	// one term.
	It("leaves the vote where Compact doesn't take it", func() {
		fs := newCrashFS()
		a, _, err := open(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{command(1, 1), command(2, 1)})).To(Succeed())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{{Index: 3, Term: 1, Kind: jury.EntryCommand, Data: make([]byte, smallSegment)}})).To(Succeed())
		vote := jury.HardState{Term: 5, Vote: jury.Identity(make([]byte, smallSegment))}
		Expect(a.Append(vote, 0, nil)).To(Succeed())
		fs.limit = fs.steps + 2
		Expect(a.Append(vote, 0, nil)).NotTo(Succeed())

		fs = fs.crash(keepAll, nil)
		a, loaded, err := open(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.HardState).To(Equal(vote))
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 3, Term: 1})).To(Succeed())
		Expect(a.Compact(3)).To(Succeed())
		_, loaded, err = open(fs.crash(loseAll, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.HardState).To(Equal(vote))
	})
})

var _ = Describe("a failed fsync", func() {
	// The disk fails one fsync and the operating system marks the bytes as
	// clean. The process still reads them, so that after a restart the record
	// looks durable; the voter answers for it and the next power cut takes it
	// away. Append must fail for good, and Open must write the bytes anew.
	It("stops the archive, and what Open then returns survives a power cut", func() {
		fs := newCrashFS()
		a, _, err := open(fs)
		Expect(err).NotTo(HaveOccurred())
		entry := jury.Entry{Index: 1, Term: 1, Kind: jury.EntryCommand, Data: []byte("preset")}
		Expect(a.Append(jury.HardState{Term: 1}, 0, nil)).To(Succeed())
		fs.failSync = 1
		var failed *archive.FailedError
		Expect(errors.As(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{entry}), &failed)).To(BeTrue())
		Expect(failed.Operation).To(Equal("sync"))
		Expect(failed.DiskFull()).To(BeFalse())
		Expect(a.Append(jury.HardState{Term: 2}, 0, nil)).To(MatchError(failed))
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 1, Term: 1})).To(MatchError(failed))
		Expect(a.Failed()).To(MatchError(failed))
		Expect(a.Close()).To(Succeed())

		a, loaded, err := open(fs.restart())
		Expect(err).NotTo(HaveOccurred())
		next := jury.Entry{Index: 2, Term: 1, Kind: jury.EntryCommand}
		Expect(loaded.Entries).To(Equal([]jury.Entry{entry}))
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{next})).To(Succeed())
		_, loaded, err = open(fs.crash(loseAll, nil))
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Entries).To(Equal([]jury.Entry{entry, next}))
	})
})

var _ = Describe("a full disk", func() {
	// The disk fills up in the middle of a record. The caller gets an error that
	// says so, and nothing more is taken, even if room appears: the operator
	// restarts the instance, which cuts the half record off and goes on.
	DescribeTable("stops the archive until it is opened again", func(room int) {
		fs := newCrashFS()
		ops := operations(7, 30)
		fs.bounded, fs.room = true, room
		possible, err := run(fs, ops)
		var failed *archive.FailedError
		Expect(errors.As(err, &failed)).To(BeTrue(), "%v", err)
		Expect(failed.DiskFull()).To(BeTrue())
		Expect(err).To(MatchError(ContainSubstring("make room on the disk")))
		_, loaded, err := open(fs.restart())
		Expect(err).NotTo(HaveOccurred())
		expectOneOf(loaded, "after room was made", possible...)
	},
		Entry("before the first record", 130),
		Entry("within a header", 170),
		Entry("within a payload", 300),
		Entry("later", 500),
	)
})
