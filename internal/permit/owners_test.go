package permit_test

import (
	"fmt"
	"net/netip"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/permit"
)

func instances(count int) []netip.AddrPort {
	var all []netip.AddrPort
	for i := range count {
		all = append(all, netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7000", i/200, i%200+1)))
	}
	return all
}

func all(netip.AddrPort) bool { return true }

var _ = Describe("The owner of a model", func() {
	const models = 1700
	owned := func(among []netip.AddrPort, usable func(netip.AddrPort) bool) []netip.AddrPort {
		owners := permit.NewOwners(among)
		var all []netip.AddrPort
		for i := range models {
			owner, known := owners.Of("pool", fmt.Sprint("model-", i), usable)
			Expect(known).To(BeTrue())
			all = append(all, owner)
		}
		return all
	}

	It("is the same for all who know the same instances, in whatever order", func() {
		among := instances(330)
		backwards := slices.Clone(among)
		slices.Reverse(backwards)
		Expect(owned(backwards, all)).To(Equal(owned(among, all)))
	})

	It("is each instance for about as many models", func() {
		counts := map[netip.AddrPort]int{}
		for _, owner := range owned(instances(30), all) {
			counts[owner]++
		}
		Expect(counts).To(HaveLen(30))
		for _, count := range counts {
			Expect(count).To(BeNumerically("~", models/30, models/60))
		}
	})

	// An instance is lost. If all models changed their owner, none of the new ones would
	// know what engines have, and all engines would get too much at once.
	It("changes only for the models of an instance that is lost", func() {
		among := instances(291)
		before := owned(among, all)
		after := owned(among[1:], all)
		avoided := owned(among, func(address netip.AddrPort) bool { return address != among[0] })
		Expect(avoided).To(Equal(after), "one that does not answer counts as lost")
		for i := range models {
			if before[i] != among[0] {
				Expect(after[i]).To(Equal(before[i]))
			}
		}
	})

	It("is nobody where nobody can be", func() {
		_, known := permit.Owners{}.Of("pool", "m", all)
		Expect(known).To(BeFalse())
	})
})
