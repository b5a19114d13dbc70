package bodysize_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/bodysize"
)

func TestBodySize(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bodysize")
}

var _ = Describe("Longest", func() {
	It("takes for excessive what is far longer than any complete response of the service", func() {
		longest := bodysize.Longest{}
		Expect(longest.IsExcessive("files", 1_000, 1_000)).To(BeFalse())
		Expect(longest.IsExcessive("files", 1_001, 1_000)).To(BeTrue())
		longest.Observe("files", 5_000)
		longest.Observe("files", 200)
		Expect(longest.IsExcessive("files", 40_000, 1_000)).To(BeFalse())
		Expect(longest.IsExcessive("files", 40_001, 1_000)).To(BeTrue())
		Expect(longest.IsExcessive("letters", 1_001, 1_000)).To(BeTrue())
	})
})
