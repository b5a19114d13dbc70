package desk_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// newCrashing returns an upstream that ends when it runs a request with a body, and
// answers any other.
func newCrashing(body string) *bookings {
	b := newBookings(nil)
	b.then = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Spec-Body") != body {
			_, _ = w.Write([]byte("{}"))
			return
		}
		b.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	return b
}

var _ = Describe("a completion that crashes engines", func() {
	const crashing = `{"model":"m","prompt":"crash"}`

	// Callers repeat it at another instance each time; an instance that counts by itself
	// lets three more engines end.
	It("is refused by all instances once three have ended, and others are served",
		SpecTimeout(specTimeout), func(ctx SpecContext) {
			v := newVoters()
			bulletin := quarantine.NewBulletin(quarantine.Limits{})
			entrances := []*entrance{newEntrance(v, "a"), newEntrance(v, "b"), newEntrance(v, "c")}
			engines := []*bookings{}
			addresses := []string{}
			for range 8 {
				engine := newCrashing("crash")
				engines = append(engines, engine)
				addresses = append(addresses, engine.address())
			}
			follow := func() {
				v.mu.Lock()
				news := bulletin.News(time.Now(), v.registry.Crashes())
				v.mu.Unlock()
				for _, e := range entrances {
					e.coroner.Follow(news)
				}
			}
			ended := func() (count int) {
				for _, engine := range engines {
					count += engine.counted()
				}
				return count
			}
			for _, e := range entrances {
				e.serveAt(addresses...)
			}
			at := 0
			crash := func() told {
				at++
				return entrances[at%len(entrances)].crash(ctx, crashing)
			}
			for ended() < 3 {
				Expect(crash().status).To(Equal(http.StatusBadGateway))
			}
			Eventually(ctx, func() int {
				follow()
				return len(bulletin.News(time.Now(), v.registry.Crashes()).Quarantined)
			}).Should(Equal(1))
			Eventually(ctx, func() bool {
				follow()
				return entrances[0].coroner.Holds(quarantine.Identity{
					Method: http.MethodPost, Target: "/v1/completions", Body: []byte(crashing),
				}.Digest())
			}).Should(BeTrue())
			before := ended()
			for range 6 {
				answer := crash()
				Expect(answer.status).To(Equal(http.StatusUnprocessableEntity))
				Expect(answer.outcome).To(Equal("not-run"))
				Expect(answer.body).To(ContainSubstring(`"code":"quarantined"`))
				Expect(answer.header.Get("Retry-After")).To(BeEmpty())
			}
			Expect(ended()).To(Equal(before))
			Expect(entrances[1].call(ctx, http.MethodPost, "/v1/completions", "", `{"model":"m"}`).status).To(Equal(http.StatusOK))
		})
})
