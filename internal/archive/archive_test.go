package archive_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

func commandEntry(index jury.Index, term jury.Term) jury.Entry {
	return jury.Entry{Index: index, Term: term, Kind: jury.EntryCommand, Data: []byte(fmt.Sprint(index))}
}

var _ = Describe("Archive on the operating system's disk", func() {
	var options archive.Options

	BeforeEach(func() {
		options = archive.Options{Folder: filepath.Join(GinkgoT().TempDir(), "state", "voter"), SegmentBytes: 400}
	})

	It("restores the hard state, snapshot and entries after a restart", func() {
		a, loaded, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.NewFolder).To(BeTrue())
		Expect(loaded.FolderNumber).NotTo(BeZero())
		var entries []jury.Entry
		for i := jury.Index(1); i <= 100; i++ {
			entries = append(entries, commandEntry(i, 1))
			Expect(a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, entries[i-1:])).To(Succeed())
		}
		snapshot := jury.Snapshot{Index: 90, Term: 1, Voters: []jury.Identity{"kgn-a/1"}, Data: []byte("state")}
		Expect(a.SaveSnapshot(snapshot)).To(Succeed())
		Expect(a.Compact(90)).To(Succeed())
		Expect(a.Close()).To(Succeed())
		Expect(a.Append(jury.HardState{Term: 1}, 0, nil)).To(MatchError(archive.ErrClosed))

		reopened, reloaded, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		defer reopened.Close()
		Expect(reloaded).To(Equal(archive.Loaded{
			FolderNumber: loaded.FolderNumber,
			HardState:    jury.HardState{Term: 1, Vote: "kgn-a/1"},
			Snapshot:     snapshot,
			Entries:      entries[90:],
		}))
		logs, err := filepath.Glob(filepath.Join(options.Folder, "log-*"))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(logs)).To(BeNumerically("<", 5))
	})

	// If a field is added to the protocol but not to the encoding, a restarted
	// voter has a different state from the one that it acknowledged.
	It("stores every field of the hard state, the snapshot and the entries", func() {
		a, _, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		hardState := jury.HardState{Term: 9, Vote: "kgn-b/2"}
		snapshot := jury.Snapshot{Index: 3, Term: 7, Cluster: "parish-courts", Voters: []jury.Identity{"kgn-a/1", "kgn-b/2"}, Data: []byte("state")}
		entry := jury.Entry{Index: 4, Term: 8, Kind: jury.EntryVoters, Data: []byte("kgn-c/3")}
		for _, value := range []any{hardState, snapshot, entry} {
			fields := reflect.ValueOf(value)
			for i := range fields.NumField() {
				Expect(fields.Field(i).IsZero()).To(BeFalse(), "set %s.%s here", fields.Type(), fields.Type().Field(i).Name)
			}
		}
		Expect(a.SaveSnapshot(snapshot)).To(Succeed())
		Expect(a.Append(hardState, 0, []jury.Entry{entry})).To(Succeed())
		Expect(a.Close()).To(Succeed())
		a, loaded, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		Expect(loaded.HardState).To(Equal(hardState))
		Expect(loaded.Snapshot).To(Equal(snapshot))
		Expect(loaded.Entries).To(Equal([]jury.Entry{entry}))
	})

	// An operator starts an instance twice by mistake. Two processes appending to
	// the same log would overwrite each other's acknowledged records.
	It("refuses a second process, and a first one that ended leaves no lock", func() {
		a, _, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		_, _, err = archive.Open(options)
		Expect(err).To(MatchError(archive.ErrLocked))
		Expect(err).To(MatchError(ContainSubstring(options.Folder)))
		Expect(a.Close()).To(Succeed())
		a, _, err = archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Close()).To(Succeed())
	})

	It("keeps its number and its first cluster ID", func() {
		a, first, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(first.ClusterID).To(BeEmpty())
		Expect(a.RecordCluster("parish-courts")).To(Succeed())
		Expect(a.RecordCluster("parish-courts")).To(Succeed())
		Expect(a.RecordCluster("shuttles")).To(MatchError(ContainSubstring("belongs to cluster \"parish-courts\"")))
		Expect(a.Close()).To(Succeed())
		a, second, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.NewFolder).To(BeFalse())
		Expect(second.FolderNumber).To(Equal(first.FolderNumber))
		Expect(second.ClusterID).To(Equal("parish-courts"))
		Expect(a.Close()).To(Succeed())
	})

	It("draws another number for a folder that was lost", func() {
		a, first, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Close()).To(Succeed())
		Expect(os.RemoveAll(options.Folder)).To(Succeed())
		a, second, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(second.NewFolder).To(BeTrue())
		Expect(second.FolderNumber).NotTo(Equal(first.FolderNumber))
		Expect(a.Close()).To(Succeed())
	})

	It("rejects invalid calls, and accepts a valid one afterwards", func() {
		a, _, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		defer a.Close()
		hardState := jury.HardState{Term: 2}
		Expect(a.Append(hardState, 0, []jury.Entry{commandEntry(2, 2)})).To(MatchError(ContainSubstring("entry 2 where entry 1 comes next")))
		Expect(a.Append(hardState, 0, []jury.Entry{commandEntry(1, 2), commandEntry(2, 2)})).To(Succeed())
		Expect(a.Append(hardState, 0, []jury.Entry{commandEntry(2, 2)})).To(MatchError(ContainSubstring("entry 2 where entry 3 comes next")))
		Expect(a.Append(jury.HardState{Term: 1}, 0, nil)).To(MatchError(ContainSubstring("term 1 after term 2")))
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 1, Term: 2})).To(Succeed())
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 1, Term: 2})).To(MatchError(ContainSubstring("after the one at 1")))
		Expect(a.Append(hardState, 1, nil)).To(MatchError(ContainSubstring("which the snapshot at 1 holds")))
		Expect(a.Compact(2)).To(MatchError(ContainSubstring("above the snapshot at 1")))
		Expect(a.Append(hardState, 2, []jury.Entry{commandEntry(2, 2)})).To(Succeed())
		Expect(a.Err()).NotTo(HaveOccurred())
	})

	It("appends while a snapshot is being written", func() {
		a, _, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{commandEntry(1, 1)})).To(Succeed())
		var group sync.WaitGroup
		group.Go(func() {
			defer GinkgoRecover()
			Expect(a.SaveSnapshot(jury.Snapshot{Index: 1, Term: 1, Data: make([]byte, 1<<20)})).To(Succeed())
		})
		for i := jury.Index(2); i <= 20; i++ {
			Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{commandEntry(i, 1)})).To(Succeed())
		}
		group.Wait()
		Expect(a.Close()).To(Succeed())
		a, loaded, err := archive.Open(options)
		Expect(err).NotTo(HaveOccurred())
		Expect(loaded.Snapshot.Data).To(HaveLen(1 << 20))
		Expect(loaded.Entries).To(HaveLen(19))
		Expect(a.Close()).To(Succeed())
	})
})
