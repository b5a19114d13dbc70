package archive_test

import (
	"bytes"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/archive"
	"github.com/lovagelift/lovagelift/internal/jury"
)

// newFilledFolder returns a file system with several segments and a snapshot, and
// their paths.
func newFilledFolder() (fs *crashFS, segments []string, snapshot string) {
	fs = newCrashFS()
	a, _, err := openArchive(fs)
	Expect(err).NotTo(HaveOccurred())
	for i := jury.Index(1); i <= 17; i++ {
		entry := jury.Entry{Index: i, Term: 1, Kind: jury.EntryCommand, Data: bytes.Repeat([]byte{byte(i)}, 20)}
		Expect(a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, []jury.Entry{entry})).To(Succeed())
	}
	Expect(a.SaveSnapshot(jury.Snapshot{Index: 7, Term: 1, Voters: []jury.Identity{"kgn-a/1"}, Data: []byte("state")})).To(Succeed())
	Expect(a.Compact(7)).To(Succeed())
	Expect(a.Append(jury.HardState{Term: 2}, 0, []jury.Entry{commandEntry(18, 2)})).To(Succeed())
	Expect(a.Close()).To(Succeed())
	names, err := fs.List("/data")
	Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		switch {
		case strings.HasPrefix(name, "log-"):
			segments = append(segments, filepath.Join("/data", name))
		case strings.HasPrefix(name, "snapshot-"):
			snapshot = filepath.Join("/data", name)
		}
	}
	Expect(len(segments)).To(BeNumerically(">=", 3))
	return fs, segments, snapshot
}

// expectCorruption opens fs and returns the CorruptionError. It fails if Open
// returned no such error, changed a file or kept the lock.
func expectCorruption(fs *crashFS) *archive.CorruptionError {
	contentBefore := map[string]string{}
	for path, node := range fs.files {
		contentBefore[path] = string(node.data)
	}
	_, _, err := openArchive(fs)
	var corruption *archive.CorruptionError
	ExpectWithOffset(1, errors.As(err, &corruption)).To(BeTrue(), "%v", err)
	ExpectWithOffset(1, corruption.Advice).NotTo(BeEmpty())
	for path, content := range contentBefore {
		ExpectWithOffset(1, string(fs.files[path].data)).To(Equal(content), path)
	}
	ExpectWithOffset(1, fs.files).To(HaveLen(len(contentBefore)))
	ExpectWithOffset(1, fs.locked).To(BeFalse())
	return corruption
}

var _ = Describe("a damaged data folder", func() {
	// A bit of an old record flips on the disk. The records after it were
	// acknowledged, so truncating the log there would lose them. Open must fail
	// and report the location.
	It("is refused for every byte that changed before the last record", func() {
		fs, segments, snapshot := newFilledFolder()
		last := segments[len(segments)-1]
		for _, path := range append([]string{snapshot, "/data/identity"}, segments[:len(segments)-1]...) {
			for i := range fs.files[path].data {
				fs.files[path].data[i] ^= 0x40
				corruption := expectCorruption(fs)
				Expect(corruption.Offset).To(BeNumerically("<=", i))
				fs.files[path].data[i] ^= 0x40
			}
		}
		header := fs.files[last].data[:24+4]
		for i := range header {
			header[i] ^= 0x40
			Expect(expectCorruption(fs).File).To(Equal(last))
			header[i] ^= 0x40
		}
	})

	It("is reported with the file and the byte offset", func() {
		fs, segments, _ := newFilledFolder()
		fs.files[segments[1]].data[30] ^= 1
		Expect(expectCorruption(fs).Error()).To(HavePrefix("archive: " + segments[1] + ": byte 0: no whole record here"))
	})

	DescribeTable("is refused when a file is missing", func(remove func(fs *crashFS, segments []string, snapshot string)) {
		fs, segments, snapshot := newFilledFolder()
		remove(fs, segments, snapshot)
		Expect(expectCorruption(fs).Problem).To(ContainSubstring("missing"))
	},
		Entry("the first segment", func(fs *crashFS, segments []string, _ string) { delete(fs.files, segments[0]) }),
		Entry("a segment in the middle", func(fs *crashFS, segments []string, _ string) { delete(fs.files, segments[1]) }),
		Entry("all segments", func(fs *crashFS, segments []string, _ string) {
			for _, path := range segments {
				delete(fs.files, path)
			}
		}),
		Entry("the snapshot", func(fs *crashFS, _ []string, snapshot string) { delete(fs.files, snapshot) }),
		Entry("the identity", func(fs *crashFS, _ []string, _ string) { delete(fs.files, "/data/identity") }),
	)

	It("is refused when a snapshot received from the leader is missing", func() {
		fs := newCrashFS()
		a, _, err := openArchive(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 5, Term: 1, Data: []byte("sent")})).To(Succeed())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{commandEntry(6, 1)})).To(Succeed())
		Expect(a.Close()).To(Succeed())
		delete(fs.files, "/data/snapshot-0000000000000005")
		Expect(expectCorruption(fs).File).To(Equal("/data/snapshot-0000000000000005"))
	})

	It("is refused when a segment is from another folder", func() {
		fs, segments, _ := newFilledFolder()
		other, _, _ := newFilledFolder()
		fs.files[segments[1]] = other.files[segments[1]]
		Expect(expectCorruption(fs).File).To(Equal(segments[1]))
	})

	It("is refused when the second-to-last segment was truncated", func() {
		fs, segments, _ := newFilledFolder()
		segment := fs.files[segments[len(segments)-2]]
		segment.data = segment.data[:len(segment.data)/2]
		Expect(expectCorruption(fs).Offset).To(BeNumerically(">", 0))
	})

	It("is refused with the advice to upgrade when a newer version wrote it", func() {
		fs, segments, _ := newFilledFolder()
		archive.SetRecordVersion(fs.files[segments[0]].data, folderNumber(fs), 2)
		corruption := expectCorruption(fs)
		Expect(corruption.Problem).To(ContainSubstring("record format 2"))
		Expect(corruption.Advice).To(ContainSubstring("newer"))
	})
})

