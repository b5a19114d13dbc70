package settings_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/settings"
)

var _ = Describe("docs/operators/settings.md", func() {
	It("lists the default settings", func() {
		page, err := os.ReadFile("../../docs/operators/settings.md")
		Expect(err).NotTo(HaveOccurred())
		_, rest, found := strings.Cut(string(page), "```toml\n")
		Expect(found).To(BeTrue())
		block, _, found := strings.Cut(rest, "```")
		Expect(found).To(BeTrue())
		documented, err := settings.Parse("settings.md", []byte(block))
		Expect(err).NotTo(HaveOccurred())
		want := settings.Default()
		want.Name, want.FailureDomain, want.Voter, want.DataFolder = "a", "kgn-a", true, "data"
		want.Instances = []settings.Instance{}
		Expect(documented).To(Equal(want))
	})
})
