package declaration_test

import (
	"os"
	"strings"
	"testing/fstest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
)

// validDeclarations is a small valid folder of declarations in one file.
const validDeclarations = `
[[service]]
name = "drafts"
kind = "model-backed"
models = ["base"]
goal = { first-token = "540ms", deadline = "30s" }

[[service]]
name = "bookings"
kind = "plain"
non-repeatable = ["POST /bookings", "* /pay/**"]
repeatable = ["POST /seats/*", "POST /open/**"]

[[model]]
name = "base"
kv-space = "6 GiB"
layouts = [{ accelerators = 1, memory = "18 GiB" }, { accelerators = 2, memory = "10 GiB" }]
versions = [{ name = "1", weights = "base/1" }]
version = "1"

[[adapter]]
name = "base-kgn"
model = "base"
memory = "200 MiB"
weights = "base-kgn/1"
services = ["drafts"]

[[preset]]
name = "ordinary"
first = true
floors = [{ model = "base", copies = 2, failure-domains = 2 }]
shares = [{ service = "drafts", weight = 2.5 }]

[[preset]]
name = "peak"
`

func testFiles(namesAndContents ...string) fstest.MapFS {
	fs := fstest.MapFS{}
	for i := 0; i < len(namesAndContents); i += 2 {
		fs[namesAndContents[i]] = &fstest.MapFile{Data: []byte(namesAndContents[i+1])}
	}
	return fs
}

func mustRead(namesAndContents ...string) declaration.Set {
	set, err := declaration.Read(testFiles(namesAndContents...), "decl")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return set
}

func findingsOf(namesAndContents ...string) []string {
	_, err := declaration.Read(testFiles(namesAndContents...), "decl")
	return findingLines(err)
}

func findingLines(err error) []string {
	if err == nil {
		return nil
	}
	var found *finding.Error
	ExpectWithOffset(2, errors.As(err, &found)).To(BeTrue(), "%v", err)
	formatted := make([]string, 0)
	for _, f := range found.Findings {
		formatted = append(formatted, f.String())
	}
	return formatted
}

