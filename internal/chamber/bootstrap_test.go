package chamber_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/lovagelift/lovagelift/internal/chamber"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/docket"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// slowVoter is a blank voter whose disk takes a while to write the first state.
type slowVoter struct {
	courier.Control
	name string
	disk time.Duration
}

func (v *slowVoter) Founding() courier.Founding {
	return courier.Founding{Identity: jury.Identity(v.name + "/1")}
}

func (v *slowVoter) Bootstrap(ctx context.Context, _ courier.Charter) error {
	select {
	case <-time.After(v.disk):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *slowVoter) Deliver(jury.Message) {}

// listen has v answer calls, and returns its address.
func (v *slowVoter) listen() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	server, err := courier.NewServer(listener, courier.Services{Others: map[string]any{"Control": courier.NewControlService(v)}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address()
}

var _ = Describe("Bootstrap", func() {
	// An operator founds a cluster while the disks are busy: a voter needs longer for its
	// first state, which is synced several times, than a call between instances may take.
	// The bootstrap was given up although the voter carried it out, and had to be run again
	// until all disks were fast enough at once.
	It("waits for a voter whose disk is slower than a call may take", SpecTimeout(specTimeout), func(ctx SpecContext) {
		slow := &slowVoter{name: "b", disk: 2 * callTimeout}
		calls := courier.NewPool(courier.DialTCP, callTimeout)
		DeferCleanup(calls.Close)
		voter, err := chamber.NewVoter(chamber.VoterOptions{
			Options: chamber.Options{
				Self: "a", Voters: []chamber.VoterAddress{{Name: "b", InnerAddress: slow.listen()}}, Calls: calls,
				RenewEvery: heartbeat, Lease: lease, Now: time.Now, Log: zerolog.Nop(), Metrics: tally.NoopScope,
			},
			Folder: GinkgoT().TempDir(), Heartbeats: calls, Entries: calls, Heartbeat: heartbeat,
			ElectionTimeout: electionTimeout, Identities: func() []jury.Identity { return nil }, Docket: docket.DefaultLimits(),
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() {
			ended, cancel := context.WithCancel(context.Background())
			cancel()
			voter.Close(ended)
		})
		Expect(voter.Bootstrap(ctx)).To(Succeed())
	})
})
