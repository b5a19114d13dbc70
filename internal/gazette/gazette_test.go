package gazette_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/fstest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/gazette"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// viewOf returns a view of a configuration with one preset, named after the revision.
func viewOf(revision registry.Revision) *registry.View {
	name := fmt.Sprintf("preset-%d", revision)
	set, err := declaration.Read(fstest.MapFS{"a.toml": {Data: []byte("[[preset]]\nname = \"" + name + "\"\nfirst = true\n")}}, "decl")
	if err != nil {
		panic(err)
	}
	return &registry.View{Revision: revision, Preset: name, Declarations: set.Canonical()}
}

var _ = Describe("Gazette", func() {
	It("starts at revision 0 and follows the published revisions", func() {
		c := gazette.New()
		Expect(*c.Latest()).To(Equal(gazette.Configuration{}))
		Expect(c.Publish(&registry.View{})).To(Succeed())
		Expect(c.Publish(viewOf(3))).To(Succeed())
		Expect(c.Latest().Revision).To(Equal(registry.Revision(3)))
		Expect(c.Latest().Preset.Name).To(Equal("preset-3"))
	})

	It("never goes back to an earlier revision", func() {
		// An instance asks two others for the configuration. The answer of the one that
		// is behind arrives last. Requests after the change to the new preset must not
		// see the old one.
		c := gazette.New()
		Expect(c.Publish(viewOf(8))).To(Succeed())
		Expect(c.Publish(viewOf(7))).To(Succeed())
		Expect(c.Latest().Preset.Name).To(Equal("preset-8"))
	})

	It("keeps the latest configuration if it can't use the next one", func() {
		c := gazette.New()
		Expect(c.Publish(viewOf(1))).To(Succeed())
		newer := viewOf(2)
		newer.Declarations = []byte(`{"format":2}`)
		Expect(c.Publish(newer)).To(MatchError(ContainSubstring("gazette: revision 2: declaration: format 2")))
		undeclared := viewOf(2)
		undeclared.Preset = "preset-1"
		Expect(c.Publish(undeclared)).To(MatchError(ContainSubstring(`preset "preset-1" is in force but not declared`)))
		Expect(c.Latest().Revision).To(Equal(registry.Revision(1)))
	})

	It("shows each reader whole issues in rising order", func() {
		// Two goroutines publish views in any order while others read. Each Configuration must
		// have the preset of its own revision, and no reader may see a lower revision
		// than before.
		const revisions = 50
		c := gazette.New()
		var publishers, readers sync.WaitGroup
		stop := make(chan struct{})
		for p := range 2 {
			publishers.Go(func() {
				defer GinkgoRecover()
				for r := p + 1; r <= revisions; r += 1 + p {
					Expect(c.Publish(viewOf(registry.Revision(r)))).To(Succeed())
				}
			})
		}
		for range 2 {
			readers.Go(func() {
				defer GinkgoRecover()
				var last registry.Revision
				for {
					configuration := c.Latest()
					Expect(configuration.Revision).To(BeNumerically(">=", last))
					if configuration.Revision > 0 {
						Expect(configuration.Preset.Name).To(Equal(fmt.Sprintf("preset-%d", configuration.Revision)))
					}
					last = configuration.Revision
					select {
					case <-stop:
						return
					default:
					}
				}
			})
		}
		publishers.Wait()
		close(stop)
		readers.Wait()
		Expect(c.Latest().Revision).To(Equal(registry.Revision(revisions)))
	})
})

// BenchmarkPublish measures the time to decode, check and publish a new revision at one
// instance, by the number of models with five adapters each. It also reports the size of
// a change of the declarations on the wire.
func BenchmarkPublish(b *testing.B) {
	for _, models := range []int{20, 200, 1700} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			declarations := manyModels(b, models)
			b.ReportAllocs()
			for b.Loop() {
				view := &registry.View{Revision: 1, Preset: "ordinary", Declarations: declarations}
				if err := gazette.New().Publish(view); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(declarations)), "canonical-B")
			change, view := wireSizes(b, declarations)
			b.ReportMetric(float64(change), "change-B")
			b.ReportMetric(float64(view), "view-B")
		})
	}
}

// BenchmarkPublishAgain publishes revisions with unchanged declarations, as after a change
// of the preset alone.
func BenchmarkPublishAgain(b *testing.B) {
	for _, models := range []int{20, 1700} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			declarations := manyModels(b, models)
			c := gazette.New()
			revision := registry.Revision(0)
			for b.Loop() {
				revision++
				if err := c.Publish(&registry.View{Revision: revision, Preset: "ordinary", Declarations: declarations}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// wireSizes returns the sizes in bytes of a change as it is sent to the voters, and of the
// view as it is sent to each other instance.
func wireSizes(b *testing.B, declarations []byte) (change, view int) {
	b.Helper()
	prepared, err := registry.Change{ID: "x", Declarations: declarations}.Validated(declaration.Check)
	if err != nil {
		b.Fatal(err)
	}
	command, err := registry.Encode(prepared)
	if err != nil {
		b.Fatal(err)
	}
	wire, err := (&registry.View{Revision: 1, Preset: "ordinary", Declarations: declarations}).GobEncode()
	if err != nil {
		b.Fatal(err)
	}
	return len(command), len(wire)
}

// manyModels returns encoded declarations of the given number of models, each with one
// service and five adapters.
func manyModels(b *testing.B, models int) []byte {
	b.Helper()
	text := []byte("[[preset]]\nname = \"ordinary\"\nfirst = true\n")
	for m := range models {
		text = fmt.Appendf(text, "[[model]]\nname = \"model-%d\"\nkv-space = \"4 GiB\"\nlayouts = [{ accelerators = 1, memory = \"9 GiB\" }]\n"+
			"versions = [{ name = \"2026-10\", weights = \"weights/model-%d/2026-10\" }]\nversion = \"2026-10\"\n", m, m)
		text = fmt.Appendf(text, "[[service]]\nname = \"service-%d\"\nkind = \"model-backed\"\nmodels = [\"model-%d\"]\n", m, m)
		for a := range 5 {
			text = fmt.Appendf(text, "[[adapter]]\nname = \"adapter-%d-%d\"\nmodel = \"model-%d\"\nmemory = \"160 MiB\"\n"+
				"weights = \"weights/adapter-%d-%d/1\"\nservices = [\"service-%d\"]\n", m, a, m, m, a, m)
		}
	}
	set, err := declaration.Read(fstest.MapFS{"a.toml": {Data: text}}, "decl")
	if err != nil {
		b.Fatal(err)
	}
	return set.Canonical()
}
