package registrar_test

import (
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// A change whose answer is broken may be in force, whatever the body says.
var _ = It("a broken answer of an instance leaves its operator without a result", func() {
	for _, broken := range standin.BrokenResponses {
		broken = broken.WithBody(`{"revision":1,"requests":[]}`)
		var arrivals atomic.Int32
		c := client("token", serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			_ = broken.Send(w, r)
		})))
		_, err := c.Change(ctx, change(0, "ordinary"))
		Expect(errors.HasType(err, (*registrar.UnknownError)(nil))).To(BeTrue(), broken.Name)
		_, err = c.Quarantined(ctx)
		Expect(err).To(HaveOccurred(), broken.Name)
		Expect(arrivals.Load()).To(Equal(int32(2)), broken.Name)
	}
})
