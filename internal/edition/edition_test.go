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
	held, _ := edition.Edition{}.Apply(put(7, "seven"))

	DescribeTable("takes a document if its version is the highest",
		func(next edition.Put, verdict edition.Verdict, version uint64, content string) {
			after, result := held.Apply(next)
			Expect(result).To(Equal(edition.Result{Verdict: verdict, Version: version}))
			Expect(string(after.Content)).To(Equal(content))
		},
		Entry("a higher version", put(9, "nine"), edition.Stored, uint64(9), "nine"),
		// The response to a change was lost, and the operator sends the change again.
		Entry("the same document again", put(7, "seven"), edition.AlreadyInForce, uint64(7), "seven"),
		// The operator sends a change again that a later one has replaced.
		Entry("a lower version", put(3, "three"), edition.Superseded, uint64(7), "seven"),
		// Two operators chose the same version. The acknowledged document must stay in
		// force.
		Entry("another document with the same version", put(7, "other"), edition.Conflict, uint64(7), "seven"),
	)

	It("is restored unchanged from a snapshot", func() {
		restored, err := edition.Restore(held.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		Expect(restored).To(Equal(held))
	})

	It("rejects a truncated snapshot", func() {
		snapshot := held.Snapshot()
		_, err := edition.Restore(snapshot[:len(snapshot)-1])
		Expect(err).To(HaveOccurred())
	})
})
