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

var _ = Describe("Reports of upstreams that ended", func() {
	var s *site
	digest := quarantine.Identity{Method: "POST", Target: "/write/x", Body: []byte("crash")}.Digest()

	BeforeEach(func() {
		s = newSite()
	})

	// note reports at one instance that an upstream ended under the request.
	note := func(ctx context.Context, address, upstream string) bool {
		reply, err := s.calls.Note(ctx, address, courier.NoteArgs{Update: quarantine.Update{
			Reports: []quarantine.Report{{
				Lifetime: quarantine.Lifetime{Upstream: upstream}, Suspects: []quarantine.Suspect{{Digest: digest, Request: "r1"}},
			}},
		}})
		return err == nil && reply.Recorded
	}
	quarantined := func(address string) func() int {
		return func() int {
			listed, err := s.offices[address].Quarantined(time.Now())
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
	news := func(ctx context.Context, address string) func() int {
		return func() int {
			reply, err := s.calls.Sync(ctx, address, courier.SyncArgs{})
			if err != nil || reply.Quarantine == nil {
				return -1
			}
			return len(reply.Quarantine.Quarantined)
		}
	}

	It("count together whichever instance gets them, and outlive the loss of one", func(ctx SpecContext) {
		for n, address := range s.seeds {
			Eventually(ctx, func() bool { return note(ctx, address, fmt.Sprint("engine-", n)) }).Should(BeTrue())
		}
		for _, address := range s.seeds {
			Eventually(ctx, quarantined(address)).Should(Equal(1))
			Eventually(ctx, news(ctx, address)).Should(Equal(1))
		}
		s.wipe(s.seeds[0])
		Eventually(ctx, quarantined(s.seeds[0])).Should(Equal(1))
		Expect(s.offices[s.seeds[0]].Lift(ctx, []quarantine.Digest{digest})).To(Succeed())
		Eventually(ctx, quarantined(s.seeds[1])).Should(BeZero())
	}, SpecTimeout(specTimeout))

	// A link that refuses connections looks like an engine that has ended, but for its
	// liveness reports.
	It("are taken back if the upstream is heard of later, and left out if it had said that it goes", func(ctx SpecContext) {
		announce := func(name string, sequence uint64) {
			Expect(s.offices[s.seeds[1]].Announce(time.Now(), upstreamapi.Announcement{
				Name: name, Sequence: sequence, Address: "127.0.0.1:1", Kind: upstreamapi.KindService, Services: []string{"app"},
			})).To(Succeed())
		}
		announce("leaving", 1)
		s.offices[s.seeds[1]].Leave(time.Now(), upstreamapi.Leave{Name: "leaving"})
		Eventually(ctx, func() bool { return note(ctx, s.seeds[1], "leaving") }).Should(BeTrue())
		for n := range 3 {
			Eventually(ctx, func() bool { return note(ctx, s.seeds[0], fmt.Sprint("engine-", n)) }).Should(BeTrue())
		}
		Eventually(ctx, quarantined(s.seeds[2])).Should(Equal(1))
		listed, err := s.offices[s.seeds[2]].Quarantined(time.Now())
		Expect(err).NotTo(HaveOccurred())
		Expect(listed[0].Crashes).To(HaveLen(3), "the one that had said that it goes is none")
		sequence := uint64(1)
		Eventually(ctx, func() int {
			sequence++
			announce("engine-1", sequence)
			return quarantined(s.seeds[2])()
		}).Should(BeZero())
	}, SpecTimeout(specTimeout))
})
