package backoffice_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
)

var _ = Describe("What entry instances told", func() {
	began := time.Unix(1000, 0)

	// Two instances have requests with an adapter under way. It must not make way until
	// both have told that theirs have ended.
	It("says that an adapter is in use until no instance uses it", func() {
		told := backoffice.NewTold()
		adapter := backoffice.Adapter{Model: "m", Name: "a"}
		open := courier.Demand{Model: "m", Adapter: "a", Requests: 1, Open: 1}
		told.Note(began, "e1", open)
		told.Note(began, "e2", open, courier.Demand{Model: "m", Adapter: "b", Open: 2})
		told.Note(began, "e1")
		Expect(told.InUse(adapter)).To(BeTrue())
		told.Note(began, "e2", courier.Demand{Model: "m", Adapter: "b", Open: 1})
		Expect(told.InUse(adapter)).To(BeFalse())
	})

	It("says which engines take few requests, for as long as it is told", func() {
		told := backoffice.NewTold()
		told.NoteLimit(began, "e1", 1.1)
		told.NoteLimit(began, "e2", 40)
		Expect(told.IsNarrow(began, "e1", 64)).To(BeTrue())
		Expect(told.IsNarrow(began, "e2", 64)).To(BeFalse(), "about what it can run")
		Expect(told.IsNarrow(began, "e3", 64)).To(BeFalse())
		Expect(told.IsNarrow(began.Add(3*time.Second), "e1", 64)).To(BeFalse())
	})

	// Callers may name any model and adapter. Whatever they name, and whoever leads, the
	// memory of an instance must not grow with it for good.
	It("is forgotten once nobody asks any more", func() {
		told := backoffice.NewTold()
		for i := range 1000 {
			told.Note(began, "e1", courier.Demand{Model: fmt.Sprint("m", i), Adapter: fmt.Sprint("a", i), Requests: 1, Open: 1})
		}
		Expect(told.Kept(began.Add(time.Second))).To(BeNumerically(">", 2000))
		Expect(told.Kept(began.Add(time.Minute))).To(BeZero())
	})
})