func folderNumber(fs *crashFS) uint64 {
	copied := fs.crash(keepUnsynced, nil)
	_, loaded, err := openArchive(copied)
	Expect(err).NotTo(HaveOccurred())
	return loaded.FolderNumber
}

var _ = Describe("an acknowledged last record", func() {
	// The voter has acknowledged its last record. Then a bit of it flips on the
	// disk, or the last segment is lost, and the process restarts. Open must not
	// mistake the record for a torn tail.
	It("is refused when it is damaged or missing", func() {
		fs, segments, _ := newFilledFolder()
		last := segments[len(segments)-1]
		data := fs.files[last].data
		start := archive.LastRecordOffset(data, folderNumber(fs))
		for i := start; i < len(data); i++ {
			data[i] ^= 0x40
			corruption := expectCorruption(fs)
			Expect(corruption.File).To(Equal(last))
			Expect(corruption.Offset).To(Equal(int64(start)))
			Expect(corruption.Problem).To(Equal("the log ends with record 17, though record 18 was synced"))
			data[i] ^= 0x40
		}
		fs.files[last].data = data[:start]
		Expect(expectCorruption(fs).Problem).To(ContainSubstring("though record 18 was synced"))
		delete(fs.files, last)
		Expect(expectCorruption(fs).Problem).To(ContainSubstring("a log file is missing"))
	})

	// The high-water mark is never synced, so a power failure may tear or empty
	// its file.
	It("is accepted when the high-water mark is corrupt or truncated", func() {
		intact, _, _ := newFilledFolder()
		for i := range intact.files["/data/mark"].data {
			fs := intact.crash(keepUnsynced, nil)
			fs.files["/data/mark"].data[i] ^= 0x40
			_, loaded, err := openArchive(fs)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Entries).To(HaveLen(11))
			fs = intact.crash(keepUnsynced, nil)
			fs.files["/data/mark"].data = fs.files["/data/mark"].data[:i]
			_, _, err = openArchive(fs)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("is refused when the only segment is missing", func() {
		fs := newCrashFS()
		a, _, err := openArchive(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, nil)).To(Succeed())
		Expect(a.Close()).To(Succeed())
		delete(fs.files, "/data/log-0000000000000001")
		Expect(expectCorruption(fs).Problem).To(Equal("the log ends with record 0, though record 1 was synced"))
	})
})

var _ = Describe("a torn end of the log", func() {
	It("is cut and told of, wherever the last record is torn", func() {
		intact, segments, _ := newFilledFolder()
		last := segments[len(segments)-1]
		_, before, err := openArchive(intact.crash(keepUnsynced, nil))
		Expect(err).NotTo(HaveOccurred())
		size := len(intact.files[last].data)
		lastRecord := archive.LastRecordOffset(intact.files[last].data, before.FolderNumber)
		for keptBytes := lastRecord + 1; keptBytes < size; keptBytes++ {
			fs, data := intact.crash(keepUnsynced, nil), intact.files[last].data[:keptBytes]
			fs.files[last] = &inode{data: append([]byte(nil), data...), syncedBytes: keptBytes}
			// The power failed before the record was synced. The high-water mark
			// doesn't include it and is lost.
			delete(fs.files, "/data/mark")
			_, loaded, err := openArchive(fs)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.TornTail).To(Equal(archive.TornTail{File: last, Offset: int64(lastRecord), Bytes: int64(keptBytes - lastRecord)}))
			Expect(loaded.Entries).To(Equal(before.Entries[:len(before.Entries)-1]))
		}
	})
})
