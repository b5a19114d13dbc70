package permit

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/lovagelift/lovagelift/internal/rendezvous"
)

// Owners are the instances that may own models. An Owners is immutable; the zero value
// has no instances.
type Owners struct {
	// instances are sorted by address, without duplicates.
	instances []instance
}

type instance struct {
	address netip.AddrPort
	hash    uint64
}

// NewOwners returns Owners of the instances at the given addresses.
func NewOwners(addresses []netip.AddrPort) Owners {
	sorted := slices.Clone(addresses)
	slices.SortFunc(sorted, netip.AddrPort.Compare)
	sorted = slices.Compact(sorted)
	o := Owners{instances: make([]instance, 0, len(sorted))}
	for _, address := range sorted {
		o.instances = append(o.instances, instance{address: address, hash: rendezvous.Hash(address.String())})
	}
	return o
}

// Contains reports whether an instance is among them.
func (o Owners) Contains(address netip.AddrPort) bool {
	_, found := slices.BinarySearchFunc(o.instances, address, func(i instance, address netip.AddrPort) int {
		return i.address.Compare(address)
	})
	return found
}

// Len returns the number of instances.
func (o Owners) Len() int {
	return len(o.instances)
}

// Of returns the owner of a model of a service among the instances that usable accepts,
// and false if it accepts none. Callers that know the same instances get the same owner.
// When an instance joins or leaves, only the models that it owns change owners
// (rendezvous hashing).
func (o Owners) Of(service, model string, usable func(netip.AddrPort) bool) (netip.AddrPort, bool) {
	key := rendezvous.Hash(service + "\x00" + model)
	var owner netip.AddrPort
	var highest uint64
	for _, candidate := range o.instances {
		score := rendezvous.Score(key, candidate.hash)
		if owner.IsValid() && score <= highest {
			continue
		}
		if usable(candidate.address) {
			owner, highest = candidate.address, score
		}
	}
	return owner, owner.IsValid()
}

// Ranked returns up to count of the instances that usable accepts, in the order in which they rank
// for a key. Callers that know the same instances get the same order (rendezvous hashing).
func (o Owners) Ranked(key uint64, count int, usable func(netip.AddrPort) bool) []netip.AddrPort {
	type scored struct {
		address netip.AddrPort
		score   uint64
	}
	first := make([]scored, 0, count+1)
	for _, candidate := range o.instances {
		score := rendezvous.Score(key, candidate.hash)
		if len(first) == count && (count == 0 || score <= first[count-1].score) || !usable(candidate.address) {
			continue
		}
		position, _ := slices.BinarySearchFunc(first, score, func(ranked scored, score uint64) int { return cmp.Compare(score, ranked.score) })
		first = slices.Insert(first, position, scored{candidate.address, score})
		first = first[:min(len(first), count)]
	}
	ranked := make([]netip.AddrPort, 0, len(first))
	for _, candidate := range first {
		ranked = append(ranked, candidate.address)
	}
	return ranked
}

// All returns the addresses of all instances, sorted.
func (o Owners) All() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(o.instances))
	for _, instance := range o.instances {
		all = append(all, instance.address)
	}
	return all
}
