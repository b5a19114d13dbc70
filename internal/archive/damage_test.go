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

// filled returns a file system with a log of several files and a snapshot, and
// the paths of its files.
func filled() (fs *crashFS, segments []string, snapshot string) {
	fs = newCrashFS()
	a, _, err := open(fs)
	Expect(err).NotTo(HaveOccurred())
	for i := jury.Index(1); i <= 17; i++ {
		entry := jury.Entry{Index: i, Term: 1, Kind: jury.EntryCommand, Data: bytes.Repeat([]byte{byte(i)}, 20)}
		Expect(a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, []jury.Entry{entry})).To(Succeed())
	}
	Expect(a.SaveSnapshot(jury.Snapshot{Index: 7, Term: 1, Voters: []jury.Identity{"kgn-a/1"}, Data: []byte("state")})).To(Succeed())
	Expect(a.Compact(7)).To(Succeed())
	Expect(a.Append(jury.HardState{Term: 2}, 0, []jury.Entry{command(18, 2)})).To(Succeed())
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

// expectDamage opens fs, expects a DamageError and that no file has changed.
func expectDamage(fs *crashFS) *archive.DamageError {
	before := map[string]string{}
	for path, node := range fs.names {
		before[path] = string(node.data)
	}
	_, _, err := open(fs)
	var damaged *archive.DamageError
	ExpectWithOffset(1, errors.As(err, &damaged)).To(BeTrue(), "%v", err)
	ExpectWithOffset(1, damaged.Advice).NotTo(BeEmpty())
	for path, content := range before {
		ExpectWithOffset(1, string(fs.names[path].data)).To(Equal(content), path)
	}
	ExpectWithOffset(1, fs.names).To(HaveLen(len(before)))
	ExpectWithOffset(1, fs.locked).To(BeFalse())
	return damaged
}

var _ = Describe("a damaged data folder", func() {
	// A bit of an old record changes on the disk. What follows it was
	// acknowledged, so cutting there would forget promises; Open must refuse and
	// name the place.
	It("is refused for every byte that changed before the last record", func() {
		fs, segments, snapshot := filled()
		last := segments[len(segments)-1]
		for _, path := range append([]string{snapshot, "/data/identity"}, segments[:len(segments)-1]...) {
			for i := range fs.names[path].data {
				fs.names[path].data[i] ^= 0x40
				damaged := expectDamage(fs)
				Expect(damaged.Offset).To(BeNumerically("<=", i))
				fs.names[path].data[i] ^= 0x40
			}
		}
		first := fs.names[last].data[:24+4]
		for i := range first {
			first[i] ^= 0x40
			Expect(expectDamage(fs).File).To(Equal(last))
			first[i] ^= 0x40
		}
	})

	It("says at which byte of which file", func() {
		fs, segments, _ := filled()
		fs.names[segments[1]].data[30] ^= 1
		Expect(expectDamage(fs).Error()).To(HavePrefix("archive: " + segments[1] + ": byte 0: no whole record here"))
	})

	DescribeTable("is refused when a file is missing", func(remove func(fs *crashFS, segments []string, snapshot string)) {
		fs, segments, snapshot := filled()
		remove(fs, segments, snapshot)
		Expect(expectDamage(fs).Problem).To(ContainSubstring("missing"))
	},
		Entry("the first log file", func(fs *crashFS, segments []string, _ string) { delete(fs.names, segments[0]) }),
		Entry("a log file in the middle", func(fs *crashFS, segments []string, _ string) { delete(fs.names, segments[1]) }),
		Entry("all log files", func(fs *crashFS, segments []string, _ string) {
			for _, path := range segments {
				delete(fs.names, path)
			}
		}),
		Entry("the snapshot", func(fs *crashFS, _ []string, snapshot string) { delete(fs.names, snapshot) }),
		Entry("the identity", func(fs *crashFS, _ []string, _ string) { delete(fs.names, "/data/identity") }),
	)

	It("is refused when a snapshot that the leader sent is missing", func() {
		fs := newCrashFS()
		a, _, err := open(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.SaveSnapshot(jury.Snapshot{Index: 5, Term: 1, Data: []byte("sent")})).To(Succeed())
		Expect(a.Append(jury.HardState{Term: 1}, 0, []jury.Entry{command(6, 1)})).To(Succeed())
		Expect(a.Close()).To(Succeed())
		delete(fs.names, "/data/snapshot-0000000000000005")
		Expect(expectDamage(fs).File).To(Equal("/data/snapshot-0000000000000005"))
	})

	It("is refused when a log file is from another folder", func() {
		fs, segments, _ := filled()
		other, _, _ := filled()
		fs.names[segments[1]] = other.names[segments[1]]
		Expect(expectDamage(fs).File).To(Equal(segments[1]))
	})

	It("is refused when the end of the log was cut at a whole record", func() {
		fs, segments, _ := filled()
		last := fs.names[segments[len(segments)-2]]
		last.data = last.data[:len(last.data)/2]
		Expect(expectDamage(fs).Offset).To(BeNumerically(">", 0))
	})

	It("is refused with the advice to upgrade when a newer program wrote it", func() {
		fs, segments, _ := filled()
		archive.SetVersion(fs.names[segments[0]].data, folderNumber(fs), 2)
		damaged := expectDamage(fs)
		Expect(damaged.Problem).To(ContainSubstring("record format 2"))
		Expect(damaged.Advice).To(ContainSubstring("newer"))
	})
})

