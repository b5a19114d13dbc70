package gauge_test

import (
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/gauge"
)

var _ = Describe("Metrics", func() {
	It("serve the counters of their own instance only", func() {
		a := gauge.New("a")
		b := gauge.New("b")
		a.Scope().Tagged(map[string]string{"code": "no-upstream"}).Counter("refusals").Inc(2)
		// Close reports the counted values.
		Expect(a.Close()).To(Succeed())
		Expect(b.Close()).To(Succeed())
		Expect(scrape(a)).To(ContainSubstring(`lovagelift_refusals{code="no-upstream",instance="a"} 2`))
		Expect(scrape(b)).NotTo(ContainSubstring("refusals"))
	})
})

func scrape(m *gauge.Metrics) string {
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return recorder.Body.String()
}
