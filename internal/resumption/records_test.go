package resumption_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/resumption"
)

func versionsOf(service string, versions ...string) []resumption.ServiceVersion {
	var all []resumption.ServiceVersion
	for _, version := range versions {
		all = append(all, resumption.ServiceVersion{Service: service, Version: version})
	}
	return all
}

var _ = Describe("The records of versions", func() {
	recorded := resumption.Records{}.With(resumption.RecordsUpdate{Added: versionsOf("pool", "v1", "v2"), SettledRoutes: 7})

	It("have a new revision only if something changes", func() {
		Expect(recorded.Revision()).To(Equal(uint64(1)))
		Expect(recorded.With(resumption.RecordsUpdate{Added: versionsOf("pool", "v1"), SettledRoutes: 7}).Revision()).To(Equal(uint64(1)))
		retired := recorded.With(resumption.RecordsUpdate{Retired: versionsOf("pool", "v1")})
		Expect(retired.Revision()).To(Equal(uint64(2)))
		Expect(retired.Versions()).To(Equal(versionsOf("pool", "v2")))
		Expect(recorded.Has(versionsOf("pool", "v1")[0])).To(BeTrue(), "records are immutable")
	})

	It("have no settled routes once these lead elsewhere", func() {
		moved := recorded.With(resumption.RecordsUpdate{RoutesMoved: true})
		Expect(moved.SettledRoutes()).To(BeZero())
		Expect(moved.Revision()).To(Equal(uint64(2)))
	})

	It("are equal after a snapshot", func() {
		restored, err := resumption.RestoreRecords(recorded.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(recorded))
		_, err = resumption.RestoreRecords(recorded.Snapshot()[:5])
		Expect(err).To(HaveOccurred())
	})

	// Announcements of another writer must not fill the memory.
	It("are bounded in number", func() {
		var update resumption.RecordsUpdate
		for n := range resumption.MaxRecords + 10 {
			update.Added = append(update.Added, resumption.ServiceVersion{Service: "pool", Version: string(rune(n))})
		}
		Expect(resumption.Records{}.With(update).Versions()).To(HaveLen(resumption.MaxRecords))
	})
})

var _ = Describe("A catalog of recorded versions", func() {
	list := resumption.VersionList{Revision: 4, Versions: append(versionsOf("pool", "v1", "v2"), versionsOf("desk", "v2")...), SettledRoutes: 9}
	catalog := resumption.Catalog{}.With(list)

	It("names the only version of some services", func() {
		only, ok := catalog.Only("desk")
		Expect(ok).To(BeTrue())
		Expect(only).To(Equal("v2"))
		_, ok = catalog.Only("desk", "pool")
		Expect(ok).To(BeFalse())
		_, ok = catalog.Only("unknown")
		Expect(ok).To(BeFalse())
		_, ok = resumption.Catalog{}.Only("desk")
		Expect(ok).To(BeFalse())
	})

	// Two control instances may answer in the reverse order, and one may lag behind.
	It("ignores an older list", func() {
		Expect(catalog.With(resumption.VersionList{Revision: 3})).To(Equal(catalog))
	})

	It("lets a stream begin at recorded versions alone, unless no list has arrived", func() {
		Expect(catalog.MayBegin("pool", "v2")).To(BeTrue())
		Expect(catalog.MayBegin("pool", "v3")).To(BeFalse())
		Expect(catalog.MayBegin("other", "v1")).To(BeFalse())
		Expect(resumption.Catalog{}.MayBegin("pool", "v3")).To(BeTrue())
	})

	// Control instances that keep records may have none yet.
	It("lets no stream begin after an empty list", func() {
		empty := resumption.Catalog{}.With(resumption.VersionList{})
		Expect(empty.MayBegin("pool", "v1")).To(BeFalse())
		Expect(empty.With(list).MayBegin("pool", "v1")).To(BeTrue())
		Expect(catalog.With(resumption.VersionList{})).To(Equal(catalog))
	})

	It("knows which routes are settled", func() {
		Expect(catalog.RoutesSettled(9)).To(BeTrue())
		Expect(catalog.RoutesSettled(8)).To(BeFalse())
		Expect(resumption.Catalog{}.RoutesSettled(0)).To(BeFalse())
	})
})
