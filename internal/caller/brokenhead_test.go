package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/standin"
)

var _ = It("A broken answer of an instance is not whole, and a broken list names nobody", func(ctx SpecContext) {
	for _, broken := range standin.BrokenResponses {
		list, answer := broken.WithBody(wholeList), broken.WithBody(wholeAnswer)
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		isListBroken := true
		mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { _ = answer.Send(w, r) })
		mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, r *http.Request) {
			if isListBroken {
				_ = list.Send(w, r)
				return
			}
			fmt.Fprintf(w, `{"entries":[{"name":"self","address":%q}],"keep-seconds":60}`, server.Listener.Addr())
		})
		client := caller.New(caller.Options{Seeds: []string{server.Listener.Addr().String()}})
		_, err := client.Entries(ctx)
		if !broken.InTrailer {
			Expect(err).To(HaveOccurred(), "list with %s", broken.Name)
		}
		isListBroken = false
		shortCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
		_, err = caller.New(caller.Options{Seeds: []string{server.Listener.Addr().String()}}).
			Complete(shortCtx, caller.Request{Model: "m", Prompt: "p"}, func(string) {})
		cancel()
		server.Close()
		if !broken.InTrailer {
			// The last event has proven before that the answer is whole.
			Expect(err).To(HaveOccurred(), "answer with %s", broken.Name)
		}
	}
}, SpecTimeout(time.Minute))
