package backoffice_test

import (
	"context"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("Reports of crashed upstreams", func() {
	var c *testCluster
	digest := quarantine.Identity{Method: "POST", Target: "/write/x", Body: []byte("crash")}.Digest()

	BeforeEach(func() {
		c = newTestCluster()
	})

	// note reports to one instance that an upstream crashed while it served the request.
	note := func(ctx context.Context, address, upstream string) bool {
		reply, err := c.calls.UpdateQuarantine(ctx, address, courier.NoteArgs{Update: quarantine.Update{
			Reports: []quarantine.Report{{
				Lifetime: quarantine.Lifetime{Upstream: upstream}, Suspects: []quarantine.Suspect{{Digest: digest, Request: "r1"}},
			}},
		}})
		return err == nil && reply.Recorded
	}
	quarantined := func(address string) func() int {
		return func() int {
			listed, err := c.instances[address].Quarantined(time.Now())
			Expect(err).NotTo(HaveOccurred())
			count := 0
			for _, request := range listed {
				if request.State == quarantine.StateQuarantined {
					count++
				}
			}
			return count
		}
	}
	quarantinedInSync := func(ctx context.Context, address string) func() int {
		return func() int {
			reply, err := c.calls.Sync(ctx, address, courier.SyncArgs{})
			if err != nil || reply.Quarantine == nil {
				return -1
			}
			return len(reply.Quarantine.Quarantined)
		}
	}

	It("count together whichever instances receive them, and survive the loss of an instance", func(ctx SpecContext) {
		for n, address := range c.seeds {
			Eventually(ctx, func() bool { return note(ctx, address, fmt.Sprint("engine-", n)) }).Should(BeTrue())
		}
		for _, address := range c.seeds {
			Eventually(ctx, quarantined(address)).Should(Equal(1))
			Eventually(ctx, quarantinedInSync(ctx, address)).Should(Equal(1))
		}
		c.wipe(c.seeds[0])
		Eventually(ctx, quarantined(c.seeds[0])).Should(Equal(1))
		Expect(c.instances[c.seeds[0]].Lift(ctx, []quarantine.Digest{digest})).To(Succeed())
		Eventually(ctx, quarantined(c.seeds[1])).Should(BeZero())
	}, SpecTimeout(specTimeout))

	// A network link that refuses connections looks like a crashed engine, except that
	// the engine still announces itself.
	It("are retracted if the upstream is heard from later, and ignored if it had announced its leave", func(ctx SpecContext) {
		announce := func(name string, sequence uint64) {
			Expect(c.instances[c.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
				Name: name, Sequence: sequence, Address: "127.0.0.1:1", Kind: upstreamapi.KindService, Services: []string{"app"},
			})).To(Succeed())
		}
		announce("leaving", 1)
		c.leave(ctx, upstreamapi.Leave{Name: "leaving"})
		Eventually(ctx, func() bool { return note(ctx, c.seeds[1], "leaving") }).Should(BeTrue())
		for n := range 3 {
			Eventually(ctx, func() bool { return note(ctx, c.seeds[0], fmt.Sprint("engine-", n)) }).Should(BeTrue())
		}
		Eventually(ctx, quarantined(c.seeds[2])).Should(Equal(1))
		listed, err := c.instances[c.seeds[2]].Quarantined(time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(listed[0].Crashes).To(HaveLen(3), "the report of the leaving upstream is ignored")
		sequence := uint64(1)
		Eventually(ctx, func() int {
			sequence++
			announce("engine-1", sequence)
			return quarantined(c.seeds[2])()
		}).Should(BeZero())
	}, SpecTimeout(specTimeout))
})
