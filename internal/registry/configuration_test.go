package registry_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

var startTime = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// validateDeclarations is a fake validator. Declarations in these tests are preset
// names separated by spaces.
func validateDeclarations(declarations []byte) ([]string, error) {
	if bytes.Contains(declarations, []byte("wrong")) {
		return nil, errors.New("a.toml:1: unknown key \"wrong\"")
	}
	return strings.Fields(string(declarations)), nil
}

// replica is a registry that assigns log indexes to commands.
type replica struct {
	*registry.Registry
	lastIndex jury.Index
}

func newReplica() *replica {
	return &replica{Registry: registry.New()}
}

func (r *replica) apply(command registry.Command) registry.Result {
	data, err := registry.Encode(command)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return r.applyEncoded(data)
}

func (r *replica) applyEncoded(data []byte) registry.Result {
	r.lastIndex++
	result, err := r.Apply(r.lastIndex, data)
	ExpectWithOffset(2, err).NotTo(HaveOccurred())
	return result
}

// change validates and applies a change.
func (r *replica) change(c registry.Change) registry.ChangeResult {
	validated, err := c.Validated(validateDeclarations)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return *r.apply(validated).Change
}

// restoredCopy returns a new replica restored from a snapshot of r.
func (r *replica) restoredCopy() *replica {
	snapshot, err := r.Snapshot()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	fresh := newReplica()
	ExpectWithOffset(1, fresh.Restore(snapshot)).To(Succeed())
	fresh.lastIndex = r.lastIndex
	return fresh
}

func newChange(id string, expected registry.Revision) registry.Change {
	return registry.Change{ID: id, Expected: expected, By: "clerk", Now: startTime}
}

func declareChange(id string, expected registry.Revision, declarations string) registry.Change {
	c := newChange(id, expected)
	c.Declarations = []byte(declarations)
	c.Summary = "declare " + declarations
	return c
}

func presetChange(id string, expected registry.Revision, preset string) registry.Change {
	c := newChange(id, expected)
	c.Preset = preset
	c.Summary = "preset " + preset
	return c
}