func folderNumber(fs *crashFS) uint64 {
	copied := fs.crash(keepAll, nil)
	_, loaded, err := open(copied)
	Expect(err).NotTo(HaveOccurred())
	return loaded.Number
}

var _ = Describe("an acknowledged end of the log", func() {
	// The voter answered for its last record. Then a bit of it changes on the
	// disk, or the last file gets lost, and the process starts again. The record
	// must not pass for one that a crash tore.
	It("is refused when it is damaged or missing", func() {
		fs, segments, _ := filled()
		last := segments[len(segments)-1]
		data := fs.names[last].data
		start := archive.LastRecord(data, folderNumber(fs))
		for i := start; i < len(data); i++ {
			data[i] ^= 0x40
			damaged := expectDamage(fs)
			Expect(damaged.File).To(Equal(last))
			Expect(damaged.Offset).To(Equal(int64(start)))
			Expect(damaged.Problem).To(Equal("the log ends with record 17, though record 18 was synced"))
			data[i] ^= 0x40
		}
		fs.names[last].data = data[:start]
		Expect(expectDamage(fs).Problem).To(ContainSubstring("though record 18 was synced"))
		delete(fs.names, last)
		Expect(expectDamage(fs).Problem).To(ContainSubstring("a log file is missing"))
	})

	// A power cut tears the mark, or leaves it behind, as it is never synced.
	It("is judged without a mark that is torn or missing", func() {
		whole, _, _ := filled()
		for i := range whole.names["/data/mark"].data {
			fs := whole.crash(keepAll, nil)
			fs.names["/data/mark"].data[i] ^= 0x40
			_, loaded, err := open(fs)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Entries).To(HaveLen(11))
			fs = whole.crash(keepAll, nil)
			fs.names["/data/mark"].data = fs.names["/data/mark"].data[:i]
			_, _, err = open(fs)
			Expect(err).NotTo(HaveOccurred())
		}
	})

	It("is refused when the only log file is missing", func() {
		fs := newCrashFS()
		a, _, err := open(fs)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Append(jury.HardState{Term: 1, Vote: "kgn-a/1"}, 0, nil)).To(Succeed())
		Expect(a.Close()).To(Succeed())
		delete(fs.names, "/data/log-0000000000000001")
		Expect(expectDamage(fs).Problem).To(Equal("the log ends with record 0, though record 1 was synced"))
	})
})

var _ = Describe("a torn end of the log", func() {
	It("is cut and told of, wherever the last record is torn", func() {
		whole, segments, _ := filled()
		last := segments[len(segments)-1]
		_, before, err := open(whole.crash(keepAll, nil))
		Expect(err).NotTo(HaveOccurred())
		size := len(whole.names[last].data)
		lastRecord := archive.LastRecord(whole.names[last].data, before.Number)
		for kept := lastRecord + 1; kept < size; kept++ {
			fs, data := whole.crash(keepAll, nil), whole.names[last].data[:kept]
			fs.names[last] = &inode{data: append([]byte(nil), data...), synced: kept}
			// The machine lost power before the record was synced and marked.
			delete(fs.names, "/data/mark")
			_, loaded, err := open(fs)
			Expect(err).NotTo(HaveOccurred())
			Expect(loaded.Cut).To(Equal(archive.Cut{File: last, Offset: int64(lastRecord), Bytes: int64(kept - lastRecord)}))
			Expect(loaded.Entries).To(Equal(before.Entries[:len(before.Entries)-1]))
		}
	})
})
