package workspace_test

import (
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

	// Guards against a request that runs as the workspace of another caller.
	It("reports all faults, and no key", func() {
		var findings finding.List
		workspace.New([]workspace.Workspace{
			{Name: "clerks", Keys: []workspace.KeyDigest{workspace.Digest("one")}},
			{Name: "jurors", Keys: []workspace.KeyDigest{workspace.Digest("two"), workspace.Digest("one")}},
			{Name: "clerks"},
			{Keys: []workspace.KeyDigest{workspace.Digest("")}},
			{Name: "greedy", Quota: quota.Limit{PerSecond: -1}},
		}, &findings)
		Expect(findings.Err()).To(MatchError(And(
			ContainSubstring("workspace jurors: its key 1 is also a key of workspace clerks"),
			ContainSubstring("workspace clerks: two workspaces have this name"),
			ContainSubstring("a workspace has no name"),
			ContainSubstring("its key 0 is empty"),
			ContainSubstring("workspace greedy: a number of its quota is negative or infinite"),
			Not(ContainSubstring("one")),
		)))
	})
})

func TestWorkspace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "workspace")
}
