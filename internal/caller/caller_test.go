package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/outcome"
)

// entry is an instance with one way to answer a question.
type entry struct {
	*httptest.Server
	lookups atomic.Int32
	asked   atomic.Int32
}

// newEntry starts an instance that names the given others as entries, or only
// itself, and answers questions with then.
func newEntry(then http.HandlerFunc, others ...*entry) *entry {
	e := &entry{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		e.lookups.Add(1)
		list := fmt.Sprintf(`{"name":"self","address":%q}`, e.address())
		for _, other := range others {
			list += fmt.Sprintf(`,{"name":"other","address":%q}`, other.address())
		}
		fmt.Fprintf(w, `{"entries":[%s],"keep-seconds":60}`, list)
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		e.asked.Add(1)
		then(w, r)
	})
	e.Server = httptest.NewServer(mux)
	DeferCleanup(e.Close)
	return e
}

func (e *entry) address() string {
	return e.Listener.Addr().String()
}

func answer(w http.ResponseWriter, _ *http.Request) {
	for _, word := range []string{"in", " ten", " minutes"} {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.Header, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, `{"error":{"message":"stopping","code":"draining"}}`)
}

func half(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"in\"}}]}\n\n")
}

var question = caller.Question{Model: "m", Text: "when"}

func ignore(string) {}

var _ = Describe("Caller", func() {
	It("looks up the entries once and keeps them", func(ctx SpecContext) {
		e := newEntry(answer)
		asking := caller.New(caller.Options{Known: []string{e.address()}})
		for range 3 {
			got, err := asking.Ask(ctx, question, ignore)
			Expect(err).NotTo(HaveOccurred())
			Expect(got.Text).To(Equal("in ten minutes"))
		}
		Expect(e.lookups.Load()).To(BeEquivalentTo(1))
	})

	It("asks for the entries again when they may no longer be kept", func(ctx SpecContext) {
		e := newEntry(answer)
		now := time.Now()
		asking := caller.New(caller.Options{Known: []string{e.address()}, Now: func() time.Time { return now }})
		_, err := asking.Entries(ctx)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Hour)
		_, err = asking.Entries(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.lookups.Load()).To(BeEquivalentTo(2))
	})

	// The instance that the caller kept is stopping and refuses. Its answer says
	// not-run, so the caller asks the other one at once.
	It("goes to another instance when one refuses", func(ctx SpecContext) {
		serving := newEntry(answer)
		stopping := newEntry(refuse, serving)
		asking := caller.New(caller.Options{Known: []string{stopping.address()}})
		got, err := asking.Ask(ctx, question, ignore)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Entry.Address).To(Equal(serving.address()))
		Expect(got.Attempts).To(Equal(2))
	})

	// The answer breaks off after its first piece, which the caller has seen. It
	// is neither taken for whole nor begun again behind the piece.
	It("never takes half an answer for the whole", func(ctx SpecContext) {
		e := newEntry(half)
		asking := caller.New(caller.Options{Known: []string{e.address()}})
		seen := ""
		_, err := asking.Ask(ctx, question, func(piece string) { seen += piece })
		var failure *caller.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Outcome).To(Equal(outcome.Ran))
		Expect(seen).To(Equal("in"))
		Expect(e.asked.Load()).To(BeEquivalentTo(1))
	})

	It("gives up with the reason when nobody takes the question", func(ctx SpecContext) {
		e := newEntry(refuse)
		asking := caller.New(caller.Options{Known: []string{e.address()}})
		_, err := asking.Ask(ctx, question, ignore)
		var failure *caller.Error
		Expect(errors.As(err, &failure)).To(BeTrue())
		Expect(failure.Outcome).To(Equal(outcome.NotRun))
		Expect(failure.Code).To(Equal("draining"))
	})
})
