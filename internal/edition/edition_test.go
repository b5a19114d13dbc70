package edition_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/edition"
)

var _ = Describe("Edition", func() {
	put := func(version uint64, content string) edition.Put {
		return edition.Put{Version: version, Content: []byte(content)}
	}
	held, _ := edition.Edition{}.With(put(7, "seven"))

	DescribeTable("takes a document if its version is the highest",
		func(next edition.Put, verdict edition.Verdict, version uint64, content string) {
			after, result := held.With(next)
			Expect(result).To(Equal(edition.Result{Verdict: verdict, Version: version}))
			Expect(string(after.Content)).To(Equal(content))
		},
		Entry("a higher one", put(9, "nine"), edition.Stored, uint64(9), "nine"),
		// The answer to a change was lost, and the operator sends it again.
		Entry("the same again", put(7, "seven"), edition.Held, uint64(7), "seven"),
		// The operator sends again what a later change has replaced.
		Entry("an older one", put(3, "three"), edition.Superseded, uint64(7), "seven"),
		// Two operators chose one version. What was acknowledged must stay in force.
		Entry("another of the same version", put(7, "other"), edition.Conflict, uint64(7), "seven"),
	)

	It("comes back whole from a snapshot", func() {
		restored, err := edition.Restore(held.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(held))
	})

	It("refuses a snapshot that is cut off", func() {
		whole := held.Snapshot()
		_, err := edition.Restore(whole[:len(whole)-1])
		Expect(err).To(HaveOccurred())
	})
})
