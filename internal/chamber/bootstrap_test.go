package chamber_test

import (
	"context"
	"sync/atomic"
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

// slowVoter is a blank voter whose disk takes writeDelay to write the initial state.
type slowVoter struct {
	courier.Control
	name       string
	writeDelay time.Duration
	// lostAnswers is the number of calls that are not answered until the spec ends, and lostStates that of
	// calls for its state.
	lostAnswers, lostStates atomic.Int32
	ended                   chan struct{}
}

func (v *slowVoter) BootstrapState() courier.Founding {
	if v.lostStates.Add(-1) >= 0 {
		<-v.ended
	}
	return courier.Founding{Identity: jury.Identity(v.name + "/1")}
}

func (v *slowVoter) Bootstrap(ctx context.Context, _ courier.Charter) error {
	if v.lostAnswers.Add(-1) >= 0 {
		<-v.ended
	}
	select {
	case <-time.After(v.writeDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *slowVoter) Deliver(jury.Message) {}

// listen serves calls to v and returns the address.
func (v *slowVoter) listen() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	server, err := courier.NewServer(listener, courier.Services{Others: map[string]any{"Control": courier.NewControlService(v)}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(server.Close)
	return server.Address()
}

var _ = Describe("Bootstrap", func() {
	// Writing the initial state takes several syncs, which on a busy disk take longer than the
	// timeout of other calls. With that timeout, the bootstrap failed although the voter completed
	// it, and had to be repeated until all disks were fast enough in the same run.
	DescribeTable("waits for a voter",
		func(ctx SpecContext, writeDelay time.Duration, lostAnswers int) {
			slow := &slowVoter{name: "b", writeDelay: writeDelay, ended: make(chan struct{})}
			defer close(slow.ended)
			slow.lostAnswers.Store(int32(lostAnswers))
			Expect(newBlankVoter(slow.listen()).Bootstrap(ctx)).To(Succeed())
		},
		Entry("whose disk takes longer than the timeout of other calls", SpecTimeout(specTimeout), 2*callTimeout, 0),
		Entry("that completes the bootstrap after the first call for it has timed out", SpecTimeout(specTimeout), 0*time.Second, 1),
	)

	// A busy machine answers the first call late, and is taken for one that is not started.
	It("waits for a voter whose first answer is lost", func(ctx SpecContext) {
		slow := &slowVoter{name: "b", ended: make(chan struct{})}
		defer close(slow.ended)
		slow.lostStates.Store(1)
		Expect(newBlankVoter(slow.listen()).Bootstrap(ctx)).To(Succeed())
	}, SpecTimeout(specTimeout))
})

// newBlankVoter starts the blank voter a of a cluster with a voter b.
func newBlankVoter(addressOfB string) *chamber.Voter {
	calls := courier.NewPool(courier.DialTCP, callTimeout)
	DeferCleanup(calls.Close)
	voter, err := chamber.NewVoter(chamber.VoterOptions{
		Options: chamber.Options{
			Self: "a", Voters: []chamber.VoterAddress{{Name: "b", InnerAddress: addressOfB}}, Calls: calls,
			RenewInterval: heartbeat, ConfigLease: configLease, Now: time.Now, Log: zerolog.Nop(), Metrics: tally.NoopScope,
		},
		Folder: GinkgoT().TempDir(), HeartbeatPool: calls, EntryPool: calls, Heartbeat: heartbeat,
		ElectionTimeout: electionTimeout, Identities: func() []jury.Identity { return nil }, Docket: docket.DefaultLimits(),
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		voter.Close(canceled)
	})
	return voter
}
