package permit

import (
	"net/netip"
	"slices"

	"github.com/lovagelift/lovagelift/internal/rendezvous"
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
		o.instances = append(o.instances, instance{address: address, hash: rendezvous.Hash(address.String())})
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

// All returns the addresses of all instances.
func (o Owners) All() []netip.AddrPort {
	all := make([]netip.AddrPort, 0, len(o.instances))
	for _, instance := range o.instances {
		all = append(all, instance.address)
	}
	return all
}
