package declaration_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("docs/operators/declarations.md", func() {
	It("shows declarations that fit together", func() {
		page, err := os.ReadFile("../../docs/operators/declarations.md")
		Expect(err).NotTo(HaveOccurred())
		var all strings.Builder
		parts := strings.Split(string(page), "```toml\n")
		for _, part := range parts[1:] {
			block, _, _ := strings.Cut(part, "```")
			all.WriteString(block)
		}
		set := read("page.toml", all.String())
		Expect(set.Services()).To(HaveLen(2))
		Expect(set.Adapters()).To(HaveLen(1))
		Expect(set.FailureDomains()).To(HaveLen(2))
	})
})
