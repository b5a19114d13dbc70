package workspace_test

import (
	"math"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

var _ = Describe("Directory", func() {
	It("finds the workspace that holds a key", func() {
		var findings finding.List
		d := workspace.New([]workspace.Workspace{
			{Name: "clerks", Keys: []workspace.KeyDigest{workspace.Digest("one"), workspace.Digest("two")}},
			{Name: "jurors", Keys: []workspace.KeyDigest{workspace.Digest("three")}},
			{Name: "nobody"},
		}, &findings)
		Expect(findings.Len()).To(BeZero())
		Expect(d.Find("two").Name).To(Equal("clerks"))
		Expect(d.Find("three").Name).To(Equal("jurors"))
		for _, key := range []string{"", "four", "One"} {
			Expect(d.Find(key)).To(BeNil())
		}
		Expect(d.Named("nobody").Keys).To(BeEmpty())
		Expect(d.Named("somebody")).To(BeNil())
		Expect(d.Empty()).To(BeFalse())
	})

	It("needs no key if there are no workspaces", func() {
		var d *workspace.Directory
		Expect(d.Empty()).To(BeTrue())
		Expect(d.Find("one")).To(BeNil())
	})

	requests := func(perSecond float64) quota.Limit { return quota.Limit{PerSecond: perSecond, Burst: 1} }
	tokens := quota.Limit{Unit: quota.Tokens, PerSecond: 600, Burst: 1}
	DescribeTable("has the weights of its workspaces",
		func(list []workspace.Workspace, a, b float64) {
			var findings finding.List
			weights := workspace.New(list, &findings).Weights()
			Expect([]float64{weights.Of("a"), weights.Of("b"), weights.Of("unknown")}).To(Equal([]float64{a, b, 1}))
		},
		Entry("none is stated", []workspace.Workspace{{Name: "a"}, {Name: "b"}}, 1.0, 1.0),
		Entry("one is stated", []workspace.Workspace{{Name: "a", Weight: 2.5, Quota: requests(10)}, {Name: "b", Quota: requests(30)}}, 2.5, 1.0),
		Entry("quotas of one unit", []workspace.Workspace{{Name: "a", Quota: requests(10)}, {Name: "b", Quota: requests(30)}}, 0.5, 1.5),
		Entry("quotas of two units", []workspace.Workspace{{Name: "a", Quota: requests(10)}, {Name: "b", Quota: tokens}}, 1.0, 1.0),
		Entry("a workspace without a quota", []workspace.Workspace{{Name: "a", Quota: requests(10)}, {Name: "b"}}, 1.0, 1.0),
	)

	// Guards against a request that runs as the workspace of another caller.
	It("reports all faults, and no key", func() {
		var findings finding.List
		workspace.New([]workspace.Workspace{
			{Name: "clerks", Keys: []workspace.KeyDigest{workspace.Digest("one")}},
			{Name: "jurors", Keys: []workspace.KeyDigest{workspace.Digest("two"), workspace.Digest("one")}},
			{Name: "clerks"},
			{Keys: []workspace.KeyDigest{workspace.Digest("")}},
			{Name: "greedy", Quota: quota.Limit{PerSecond: -1}},
			{Name: "negative", Weight: -1},
			{Name: "infinite", Weight: math.Inf(1)},
			{Name: "undefined", Weight: math.NaN()},
		}, &findings)
		Expect(findings.Err()).To(MatchError(And(
			ContainSubstring("workspace jurors: its key 1 is also a key of workspace clerks"),
			ContainSubstring("workspace clerks: two workspaces have this name"),
			ContainSubstring("a workspace has no name"),
			ContainSubstring("its key 0 is empty"),
			ContainSubstring("workspace greedy: a number of its quota is negative or infinite"),
			ContainSubstring("workspace negative: its weight is negative, infinite or not a number"),
			ContainSubstring("workspace infinite: its weight is"),
			ContainSubstring("workspace undefined: its weight is"),
			Not(ContainSubstring("one")),
		)))
	})
})

func TestWorkspace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workspace")
}
