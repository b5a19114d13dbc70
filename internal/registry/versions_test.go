package registry_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registry"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// A voter that restarts from a snapshot must know at which versions streams can have begun.
var _ = It("Recorded software versions are there again after a snapshot", func() {
	r := registry.New()
	version := resumption.ServiceVersion{Service: "desk", Version: "v1"}
	command, err := registry.Encode(resumption.RecordsUpdate{Added: []resumption.ServiceVersion{version}})
	Expect(err).NotTo(HaveOccurred())
	_, err = r.Apply(1, command)
	Expect(err).NotTo(HaveOccurred())
	snapshot, err := r.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	restored := registry.New()
	Expect(restored.Restore(snapshot)).To(Succeed())
	Expect(restored.Versions().Has(version)).To(BeTrue())
})
