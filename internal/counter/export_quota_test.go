package counter

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/quota"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// QuotaNetwork is a group of instances that share quotas, without a real network. Messages to an
// instance that is down are lost. It is not safe for concurrent use.
type QuotaNetwork struct {
	now       time.Time
	addresses []netip.AddrPort
	running   map[netip.AddrPort]*Proxy
	// frozen are the instances that stand still, and cutOff those whose messages are lost.
	frozen map[netip.AddrPort]*Proxy
	cutOff map[netip.AddrPort]bool
}

// NewQuotaNetwork returns a group of running instances.
func NewQuotaNetwork(now time.Time, addresses []netip.AddrPort) *QuotaNetwork {
	n := &QuotaNetwork{
		now: now, addresses: addresses, running: map[netip.AddrPort]*Proxy{}, frozen: map[netip.AddrPort]*Proxy{}, cutOff: map[netip.AddrPort]bool{},
	}
	for _, address := range addresses {
		n.Start(address)
	}
	return n
}

// Start starts an instance, which knows nothing of before.
func (n *QuotaNetwork) Start(address netip.AddrPort) {
	p := NewInstance(NewUpstreamPool("here", time.Minute), address, n.addresses).proxy
	p.options.Now = func() time.Time { return n.now }
	p.logQuotas = map[string]*logQuota{}
	p.peers = &peerLink{conn: networkConn{network: n, self: address}}
	n.running[address] = p
}

// Kill ends an instance.
func (n *QuotaNetwork) Kill(address netip.AddrPort) {
	delete(n.running, address)
}

// Freeze makes an instance stand still until Thaw.
func (n *QuotaNetwork) Freeze(address netip.AddrPort) {
	n.frozen[address] = n.running[address]
	n.Kill(address)
}

// Thaw lets an instance go on with what it knew.
func (n *QuotaNetwork) Thaw(address netip.AddrPort) {
	n.running[address] = n.frozen[address]
	delete(n.frozen, address)
}

// SetCutOff sets whether the messages from and to an instance are lost.
func (n *QuotaNetwork) SetCutOff(address netip.AddrPort, cutOff bool) {
	n.cutOff[address] = cutOff
}

// SetInstances replaces the entry instances that an instance knows.
func (n *QuotaNetwork) SetInstances(at netip.AddrPort, all []netip.AddrPort) {
	Instance{proxy: n.running[at]}.SetInstances(n.now, all)
}

// Advance lets time pass, in which the running instances wake.
func (n *QuotaNetwork) Advance(by time.Duration) {
	for end := n.now.Add(by); n.now.Before(end); {
		n.now = n.now.Add(min(wakeInterval, end.Sub(n.now)))
		for _, p := range n.running {
			p.wake(n.now)
		}
	}
}

// Take takes units of a workspace's quota at an instance, and reports whether it may spend them.
func (n *QuotaNetwork) Take(ctx context.Context, at netip.AddrPort, name string, limit quota.Limit, need float64) bool {
	p := n.running[at]
	if p == nil {
		return false
	}
	_, granted := p.takeQuota(ctx, &workspace.Workspace{Name: name, Quota: limit}, need).(quota.Granted)
	return granted
}

// networkConn delivers the messages of an instance to the others of its group.
type networkConn struct {
	net.PacketConn
	network *QuotaNetwork
	self    netip.AddrPort
}

func (c networkConn) WriteTo(encoded []byte, to net.Addr) (int, error) {
	message, err := permit.Decode(encoded)
	if err != nil {
		return 0, err
	}
	address := to.(*net.UDPAddr).AddrPort()
	if receiver := c.network.running[address]; receiver != nil && !c.network.cutOff[c.self] && !c.network.cutOff[address] {
		receiver.receive(c.network.now, c.self, message)
	}
	return len(encoded), nil
}
