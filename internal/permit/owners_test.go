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
	var addresses []netip.AddrPort
	for i := range count {
		addresses = append(addresses, netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7000", i/200, i%200+1)))
	}
	return addresses
}

func anyUsable(netip.AddrPort) bool { return true }

var _ = Describe("The owner of a model", func() {
	const models = 1700
	ownersOf := func(addresses []netip.AddrPort, usable func(netip.AddrPort) bool) []netip.AddrPort {
		owners := permit.NewOwners(addresses)
		var owned []netip.AddrPort
		for i := range models {
			owner, found := owners.Of("pool", fmt.Sprint("model-", i), usable)
			Expect(found).To(BeTrue())
			owned = append(owned, owner)
		}
		return owned
	}

	It("is the same for the same instances in any order", func() {
		addresses := instances(330)
		reversed := slices.Clone(addresses)
		slices.Reverse(reversed)
		Expect(ownersOf(reversed, anyUsable)).To(Equal(ownersOf(addresses, anyUsable)))
	})

	It("is each instance for about the same number of models", func() {
		counts := map[netip.AddrPort]int{}
		for _, owner := range ownersOf(instances(30), anyUsable) {
			counts[owner]++
		}
		Expect(counts).To(HaveLen(30))
		for _, count := range counts {
			Expect(count).To(BeNumerically("~", models/30, models/60))
		}
	})

	// If the loss of an instance moved all models, no new owner would know the load of
	// the engines, and all engines would be overloaded at once.
	It("changes only for the models of an instance that is lost", func() {
		addresses := instances(291)
		before := ownersOf(addresses, anyUsable)
		after := ownersOf(addresses[1:], anyUsable)
		withoutFirst := ownersOf(addresses, func(address netip.AddrPort) bool { return address != addresses[0] })
		Expect(withoutFirst).To(Equal(after), "an instance that does not reply is treated as lost")
		for i := range models {
			if before[i] != addresses[0] {
				Expect(after[i]).To(Equal(before[i]))
			}
		}
	})

	It("does not exist without instances", func() {
		_, found := permit.Owners{}.Of("pool", "m", anyUsable)
		Expect(found).To(BeFalse())
	})
})

var _ = Describe("The instances that rank first for a stream", func() {
	It("are the same for the same instances, and others step in for those that are gone", func() {
		addresses := instances(40)
		owners := permit.NewOwners(addresses)
		for key := range uint64(200) {
			ranked := owners.Ranked(key, 3, anyUsable)
			Expect(ranked).To(HaveLen(3))
			Expect(owners.Ranked(key, 40, anyUsable)[:3]).To(Equal(ranked))
			withoutFirst := owners.Ranked(key, 3, func(a netip.AddrPort) bool { return a != ranked[0] })
			Expect(withoutFirst[:2]).To(Equal(ranked[1:]))
		}
	})

	It("are all if there are fewer, and none if none is wanted", func() {
		owners := permit.NewOwners(instances(2))
		Expect(owners.Ranked(7, 3, anyUsable)).To(ConsistOf(instances(2)))
		Expect(owners.Ranked(7, 0, anyUsable)).To(BeEmpty())
		Expect(permit.Owners{}.Ranked(7, 3, anyUsable)).To(BeEmpty())
	})

	It("are spread evenly over the instances", func() {
		owners := permit.NewOwners(instances(20))
		counts := map[netip.AddrPort]int{}
		for key := range uint64(2000) {
			for _, address := range owners.Ranked(key<<20, 2, anyUsable) {
				counts[address]++
			}
		}
		for _, count := range counts {
			Expect(count).To(BeNumerically("~", 200, 60))
		}
	})
})
