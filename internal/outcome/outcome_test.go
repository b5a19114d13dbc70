package outcome_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

var _ = Describe("Outcome", func() {
	It("promises nothing unless somebody decided", func() {
		var undecided outcome.Outcome
		Expect(undecided.String()).To(Equal("unknown"))
	})

	DescribeTable("is read back from its word",
		func(o outcome.Outcome) {
			parsed, err := outcome.Parse(o.String())
			Expect(err).NotTo(HaveOccurred())
			Expect(parsed).To(Equal(o))
		},
		Entry("not-run", outcome.NotRun),
		Entry("unknown", outcome.Unknown),
		Entry("ran", outcome.Ran),
	)

	It("refuses any other word", func() {
		_, err := outcome.Parse("maybe")
		Expect(err).To(MatchError(ContainSubstring("maybe")))
	})
})
