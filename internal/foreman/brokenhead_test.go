package foreman_test

import (
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/foreman"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// An engine in trouble may not have carried the order out, whatever the body says.
var _ = It("a broken answer to an order is none, and the order counts as sent", func(ctx SpecContext) {
	for _, broken := range standin.BrokenResponses {
		broken = broken.WithBody(`{"id":"o1","state":"done"}`)
		engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _ = broken.Send(w, r) }))
		_, err := foreman.SendOrder(ctx, foreman.NewClient(), engine.Listener.Addr().String(), upstreamapi.Order{ID: "o1"})
		engine.Close()
		Expect(err).To(HaveOccurred(), broken.Name)
		Expect(errors.Is(err, foreman.ErrNotSent)).To(BeFalse(), broken.Name)
	}
}, SpecTimeout(time.Minute))