var _ = Describe("the configuration", func() {
	var r *replica

	BeforeEach(func() {
		r = newReplica()
		Expect(r.change(declareChange("one", 0, "ordinary peak"))).To(Equal(registry.ChangeResult{Verdict: registry.VerdictApplied, Revision: 1, Preset: "ordinary"}))
	})

	It("has exactly one preset in force, which the declarations name", func() {
		Expect(registry.New().View()).To(Equal(&registry.View{}))
		Expect(r.View().Preset).To(Equal("ordinary"))
		Expect(r.change(presetChange("two", 1, "peak"))).To(HaveField("Preset", "peak"))
		Expect(r.change(presetChange("three", 2, "night"))).To(And(
			HaveField("Verdict", registry.VerdictRefused),
			HaveField("Reason", `preset "night" is none of the declared ones ["ordinary" "peak"]`)))
		Expect(r.change(declareChange("four", 2, "ordinary night"))).To(And(
			HaveField("Verdict", registry.VerdictRefused),
			HaveField("Reason", ContainSubstring(`no longer declare "peak"`))))
		Expect(r.View()).To(And(HaveField("Revision", registry.Revision(2)), HaveField("Preset", "peak")))
		combined := declareChange("five", 2, "ordinary night")
		combined.Preset = "night"
		Expect(r.change(combined)).To(Equal(registry.ChangeResult{Verdict: registry.VerdictApplied, Revision: 3, Preset: "night"}))
		Expect(string(r.View().Declarations)).To(Equal("ordinary night"))
	})

	It("rejects changes that can't be applied", func() {
		Expect(r.change(newChange("two", 1))).To(HaveField("Reason", "the change changes nothing"))
		Expect(newReplica().change(presetChange("one", 0, "peak"))).To(HaveField("Reason", ContainSubstring("no declarations yet")))
		_, err := declareChange("two", 1, "wrong").Validated(validateDeclarations)
		Expect(err).To(MatchError(ContainSubstring("a.toml:1")))
		_, err = presetChange("", 1, "peak").Validated(validateDeclarations)
		Expect(err).To(MatchError(ContainSubstring("change id")))
		_, err = registry.Encode(declareChange("two", 1, "ordinary"))
		Expect(err).To(MatchError(ContainSubstring("not prepared")))
		Expect(r.View().Revision).To(Equal(registry.Revision(1)))
	})

	// Several operators read revision 1 and submit changes concurrently through
	// different instances. If more than one were applied, a later one would
	// overwrite an earlier one that its operator has not seen.
	It("lets one of several operators with equal numbers win and tells the others who did", func() {
		var applied []string
		for _, id := range []string{"two", "other two", "third two"} {
			answer := r.change(presetChange(id, 1, "peak"))
			if answer.Verdict == registry.VerdictApplied {
				applied = append(applied, id)
				continue
			}
			Expect(answer.Verdict).To(Equal(registry.VerdictConflict))
			Expect(answer.Revision).To(Equal(registry.Revision(2)))
			Expect(answer.ChangesSince).To(Equal([]registry.AppliedChange{{Revision: 2, ID: "two", By: "clerk", Summary: "preset peak", At: startTime}}))
			Expect(answer.ChangesSince[0].String()).To(Equal("revision 2 by clerk at 2026-12-02T20:00:00Z: preset peak"))
		}
		Expect(applied).To(Equal([]string{"two"}))
	})

	// An operator does not receive the answer and retries the change, which reaches a
	// new leader after restarts, a compaction and further changes. A conflict as the
	// answer to the retry would suggest that the change was not applied.
	It("gives a change that is sent again its first answer", func() {
		applied := presetChange("two", 1, "peak")
		staleChange := presetChange("late", 1, "ordinary")
		firstAnswer, conflict := r.change(applied), r.change(staleChange)
		Expect(conflict.Verdict).To(Equal(registry.VerdictConflict))
		r.change(presetChange("three", 2, "ordinary"))
		copied := r.restoredCopy()
		for range 2 {
			Expect(copied.change(applied)).To(Equal(firstAnswer))
			Expect(copied.change(staleChange)).To(Equal(conflict))
			copied = copied.restoredCopy()
		}
		Expect(copied.View().Revision).To(Equal(registry.Revision(3)))
	})

	It("rejects an ID that belongs to a different change", func() {
		Expect(r.change(presetChange("one", 1, "peak"))).To(And(
			HaveField("Verdict", registry.VerdictIDReused),
			HaveField("Reason", ContainSubstring(`"one" was used for another change at 2026-12-02T20:00:00Z`))))
		Expect(r.View().Preset).To(Equal("ordinary"))
	})

	// A retry that arrives after its answer was dropped must not be applied.
	It("limits the number and age of kept answers and applies no change twice", func() {
		for i := range registry.Revision(registry.MaxKeptAnswers) {
			answer := r.change(presetChange(fmt.Sprint("number ", i), i+1, "peak"))
			Expect(answer.Verdict).To(Equal(registry.VerdictApplied))
		}
		Expect(r.KeptAnswers()).To(Equal(registry.MaxKeptAnswers))
		Expect(r.change(declareChange("one", 0, "ordinary peak"))).To(HaveField("Verdict", registry.VerdictConflict))
		laterChange := presetChange("much later", registry.MaxKeptAnswers+1, "peak")
		laterChange.Now = startTime.Add(31 * 24 * time.Hour)
		Expect(r.change(laterChange)).To(HaveField("Verdict", registry.VerdictApplied))
		Expect(r.KeptAnswers()).To(Equal(1))
		Expect(r.change(presetChange("number 1", 2, "peak"))).To(HaveField("Verdict", registry.VerdictConflict))
	})

	It("shows readers a whole revision at any time", func() {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			for i := registry.Revision(1); i <= 500; i++ {
				combined := declareChange(fmt.Sprint("both ", i), i, fmt.Sprint("p", i))
				combined.Preset = fmt.Sprint("p", i)
				r.change(combined)
			}
		}()
		last := registry.Revision(0)
		for running := true; running; {
			select {
			case <-done:
				running = false
			default:
			}
			v := r.View()
			if v.Revision > 1 {
				Expect(string(v.Declarations)).To(Equal(v.Preset))
			}
			Expect(v.Revision).To(BeNumerically(">=", last))
			last = v.Revision
		}
		Expect(last).To(Equal(registry.Revision(501)))
	})
})
