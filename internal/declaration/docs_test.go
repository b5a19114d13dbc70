package declaration_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("docs/operators/declarations.md", func() {
	It("shows declarations that are valid together", func() {
		page, err := os.ReadFile("../../docs/operators/declarations.md")
		Expect(err).NotTo(HaveOccurred())
		var all strings.Builder
		sections := strings.Split(string(page), "```toml\n")
		for _, section := range sections[1:] {
			block, _, _ := strings.Cut(section, "```")
			all.WriteString(block)
		}
		set := mustRead("page.toml", all.String())
		Expect(set.Services()).To(HaveLen(2))
		Expect(set.Adapters()).To(HaveLen(1))
		Expect(set.FailureDomains()).To(HaveLen(2))
	})
})
