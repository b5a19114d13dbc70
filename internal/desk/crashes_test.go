package desk_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// newCrashingUpstream returns an upstream that stops when it receives a request whose Spec-Body
// header is marker. It responds to all other requests.
func newCrashingUpstream(marker string) *fakeUpstream {
	upstream := newFakeUpstream(nil)
	upstream.handler = func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Spec-Body") != marker {
			_, _ = w.Write([]byte("{}"))
			return
		}
		upstream.Listener.Close()
		panic(http.ErrAbortHandler)
	}
	return upstream
}

var _ = Describe("a message that crashes engines", func() {
	const dead = `{"role":"system","content":"dead"}`

	// No two of these completions are alike: only the message that they share tells of the others.
	It("is refused by all instances in any completion, and other messages are served",
		SpecTimeout(specTimeout), func(ctx SpecContext) {
			cluster := newFakeVoters()
			publisher := quarantine.NewPublisher(quarantine.Limits{})
			servers := []*testServer{newTestServer(cluster, "a"), newTestServer(cluster, "b")}
			addresses := []string{}
			for range 12 {
				addresses = append(addresses, newCrashingUpstream("crash").address())
			}
			for _, server := range servers {
				server.setUpstreams(addresses...)
			}
			// syncQuarantine applies the news as of a later time.
			syncQuarantine := func(later time.Duration) quarantine.News {
				cluster.mu.Lock()
				defer cluster.mu.Unlock()
				news := publisher.News(time.Now().Add(later), cluster.registry.CrashRecords())
				for _, server := range servers {
					server.crashDetector.ApplyNews(news)
				}
				return news
			}
			completion := func(n int) string {
				return fmt.Sprintf(`{"model":"m","messages":[{"role":"system","content":"%d"},%s,{"role":"user","content":"%d"}]}`, n, dead, n)
			}
			for n := range 2 {
				// Each attempt crashes several engines.
				Expect(servers[0].completeWithMarker(ctx, completion(n)).status).To(Equal(http.StatusBadGateway))
			}
			Eventually(ctx, func() []quarantine.Entry { return syncQuarantine(0).Quarantined }).Should(HaveLen(1))
			Eventually(ctx, func() bool {
				syncQuarantine(0)
				return servers[1].refuses(ctx, quarantine.Digest{}, quarantine.PartDigest(dead))
			}).Should(BeTrue())
			reply := servers[1].completeWithMarker(ctx, completion(8))
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable), reply.body)
			Expect(reply.outcome).To(Equal("not-run"))
			Expect(reply.body).To(ContainSubstring(`"code":"suspected"`))
			Expect(reply.header.Get("Retry-After")).To(Equal("1"))

			By("being certain after a while")
			syncQuarantine(20 * time.Second)
			reply = servers[1].completeWithMarker(ctx, completion(9))
			Expect(reply.status).To(Equal(http.StatusUnprocessableEntity), reply.body)
			Expect(reply.outcome).To(Equal("not-run"))
			Expect(reply.body).To(ContainSubstring(`"code":"quarantined"`))
			sound := `{"model":"m","messages":[{"role":"system","content":"1"},{"role":"user","content":"dead"}]}`
			Expect(servers[0].call(ctx, http.MethodPost, "/v1/completions", "", sound).status).To(Equal(http.StatusOK))
		})
})

var _ = Describe("a completion that crashes engines", func() {
	const crashing = `{"model":"m","prompt":"crash"}`

	// Each retry goes to another instance. If instances counted crashes separately, each of
	// them would let three engines crash.
	It("is refused by all instances once three have ended, and others are served",
		SpecTimeout(specTimeout), func(ctx SpecContext) {
			cluster := newFakeVoters()
			publisher := quarantine.NewPublisher(quarantine.Limits{})
			servers := []*testServer{newTestServer(cluster, "a"), newTestServer(cluster, "b"), newTestServer(cluster, "c")}
			engines := []*fakeUpstream{}
			addresses := []string{}
			for range 8 {
				engine := newCrashingUpstream("crash")
				engines = append(engines, engine)
				addresses = append(addresses, engine.address())
			}
			syncQuarantine := func() {
				cluster.mu.Lock()
				news := publisher.News(time.Now(), cluster.registry.CrashRecords())
				cluster.mu.Unlock()
				for _, server := range servers {
					server.crashDetector.ApplyNews(news)
				}
			}
			crashCount := func() (count int) {
				for _, engine := range engines {
					count += engine.runCount()
				}
				return count
			}
			for _, server := range servers {
				server.setUpstreams(addresses...)
			}
			next := 0
			sendCrashing := func() callerReply {
				next++
				return servers[next%len(servers)].completeWithMarker(ctx, crashing)
			}
			for crashCount() < 3 {
				Expect(sendCrashing().status).To(Equal(http.StatusBadGateway))
			}
			Eventually(ctx, func() int {
				syncQuarantine()
				return len(publisher.News(time.Now(), cluster.registry.CrashRecords()).Quarantined)
			}).Should(Equal(1))
			Eventually(ctx, func() bool {
				syncQuarantine()
				return servers[0].refuses(ctx, quarantine.Identity{
					Method: http.MethodPost, Target: "/v1/completions", Body: []byte(crashing),
				}.Digest())
			}).Should(BeTrue())
			before := crashCount()
			for range 6 {
				reply := sendCrashing()
				Expect(reply.status).To(Equal(http.StatusUnprocessableEntity))
				Expect(reply.outcome).To(Equal("not-run"))
				Expect(reply.body).To(ContainSubstring(`"code":"quarantined"`))
				Expect(reply.header.Get("Retry-After")).To(BeEmpty())
			}
			Expect(crashCount()).To(Equal(before))
			Expect(servers[1].call(ctx, http.MethodPost, "/v1/completions", "", `{"model":"m"}`).status).To(Equal(http.StatusOK))
		})
})
