package form_test

import (
	"net/netip"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

func openDocument(text string) (*form.Reader, *finding.List) {
	findings := &finding.List{}
	r, ok := form.Open("x.toml", []byte(text), findings)
	ExpectWithOffset(1, ok).To(BeTrue(), "%v", findings.Err())
	return r, findings
}

func findingLines(findings *finding.List) []string {
	formatted := make([]string, 0)
	for _, f := range findings.All() {
		formatted = append(formatted, f.String())
	}
	return formatted
}

var _ = Describe("Reader", func() {
	It("reads values of every type", func() {
		r, findings := openDocument(strings.Join([]string{
			`text = "a"`,
			`count = 1_000`,
			`number = 1.6`,
			`flag = true`,
			`duration = "540ms"`,
			`size = "24 GiB"`,
			`address = "127.0.0.1:7600"`,
			`texts = ["a", "b"]`,
			`dotted.key = 1`,
			`inline = { key = 2 }`,
			`[[array]]`,
			`key = 3`,
			`[array.under]`,
			`key = 4`,
			`[[array]]`,
			`key = 5`,
		}, "\n"))
		Expect(r.Text("text", "")).To(Equal("a"))
		Expect(r.Int("count", 0, 0, 2000)).To(Equal(1000))
		Expect(r.Float("number", 0, 0, 2)).To(Equal(1.6))
		Expect(r.Bool("flag", false)).To(BeTrue())
		Expect(r.Duration("duration", 0, 0, time.Second)).To(Equal(540 * time.Millisecond))
		Expect(r.Size("size", 0, 0)).To(Equal(int64(24 << 30)))
		Expect(r.Address("address", netip.AddrPort{})).To(Equal(netip.MustParseAddrPort("127.0.0.1:7600")))
		Expect(r.Texts("texts")).To(HaveLen(2))
		Expect(r.Texts("texts")[1].Place).To(Equal(finding.Place{File: "x.toml", Line: 8, Column: 15}))
		Expect(r.Table("dotted").Int("key", 0, 0, 9)).To(Equal(1))
		Expect(r.Table("inline").Int("key", 0, 0, 9)).To(Equal(2))
		array := r.Tables("array")
		Expect(array).To(HaveLen(2))
		Expect(array[0].Int("key", 0, 0, 9)).To(Equal(3))
		Expect(array[0].Table("under").Int("key", 0, 0, 9)).To(Equal(4))
		Expect(array[1].Int("key", 0, 0, 9)).To(Equal(5))
		r.ReportUnknownKeys()
		Expect(findings.Err()).NotTo(HaveOccurred())
	})

	It("reports all values of wrong types and invalid values with their places", func() {
		r, findings := openDocument("a = 1\nb = \"x\"\nc = \"12 parsecs\"\nd = \"24\"\ne = \"localhost:80\"\nf = \"hgih\"\ng = \"-1 GiB\"\n")
		r.Text("a", "")
		r.Int("b", 3, 0, 5)
		r.Duration("c", time.Second, 0, time.Minute)
		r.Size("d", 0, 0)
		r.Address("e", netip.AddrPort{})
		r.Enum("f", "low", "low", "high")
		r.Size("g", 0, 0)
		r.ReportUnknownKeys()
		Expect(findingLines(findings)).To(Equal([]string{
			`x.toml:1:5: "a" must be a text, not a whole number; write for example "..."`,
			`x.toml:2:5: "b" must be a whole number, not a text; write for example 3`,
			`x.toml:3:5: "c" is no duration: "12 parsecs"; write for example "1s"`,
			`x.toml:4:5: "d" is no size: "24"; write for example "24 GiB"`,
			`x.toml:5:5: "e" must be an IP number and a port, not "localhost:80"; write for example "127.0.0.1:7600"`,
			`x.toml:6:5: "f" cannot be "hgih"; write "high"`,
			`x.toml:7:5: "g" must be at least 0 B, not -1 GiB; write for example "24 GiB"`,
		}))
		Expect(r.Valid("a")).To(BeFalse())
		Expect(r.Valid("absent")).To(BeTrue())
	})

	It("reports unknown keys and suggests the most similar known key, or all known keys", func() {
		r, findings := openDocument("log-lvel = \"info\"\n[zzzzzz]\nb = 1\n")
		r.Text("log-level", "")
		r.Text("name", "")
		r.ReportUnknownKeys()
		Expect(findingLines(findings)).To(Equal([]string{
			`x.toml:1:1: unknown key "log-lvel"; write "log-level"`,
			`x.toml:2:2: unknown key "zzzzzz"; the keys here are log-level, name`,
		}))
	})

	DescribeTable("reports the place of a syntax error",
		func(text, place string) {
			findings := &finding.List{}
			_, ok := form.Open("x.toml", []byte(text), findings)
			Expect(ok).To(BeFalse())
			Expect(findingLines(findings)).To(HaveLen(1))
			Expect(findingLines(findings)[0]).To(HavePrefix(place + ": broken TOML"))
		},
		Entry("a missing value", "a = 1\nb =\n", "x.toml:2:4"),
		Entry("a duplicate key", "a = 1\na = 2\n", "x.toml:2:1"),
		Entry("a duplicate table", "[a]\n[b]\n[a]\n", "x.toml:3:2"),
		Entry("an unterminated string", "a = \"x\n", "x.toml:1:7"),
		Entry("invalid UTF-8", "a = \"\xff\"\n", "x.toml:1:6"),
	)
})

var _ = Describe("Nearest", func() {
	It("corrects misspelt words and returns no correction for an unrelated one", func() {
		known := []string{"heartbeat", "election-timeout", "name"}
		for word, want := range map[string]string{
			"hartbeat": "heartbeat", "naem": "name", "election_timeout": "election-timeout", "colour": "",
		} {
			got, ok := form.Nearest(word, known)
			Expect(got).To(Equal(want), word)
			Expect(ok).To(Equal(want != ""), word)
		}
	})
})
