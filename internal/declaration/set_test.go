package declaration_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// splitFiles returns each section of validDeclarations as a file of its own. The
// file names reverse the order in which the sections are read.
func splitFiles() []string {
	sections := strings.Split(strings.TrimSpace(validDeclarations), "\n\n")
	files := make([]string, 0)
	for i, section := range sections {
		files = append(files, string(rune('z'-i))+".toml", section)
	}
	return files
}

var _ = Describe("Canonical", func() {
	It("is equal for equal declarations, however they are split into files", func() {
		Expect(string(mustRead(splitFiles()...).Canonical())).To(Equal(string(mustRead("a.toml", validDeclarations).Canonical())))
	})

	It("encodes absent lists as empty arrays, not null", func() {
		Expect(string(declaration.Set{}.Canonical())).To(Equal(
			`{"format":1,"failure-domains":[],"accelerator-classes":[],"services":[],"models":[],"adapters":[],"presets":[]}`))
	})

	It("is decoded by Decode to an equal Set", func() {
		set := mustRead("a.toml", validDeclarations)
		decoded, err := declaration.Decode(set.Canonical())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(set))
		Expect(declaration.Check(set.Canonical())).To(Equal([]string{"ordinary", "peak"}))
	})
})

var _ = Describe("Check", func() {
	canonical := func() string { return string(mustRead("a.toml", validDeclarations).Canonical()) }

	check := func(data string) error {
		names, err := declaration.Check([]byte(data))
		ExpectWithOffset(1, names).To(BeNil())
		return err
	}

	It("returns the name of the first preset first", func() {
		second := strings.Replace(strings.Replace(validDeclarations, "first = true\n", "", 1), `name = "peak"`, "name = \"peak\"\nfirst = true", 1)
		Expect(declaration.Check(mustRead("a.toml", second).Canonical())).To(Equal([]string{"peak", "ordinary"}))
	})

	It("reports the same findings as Read, with paths as places", func() {
		bad := strings.NewReplacer(`"model":"base"`, `"model":"bsae"`, `"kind":"plain"`, `"kind":"odd"`).Replace(canonical())
		Expect(findingLines(check(bad))).To(Equal([]string{
			`adapters[0].model: model "bsae" is not declared; write "base"`,
			`presets[0].floors[0].model: model "bsae" is not declared; write "base"`,
			`services[0].kind: "kind" cannot be "odd"; write "model-backed" or "plain"`,
		}))
	})

	DescribeTable("refuses any other encoding",
		func(old, replacement, want string) {
			bad := strings.Replace(canonical(), old, replacement, 1)
			Expect(bad).NotTo(Equal(canonical()))
			Expect(check(bad)).To(MatchError(ContainSubstring(want)))
		},
		Entry("with a newer format version", `{"format":1`, `{"format":2`, "format 2, but this version knows only 1"),
		Entry("with an unknown key", `{"format":1`, `{"format":1,"new":true`, `unknown field "new"`),
		Entry("with a duplicate key", `{"format":1`, `{"format":1,"format":1`, "not in the canonical encoding"),
		Entry("with whitespace", `{"format":1`, `{ "format":1`, "not in the canonical encoding"),
		Entry("that is broken JSON", `"services":`, ``, "broken JSON"),
	)

	It("refuses empty input", func() {
		Expect(check("")).To(MatchError(ContainSubstring("declaration: broken JSON")))
	})
})

var _ = Describe("Diff", func() {
	It("reports no changes between equal declarations", func() {
		Expect(declaration.Diff(mustRead("a.toml", validDeclarations), mustRead(splitFiles()...))).To(BeEmpty())
	})

	It("reports added, removed and changed items with their fields", func() {
		before := mustRead("a.toml", validDeclarations)
		changed := strings.NewReplacer(`"540ms"`, `"300ms"`, "copies = 2", "copies = 3", `"base-kgn"`, `"base-stt"`).Replace(validDeclarations)
		changes := declaration.Diff(before, mustRead("a.toml", changed))
		Expect(changes).To(HaveLen(4))
		titles := make([]string, 0)
		for _, change := range changes {
			titles = append(titles, change.String())
		}
		Expect(titles).To(Equal([]string{
			"change service drafts", "remove adapter base-kgn", "add adapter base-stt", "change preset ordinary",
		}))
		Expect(changes[0].Fields()).To(Equal([]declaration.FieldChange{{Name: "goal.first-token", Before: "540ms", After: "300ms"}}))
		Expect(changes[3].Fields()).To(Equal([]declaration.FieldChange{{Name: "floors", Before: "base: 2 in 2", After: "base: 3 in 2"}}))
		removed, ok := changes[1].(declaration.Removed)
		Expect(ok).To(BeTrue())
		Expect(removed.Item.(declaration.Adapter).Model).To(Equal("base"))
		Expect(removed.Fields()).To(ContainElement(declaration.FieldChange{Name: "memory", Before: "200 MiB"}))
	})

	It("reports every item as added to an empty Set", func() {
		Expect(declaration.Diff(declaration.Set{}, mustRead("a.toml", validDeclarations))).To(HaveLen(6))
	})
})
