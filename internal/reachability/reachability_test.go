package reachability_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/reachability"
)

func TestReachability(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reachability")
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func isLost(s reachability.Service, paths ...reachability.Path) bool {
	return s.IsLost(slices.Values(paths))
}

var _ = Describe("The paths to a service", func() {
	var sound reachability.Path
	lost := sound.WithFailure(start)

	It("are lost once connections to two upstreams failed", func() {
		var service reachability.Service
		Expect(isLost(service, lost, sound, sound)).To(BeFalse())
		Expect(isLost(service, lost, lost, sound)).To(BeTrue())
	})

	// Two engines crash, and the others answer.
	It("are not lost if another connection was made since", func() {
		connected := reachability.Service{}.WithConnection(start.Add(time.Millisecond))
		Expect(isLost(connected, lost, lost, sound)).To(BeFalse())
		again := lost.WithFailure(start.Add(time.Second))
		Expect(isLost(connected, again, again, sound)).To(BeFalse(), "a crashed engine fails each probe")
	})

	It("are found again by a connection", func() {
		Expect(lost.IsLost()).To(BeTrue())
		Expect(lost.WithConnection().IsLost()).To(BeFalse())
	})

	It("are probed in turn", func() {
		probed := lost.WithProbe(start)
		Expect(lost.ProbedBefore(probed)).To(BeTrue())
		Expect(probed.ProbedBefore(lost)).To(BeFalse())
	})
})
