package declaration_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// split returns the sections of whole as one file each, named so that they are
// read in the opposite order.
func split() []string {
	sections := strings.Split(strings.TrimSpace(whole), "\n\n")
	files := make([]string, 0)
	for i, section := range sections {
		files = append(files, string(rune('z'-i))+".toml", section)
	}
	return files
}

var _ = Describe("Canonical", func() {
	It("is equal for equal content, whatever the files", func() {
		Expect(string(read(split()...).Canonical())).To(Equal(string(read("a.toml", whole).Canonical())))
	})

	It("lists nothing, and not null, when nothing is declared", func() {
		Expect(string(declaration.Set{}.Canonical())).To(Equal(
			`{"format":1,"failure-domains":[],"accelerator-classes":[],"services":[],"models":[],"adapters":[],"presets":[]}`))
	})

	It("comes back from Decode as it was", func() {
		set := read("a.toml", whole)
		decoded, err := declaration.Decode(set.Canonical())
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded).To(Equal(set))
		Expect(declaration.Check(set.Canonical())).To(Equal([]string{"ordinary", "peak"}))
	})
})

var _ = Describe("Check", func() {
	canonical := func() string { return string(read("a.toml", whole).Canonical()) }

	check := func(data string) error {
		names, err := declaration.Check([]byte(data))
		ExpectWithOffset(1, names).To(BeNil())
		return err
	}

	It("names the first preset first", func() {
		second := strings.Replace(strings.Replace(whole, "first = true\n", "", 1), `name = "peak"`, "name = \"peak\"\nfirst = true", 1)
		Expect(declaration.Check(read("a.toml", second).Canonical())).To(Equal([]string{"peak", "ordinary"}))
	})

	It("finds the same as Read, with the path as the place", func() {
		bad := strings.NewReplacer(`"model":"base"`, `"model":"bsae"`, `"kind":"plain"`, `"kind":"odd"`).Replace(canonical())
		Expect(lines(check(bad))).To(Equal([]string{
			`adapters[0].model: model "bsae" is not declared; write "base"`,
			`presets[0].floors[0].model: model "bsae" is not declared; write "base"`,
			`services[0].kind: "kind" cannot be "odd"; write "model-backed" or "plain"`,
		}))
	})

	DescribeTable("refuses another encoding",
		func(old, replacement, want string) {
			bad := strings.Replace(canonical(), old, replacement, 1)
			Expect(bad).NotTo(Equal(canonical()))
			Expect(check(bad)).To(MatchError(ContainSubstring(want)))
		},
		Entry("of a newer version", `{"format":1`, `{"format":2`, "format 2, but this version knows only 1"),
		Entry("with a key nobody knows", `{"format":1`, `{"format":1,"new":true`, `unknown field "new"`),
		Entry("with a key twice", `{"format":1`, `{"format":1,"format":1`, "not in the canonical encoding"),
		Entry("with space", `{"format":1`, `{ "format":1`, "not in the canonical encoding"),
		Entry("that ends early", `"services":`, ``, "broken JSON"),
	)

	It("refuses what is no JSON", func() {
		Expect(check("")).To(MatchError(ContainSubstring("declaration: broken JSON")))
	})
})

var _ = Describe("Diff", func() {
	It("finds nothing between equal declarations", func() {
		Expect(declaration.Diff(read("a.toml", whole), read(split()...))).To(BeEmpty())
	})

	It("names what is added, removed and changed, field by field", func() {
		before := read("a.toml", whole)
		changed := strings.NewReplacer(`"540ms"`, `"300ms"`, "copies = 2", "copies = 3", `"base-kgn"`, `"base-stt"`).Replace(whole)
		changes := declaration.Diff(before, read("a.toml", changed))
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

	It("adds everything to nothing", func() {
		Expect(declaration.Diff(declaration.Set{}, read("a.toml", whole))).To(HaveLen(6))
	})
})
