package finding_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
)

var _ = Describe("List", func() {
	It("returns one error with all findings, sorted by place", func() {
		var list finding.List
		list.Add(finding.Place{File: "b.toml", Line: 2, Column: 1}, "unknown key \"x\"", "write \"y\"")
		list.Add(finding.Place{File: "a.toml", Line: 9}, "missing key", "")
		Expect(list.Err()).To(MatchError("a.toml:9: missing key\nb.toml:2:1: unknown key \"x\"; write \"y\""))
	})

	It("returns no error if it is empty", func() {
		var list finding.List
		Expect(list.Err()).NotTo(HaveOccurred())
	})
})
