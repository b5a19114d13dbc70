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

var start = time.Date(2026, 12, 2, 20, 0, 0, 0, time.UTC)

// check stands for the checks of declarations: here they are the names of the
// presets, with spaces between.
func check(declarations []byte) ([]string, error) {
	if bytes.Contains(declarations, []byte("wrong")) {
		return nil, errors.New("a.toml:1: unknown key \"wrong\"")
	}
	return strings.Fields(string(declarations)), nil
}

// replica applies commands at the next index.
type replica struct {
	*registry.Registry
	last jury.Index
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
	r.last++
	result, err := r.Apply(r.last, data)
	ExpectWithOffset(2, err).NotTo(HaveOccurred())
	return result
}

func (r *replica) change(c registry.Change) registry.Answer {
	prepared, err := c.Prepare(check)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return *r.apply(prepared).Change
}

// restarted returns a replica that took over a snapshot of r.
func (r *replica) restarted() *replica {
	snapshot, err := r.Snapshot()
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	fresh := newReplica()
	ExpectWithOffset(1, fresh.Restore(snapshot)).To(Succeed())
	fresh.last = r.last
	return fresh
}

func change(id string, expected registry.Revision) registry.Change {
	return registry.Change{ID: id, Expected: expected, By: "clerk", Now: start}
}

func declare(id string, expected registry.Revision, declarations string) registry.Change {
	c := change(id, expected)
	c.Declarations = []byte(declarations)
	c.Summary = "declare " + declarations
	return c
}

func choose(id string, expected registry.Revision, preset string) registry.Change {
	c := change(id, expected)
	c.Preset = preset
	c.Summary = "preset " + preset
	return c
}

var _ = Describe("the configuration", func() {
	var r *replica

	BeforeEach(func() {
		r = newReplica()
		Expect(r.change(declare("one", 0, "ordinary peak"))).To(Equal(registry.Answer{Verdict: registry.VerdictApplied, Revision: 1, Preset: "ordinary"}))
	})

	It("has exactly one preset in force, which the declarations name", func() {
		Expect(registry.New().View()).To(Equal(&registry.View{}))
		Expect(r.View().Preset).To(Equal("ordinary"))
		Expect(r.change(choose("two", 1, "peak"))).To(HaveField("Preset", "peak"))
		Expect(r.change(choose("three", 2, "night"))).To(And(
			HaveField("Verdict", registry.VerdictRefused),
			HaveField("Reason", `preset "night" is none of the declared ones ["ordinary" "peak"]`)))
		Expect(r.change(declare("four", 2, "ordinary night"))).To(And(
			HaveField("Verdict", registry.VerdictRefused),
			HaveField("Reason", ContainSubstring(`no longer declare "peak"`))))
		Expect(r.View()).To(And(HaveField("Revision", registry.Revision(2)), HaveField("Preset", "peak")))
		both := declare("five", 2, "ordinary night")
		both.Preset = "night"
		Expect(r.change(both)).To(Equal(registry.Answer{Verdict: registry.VerdictApplied, Revision: 3, Preset: "night"}))
		Expect(string(r.View().Declarations)).To(Equal("ordinary night"))
	})

	It("refuses changes that can't come into force", func() {
		Expect(r.change(change("two", 1))).To(HaveField("Reason", "the change changes nothing"))
		Expect(newReplica().change(choose("one", 0, "peak"))).To(HaveField("Reason", ContainSubstring("no declarations yet")))
		_, err := declare("two", 1, "wrong").Prepare(check)
		Expect(err).To(MatchError(ContainSubstring("a.toml:1")))
		_, err = choose("", 1, "peak").Prepare(check)
		Expect(err).To(MatchError(ContainSubstring("change id")))
		_, err = registry.Encode(declare("two", 1, "ordinary"))
		Expect(err).To(MatchError(ContainSubstring("not prepared")))
		Expect(r.View().Revision).To(Equal(registry.Revision(1)))
	})

	// Two operators read revision 1 and both change it at the same moment
	// through different instances. If both came into force, the second would
	// undo the first without its operator having seen it.
	It("lets one of several operators with equal numbers win and tells the others who did", func() {
		var applied []string
		for _, id := range []string{"two", "other two", "third two"} {
			answer := r.change(choose(id, 1, "peak"))
			if answer.Verdict == registry.VerdictApplied {
				applied = append(applied, id)
				continue
			}
			Expect(answer.Verdict).To(Equal(registry.VerdictConflict))
			Expect(answer.Revision).To(Equal(registry.Revision(2)))
			Expect(answer.Since).To(Equal([]registry.Applied{{Revision: 2, ID: "two", By: "clerk", Summary: "preset peak", At: start}}))
			Expect(answer.Since[0].String()).To(Equal("revision 2 by clerk at 2026-12-02T20:00:00Z: preset peak"))
		}
		Expect(applied).To(Equal([]string{"two"}))
	})

	// An operator loses the answer and sends the change again, by then through
	// another leader, after restarts and a compaction, and after others have
	// changed more. "Conflict" would make the operator believe that the change
	// was lost.
	It("gives a change that is sent again its first answer", func() {
		applied := choose("two", 1, "peak")
		late := choose("late", 1, "ordinary")
		first, conflict := r.change(applied), r.change(late)
		Expect(conflict.Verdict).To(Equal(registry.VerdictConflict))
		r.change(choose("three", 2, "ordinary"))
		again := r.restarted()
		for range 2 {
			Expect(again.change(applied)).To(Equal(first))
			Expect(again.change(late)).To(Equal(conflict))
			again = again.restarted()
		}
		Expect(again.View().Revision).To(Equal(registry.Revision(3)))
	})

	It("refuses an id that was used for another change", func() {
		Expect(r.change(choose("one", 1, "peak"))).To(And(
			HaveField("Verdict", registry.VerdictReused),
			HaveField("Reason", ContainSubstring(`"one" was used for another change at 2026-12-02T20:00:00Z`))))
		Expect(r.View().Preset).To(Equal("ordinary"))
	})

	// A resend may come after its answer was dropped. It must not apply then.
	It("keeps a bounded number of answers, for a bounded time, and applies nothing twice", func() {
		for i := range registry.Revision(registry.MaxAnswers) {
			answer := r.change(choose(fmt.Sprint("number ", i), i+1, "peak"))
			Expect(answer.Verdict).To(Equal(registry.VerdictApplied))
		}
		Expect(r.Answers()).To(Equal(registry.MaxAnswers))
		Expect(r.change(declare("one", 0, "ordinary peak"))).To(HaveField("Verdict", registry.VerdictConflict))
		late := choose("much later", registry.MaxAnswers+1, "peak")
		late.Now = start.Add(31 * 24 * time.Hour)
		Expect(r.change(late)).To(HaveField("Verdict", registry.VerdictApplied))
		Expect(r.Answers()).To(Equal(1))
		Expect(r.change(choose("number 1", 2, "peak"))).To(HaveField("Verdict", registry.VerdictConflict))
	})

	It("shows readers a whole revision at any time", func() {
		done := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(done)
			for i := registry.Revision(1); i <= 500; i++ {
				both := declare(fmt.Sprint("both ", i), i, fmt.Sprint("p", i))
				both.Preset = fmt.Sprint("p", i)
				r.change(both)
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
