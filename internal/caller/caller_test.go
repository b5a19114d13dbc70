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

// fakeInstance is an instance that handles all completion requests in the same way.
type fakeInstance struct {
	*httptest.Server
	lookups     atomic.Int32
	completions atomic.Int32
}

// newFakeInstance starts an instance that lists itself and others as entries, and
// handles completion requests with complete.
func newFakeInstance(complete http.HandlerFunc, others ...*fakeInstance) *fakeInstance {
	f := &fakeInstance{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		f.lookups.Add(1)
		list := fmt.Sprintf(`{"name":"self","address":%q}`, f.address())
		for _, other := range others {
			list += fmt.Sprintf(`,{"name":"other","address":%q}`, other.address())
		}
		fmt.Fprintf(w, `{"entries":[%s],"keep-seconds":60}`, list)
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		f.completions.Add(1)
		complete(w, r)
	})
	f.Server = httptest.NewServer(mux)
	DeferCleanup(f.Close)
	return f
}

func (f *fakeInstance) address() string {
	return f.Listener.Addr().String()
}

func respondComplete(w http.ResponseWriter, _ *http.Request) {
	for _, word := range []string{"in", " ten", " minutes"} {
		fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", word)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// writeEvent returns an event with a text whose lines begin with field and end with lineEnd.
func writeEvent(text, field, lineEnd string) string {
	return fmt.Sprintf("%s{\"choices\":[{\"delta\":{\"content\":%q}}]}%s%s", field, text, lineEnd, lineEnd)
}

func respondDraining(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(outcome.Header, "not-run")
	w.WriteHeader(http.StatusServiceUnavailable)
	fmt.Fprint(w, `{"error":{"message":"stopping","code":"draining"}}`)
}

func respondPartial(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"in\"}}]}\n\n")
}

var request = caller.Request{Model: "m", Prompt: "when"}

func discardText(string) {}

var _ = Describe("Caller", func() {
	It("fetches the entries once and caches them", func(ctx SpecContext) {
		instance := newFakeInstance(respondComplete)
		client := caller.New(caller.Options{Seeds: []string{instance.address()}})
		for range 3 {
			response, err := client.Complete(ctx, request, discardText)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Text).To(Equal("in ten minutes"))
		}
		Expect(instance.lookups.Load()).To(BeEquivalentTo(1))
	})

	It("fetches the entries again when the cached ones have expired", func(ctx SpecContext) {
		instance := newFakeInstance(respondComplete)
		now := time.Now()
		client := caller.New(caller.Options{Seeds: []string{instance.address()}, Now: func() time.Time { return now }})
		_, err := client.Entries(ctx)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(time.Hour)
		_, err = client.Entries(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(instance.lookups.Load()).To(BeEquivalentTo(2))
	})

	// The cached instance is draining and refuses the request. The caller must retry
	// on the other instance.
	It("goes to another instance when one refuses", func(ctx SpecContext) {
		serving := newFakeInstance(respondComplete)
		draining := newFakeInstance(respondDraining, serving)
		client := caller.New(caller.Options{Seeds: []string{draining.address()}})
		response, err := client.Complete(ctx, request, discardText)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Entry.Address).To(Equal(serving.address()))
		Expect(response.Attempts).To(Equal(2))
	})

	// The response breaks off after the first chunk, which was already delivered. The
	// caller must neither treat it as complete nor retry and append another response.
	It("never takes half an answer for the whole", func(ctx SpecContext) {
		instance := newFakeInstance(respondPartial)
		client := caller.New(caller.Options{Seeds: []string{instance.address()}})
		received := ""
		_, err := client.Complete(ctx, request, func(chunk string) { received += chunk })
		var callErr *caller.Error
		Expect(errors.As(err, &callErr)).To(BeTrue())
		Expect(callErr.Outcome).To(Equal(outcome.Ran))
		Expect(received).To(Equal("in"))
		Expect(instance.completions.Load()).To(BeEquivalentTo(1))
	})

	// The SSE standard allows all of these.
	DescribeTable("reads events however they are written", func(ctx SpecContext, stream string) {
		instance := newFakeInstance(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, stream) })
		client := caller.New(caller.Options{Seeds: []string{instance.address()}})
		response, err := client.Complete(ctx, request, discardText)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Text).To(Equal("in ten"))
	},
		Entry("without a space behind the name of the field", writeEvent("in", "data:", "\n")+writeEvent(" ten", "data: ", "\n")+"data:[DONE]\n\n"),
		Entry("with other fields and comments", ": busy\n\nid: 1\n"+writeEvent("in", "data: ", "\n")+"event: x\n"+writeEvent(" ten", "data: ", "\n")+"data: [DONE]\n\n"),
		Entry("with CRLF", writeEvent("in", "data: ", "\r\n")+writeEvent(" ten", "data: ", "\r\n")+"data: [DONE]\r\n\r\n"),
		Entry("with CR", writeEvent("in", "data: ", "\r")+writeEvent(" ten", "data: ", "\r")+"data: [DONE]\r\r"),
		Entry("with an event of several lines", "data: {\"choices\":\ndata: [{\"delta\":{\"content\":\"in ten\"}}]}\n\ndata: [DONE]\n\n"),
	)

	It("takes no final event that was broken off", func(ctx SpecContext) {
		instance := newFakeInstance(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, writeEvent("in", "data: ", "\n")+"data: [DONE]")
		})
		client := caller.New(caller.Options{Seeds: []string{instance.address()}})
		_, err := client.Complete(ctx, request, discardText)
		Expect(err).To(HaveOccurred())
	})

	It("gives up with the reason when nobody takes the question", func(ctx SpecContext) {
		instance := newFakeInstance(respondDraining)
		client := caller.New(caller.Options{Seeds: []string{instance.address()}})
		_, err := client.Complete(ctx, request, discardText)
		var callErr *caller.Error
		Expect(errors.As(err, &callErr)).To(BeTrue())
		Expect(callErr.Outcome).To(Equal(outcome.NotRun))
		Expect(callErr.Code).To(Equal("draining"))
	})
})
