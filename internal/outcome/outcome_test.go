package outcome_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

var _ = Describe("Outcome", func() {
	It("is unknown if it is not set", func() {
		var unset outcome.Outcome
		Expect(unset.String()).To(Equal("unknown"))
	})

	DescribeTable("is parsed from its text",
		func(o outcome.Outcome) {
			parsed, err := outcome.Parse(o.String())
			Expect(err).NotTo(HaveOccurred())
			Expect(parsed).To(Equal(o))
		},
		Entry("not-run", outcome.NotRun),
		Entry("unknown", outcome.Unknown),
		Entry("ran", outcome.Ran),
	)

	It("rejects any other text", func() {
		_, err := outcome.Parse("maybe")
		Expect(err).To(MatchError(ContainSubstring("maybe")))
	})
})