var _ = Describe("Read", func() {
	It("reads declarations and looks them up by name", func() {
		set := mustRead("a.toml", validDeclarations)
		service, ok := set.Service("drafts")
		Expect(ok).To(BeTrue())
		Expect(service.Goal).To(Equal(declaration.Goal{
			FirstToken: 540 * time.Millisecond, Deadline: 30 * time.Second, Priority: declaration.DefaultPriority,
		}))
		model, ok := set.Model("base")
		Expect(ok).To(BeTrue())
		Expect(model.Layouts).To(Equal([]declaration.Layout{{Accelerators: 1, Memory: 18 << 30}, {Accelerators: 2, Memory: 10 << 30}}))
		adapter, ok := set.Adapter("base-kgn")
		Expect(ok).To(BeTrue())
		Expect(adapter.Memory).To(Equal(declaration.Bytes(200 << 20)))
		_, ok = set.Model("base-kgn")
		Expect(ok).To(BeFalse())
		Expect(set.InitialPreset().Name).To(Equal("ordinary"))
		peak, ok := set.Preset("peak")
		Expect(ok).To(BeTrue())
		Expect(peak.Floor("base")).To(Equal(declaration.Floor{Model: "base", Copies: 1, FailureDomains: 1}))
		Expect(set.InitialPreset().Floor("base").Copies).To(Equal(2))
		Expect(set.InitialPreset().Share("drafts")).To(Equal(2.5))
		Expect(set.InitialPreset().Share("bookings")).To(Equal(1.0))
	})

	It("finds the first service that uses a model or an adapter", func() {
		set := mustRead("a.toml", validDeclarations, "b.toml", "[[service]]\nname = \"answers\"\nkind = \"model-backed\"\nmodels = [\"base\"]\n")
		for target, want := range map[string]string{"base": "answers", "base-kgn": "drafts", "bookings": "", "": ""} {
			service, ok := set.FirstServiceUsing(target)
			Expect(service.Name).To(Equal(want), target)
			Expect(ok).To(Equal(want != ""), target)
		}
	})

	It("accepts the example declarations of both deployments at their current sizes", func() {
		for name, want := range map[string][2]int{"kingston": {15, 75}, "lagos": {20, 65}} {
			set, err := declaration.Read(os.DirFS("../../examples/declarations/"+name), name)
			Expect(err).NotTo(HaveOccurred())
			Expect(set.Models()).To(HaveLen(want[0]), name)
			Expect(set.Adapters()).To(HaveLen(want[1]), name)
			Expect(set.FailureDomains()).To(HaveLen(3), name)
			Expect(set.Presets()).To(HaveLen(3), name)
		}
	})

	It("reports duplicate names across files with both places", func() {
		Expect(findingsOf("a.toml", validDeclarations, "b/c.toml", `[[model]]
name = "base-kgn"
layouts = [{ accelerators = 1, memory = "1 GiB" }]
versions = [{ name = "1", weights = "x" }]
version = "1"
[[service]]
name = "drafts"
kind = "plain"
[[preset]]
name = "peak"
first = true
`)).To(Equal([]string{
			`decl/a.toml:22:8: adapter "base-kgn" is already the name of the model at decl/b/c.toml:2:8; remove one or write another name`,
			`decl/b/c.toml:7:8: service "drafts" is already the name of the service at decl/a.toml:3:8; remove one or write another name`,
			`decl/b/c.toml:10:8: preset "peak" is already the name of the preset at decl/a.toml:35:8; remove one or write another name`,
			`decl/b/c.toml:11:9: two presets are the first, the other at decl/a.toml:30:9; leave one out`,
		}))
	})

	It("reports unknown references and suggests the nearest name", func() {
		Expect(findingsOf("a.toml", validDeclarations, "b.toml", `[[service]]
name = "x"
kind = "model-backed"
models = ["bsae", "base-kgn"]
[[adapter]]
name = "y"
model = "bases"
memory = "1 MiB"
weights = "w"
services = ["draft", "bookings"]
[[preset]]
name = "z"
floors = [{ model = "nothing-like-it" }]
shares = [{ service = "drafst", weight = 1 }]
`)).To(Equal([]string{
			`decl/b.toml:4:11: model "bsae" is not declared; write "base"`,
			`decl/b.toml:4:19: "base-kgn" is not a model but the adapter at decl/a.toml:22:8; declare it, or write one of the 1 models that are declared`,
			`decl/b.toml:7:9: model "bases" is not declared; write "base"`,
			`decl/b.toml:10:13: service "draft" is not declared; write "drafts"`,
			`decl/b.toml:13:21: model "nothing-like-it" is not declared; declare it, or write one of the 1 models that are declared`,
			`decl/b.toml:14:23: service "drafst" is not declared; write "drafts"`,
		}))
	})

	It("adds no findings for the adapters of a misspelt model", func() {
		Expect(findingsOf("a.toml", strings.Replace(validDeclarations, `models = ["base"]`, `models = ["bsae"]`, 1))).To(Equal([]string{
			`decl/a.toml:5:11: model "bsae" is not declared; write "base"`,
		}))
	})

	It("reports all files with broken TOML, and no unresolved references, which may be declared in them", func() {
		Expect(findingsOf("a.toml", "[[service]\n", "b.toml", "x = \n", "c.toml", "[[adapter]]\nname = 1\n")).To(ConsistOf(
			HavePrefix("decl/a.toml:1:"), HavePrefix("decl/b.toml:1:"),
			HavePrefix(`decl/c.toml:2:8: "name" must be a text, not a whole number`),
		))
	})

	It("reports each mistake once", func() {
		Expect(findingsOf("a.toml", validDeclarations, "b.toml", "[[accelerator-class]]\nname = \"a\"\nmemory = 80\ncount = 0\nsize = 1\n")).To(Equal([]string{
			`decl/b.toml:3:10: "memory" must be a size with its unit, not a whole number; write for example "24 GiB"`,
			`decl/b.toml:4:9: "count" must be from 1 to 100000, not 0; write for example count = 1`,
			`decl/b.toml:5:1: unknown key "size" in accelerator-class; the keys here are count, memory, name`,
		}))
	})

	DescribeTable("refuses invalid declarations",
		func(addition, want string) {
			found := findingsOf("a.toml", validDeclarations, "b.toml", addition)
			Expect(found).To(HaveLen(1), "%v", found)
			Expect(found[0]).To(HavePrefix("decl/b.toml:" + want))
		},
		Entry("a negative size", "[[adapter]]\nname = \"x\"\nmodel = \"base\"\nweights = \"w\"\nmemory = \"-1 GiB\"\n", `5:10: "memory" must be from 1 B`),
		Entry("a missing key", "[[adapter]]\nname = \"x\"\nmodel = \"base\"\nweights = \"w\"\n", `1:3: key "memory" is missing`),
		Entry("an adapter for a service that does not use its base model", "[[adapter]]\nname = \"x\"\nmodel = \"base\"\nmemory = \"1 MiB\"\nweights = \"w\"\nservices = [\"bookings\"]\n", `6:13: service "bookings" does not use model "base"`),
		Entry("a preset without a name", "[[preset]]\n", `1:3: key "name" is missing`),
		Entry("a name with a space", "[[preset]]\nname = \"a b\"\n", `2:8: preset cannot be called "a b"`),
		Entry("a service without a kind", "[[service]]\nname = \"x\"\n", `1:3: key "kind" is missing`),
		Entry("a misspelt kind", "[[service]]\nname = \"x\"\nkind = \"plian\"\n", `3:8: "kind" cannot be "plian"; write "plain"`),
		Entry("a model-backed service without models", "[[service]]\nname = \"x\"\nkind = \"model-backed\"\n", `1:3: key "models" is missing`),
		Entry("a plain service with models", "[[service]]\nname = \"x\"\nkind = \"plain\"\nmodels = [\"base\"]\n", `4:1: a plain service uses no models`),
		Entry("a model-backed service with calls", "[[service]]\nname = \"x\"\nkind = \"model-backed\"\nmodels = [\"base\"]\nnon-repeatable = [\"POST /\"]\n", `5:1: a model-backed service has no calls`),
		Entry("a call without a method", plainService("/bookings"), `4:19: "/bookings " is no method and path`),
		Entry("a malformed pattern", plainService("POST /[a"), `4:19: "/[a" is no pattern`),
		Entry("a pattern that never matches", plainService("POST /a/../b"), `4:19: "/a/../b" never matches a call; write "/b"`),
		Entry("** in the middle", plainService("POST /a/**/b"), `4:19: ** may only be the last segment`),
		Entry("a call in both lists", plainService("POST /a")+"repeatable = [\"POST /a\"]\n", `5:15: "POST /a" is in non-repeatable as well`),
		Entry("a deadline before the first token", "[[service]]\nname = \"x\"\nkind = \"plain\"\ngoal = { first-token = \"2s\", deadline = \"1s\" }\n", `4:41: the deadline 1s is not after`),
		Entry("a priority out of range", "[[service]]\nname = \"x\"\nkind = \"plain\"\ngoal = { priority = 10 }\n", `4:21: "priority" must be from 0 to 9`),
		Entry("a version that is not listed", "[[model]]\nname = \"x\"\nlayouts = [{ accelerators = 1, memory = \"1 GiB\" }]\nversions = [{ name = \"2026-10\", weights = \"w\" }]\nversion = \"2026-11\"\n", `5:11: version "2026-11" is not among the versions; write "2026-10"`),
		Entry("two layouts with the same number of accelerators", "[[model]]\nname = \"x\"\nlayouts = [{ accelerators = 1, memory = \"1 GiB\" }, { accelerators = 1, memory = \"2 GiB\" }]\nversions = [{ name = \"1\", weights = \"w\" }]\nversion = \"1\"\n", `3:52: "1 accelerators" stands twice, first at decl/b.toml:3:12`),
		Entry("a floor of no copies", "[[preset]]\nname = \"x\"\nfloors = [{ model = \"base\", copies = 0 }]\n", `3:38: "copies" must be from 1`),
		Entry("more failure domains than copies", "[[preset]]\nname = \"x\"\nfloors = [{ model = \"base\", copies = 2, failure-domains = 3 }]\n", `3:59: 2 copies cannot be in 3 failure domains`),
		Entry("two floors for one model", "[[preset]]\nname = \"x\"\nfloors = [{ model = \"base\" }, { model = \"base\", copies = 2 }]\n", `3:31: "base" stands twice, first at decl/b.toml:3:11`),
		Entry("more failure domains than are declared", "[[failure-domain]]\nname = \"a\"\n[[failure-domain]]\nname = \"b\"\n[[preset]]\nname = \"x\"\nfloors = [{ model = \"base\", copies = 3, failure-domains = 3 }]\n", `7:59: 3 failure domains, and 2 are declared`),
		Entry("a model larger than any accelerator", "[[accelerator-class]]\nname = \"a\"\nmemory = \"1 TiB\"\ncount = 9\n[[model]]\nname = \"x\"\nkv-space = \"1 GiB\"\nlayouts = [{ accelerators = 1, memory = \"1 TiB\" }]\nversions = [{ name = \"1\", weights = \"w\" }]\nversion = \"1\"\n", `8:1: model "x" with its KV space fits on no declared accelerator class`),
	)

	It("refuses floors that exceed the declared memory, and shows the calculation", func() {
		Expect(findingsOf("a.toml", validDeclarations, "b.toml", "[[accelerator-class]]\nname = \"a\"\nmemory = \"24 GiB\"\ncount = 2\n")).To(Equal([]string{
			`decl/a.toml:28:3: preset "ordinary" does not fit: 2 copies take 48.00GiB, adapters 200.00MiB, the reserve of 0% 0, together 48.20GiB of 48.00GiB; lower its floors or its reserve`,
		}))
	})

	It("requires a first preset", func() {
		Expect(findingsOf("a.toml", "[[preset]]\nname = \"x\"\n")).To(Equal([]string{
			`decl/a.toml:1:3: no preset is the first to be in force; write first = true in one preset`,
		}))
		Expect(findingsOf("a.toml", "")).To(ConsistOf(HavePrefix("declarations: no preset is declared")))
		Expect(findingsOf("a.json", "")).To(ConsistOf(HavePrefix("decl: no .toml file is in the folder")))
	})
})

var _ = Describe("Service", func() {
	It("repeats calls of idempotent methods only, unless the call is declared as repeatable", func() {
		bookings, _ := mustRead("a.toml", validDeclarations).Service("bookings")
		for call, want := range map[[2]string]bool{
			{"GET", "/bookings"}:       true,
			{"PUT", "/bookings/7"}:     true,
			{"POST", "/bookings"}:      false,
			{"POST", "/unheard-of"}:    false,
			{"POST", "/seats/12"}:      true,
			{"POST", "/seats/12/hold"}: false,
			{"POST", "/open/a/b"}:      true,
			{"POST", "/open/../pay"}:   false,
			{"GET", "/pay/7"}:          false,
			{"GET", "/pay/7/8"}:        false,
			{"GET", "/pay"}:            true,
			{"GET", "/x/../pay/7"}:     false,
			{"GET", "//pay/7"}:         false,
			{"PATCH", "/bookings/7"}:   false,
		} {
			Expect(bookings.MayRepeat(call[0], call[1])).To(Equal(want), "%v", call)
		}
	})
})

func plainService(call string) string {
	return "[[service]]\nname = \"x\"\nkind = \"plain\"\nnon-repeatable = [\"" + call + "\"]\n"
}
