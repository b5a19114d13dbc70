package permit

import (
	"hash/fnv"
	"net/netip"
	"slices"
)

// Owners is the instances that may own models. It is immutable; the zero Owners has
// none.
type Owners struct {
	// instances are in the order of their addresses, each once.
	instances []instance
}

type instance struct {
	address netip.AddrPort
	hash    uint64
}

// NewOwners returns the Owners of instances at some addresses.
func NewOwners(addresses []netip.AddrPort) Owners {
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, netip.AddrPort.Compare)
	sorted = slices.Compact(sorted)
	o := Owners{instances: make([]instance, 0, len(sorted))}
	for _, address := range sorted {
		o.instances = append(o.instances, instance{address: address, hash: hashOf(address.String())})
	}
	return o
}

// Len returns how many instances there are.
func (o Owners) Len() int {
	return len(o.instances)
}

// Of returns the owner of a model of a service, among the instances that usable
// accepts. It returns false if there is none. All who know the same instances agree;
// when one comes or goes, only the models that it owns change their owner (rendezvous
// hashing).
func (o Owners) Of(service, model string, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	key := hashOf(service + "\x00" + model)
	var owner netip.AddrPort
	var highest uint64
	for _, candidate := range o.instances {
		score := mix(candidate.hash ^ key)
		if owner.IsValid() && score <= highest {
			continue
		}
		if usable(candidate.address) {
			owner, highest = candidate.address, score
		}
	}
	return owner, owner.IsValid()
}

func hashOf(text string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(text))
	return mix(sum.Sum64())
}

// mix spreads the bits of a hash, so that the hashes of similar names are as good as
// independent (the finalizer of SplitMix64).
func mix(h uint64) uint64 {
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}
