package counter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// manualClock is a clock that specs advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(by)
}

// peerGroup is a group of entry instances that sync with one control instance and share a clock.
type peerGroup struct {
	clock   *manualClock
	control *fakeControl
	peers   []peer
}

func newPeerGroup(count int) *peerGroup {
	g := &peerGroup{clock: &manualClock{now: time.Now()}, control: newFakeControl()}
	for range count {
		g.peers = append(g.peers, startPeerWithClock(g.control, g.clock.Now))
	}
	g.control.addExactEntries(g.addresses()...)
	return g
}

func (g *peerGroup) addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, p := range g.peers {
		all = append(all, p.address)
	}
	return all
}

// waitUntilKnown waits until each instance knows all others and a number of upstreams.
func (g *peerGroup) waitUntilKnown(upstreams int) {
	for _, p := range g.peers {
		Eventually(p.proxy.Instances, specTimeout).Should(Equal(len(g.peers)))
		Eventually(p.proxy.Upstreams, specTimeout).Should(Equal(upstreams))
	}
}

// send sends requests to the instances in turn, 50 ms apart, and returns the number of each
// status.
func (g *peerGroup) send(count int, path, model string) map[int]int {
	statuses := map[int]int{}
	for i := range count {
		g.clock.advance(50 * time.Millisecond)
		statuses[g.sendTo(i%len(g.peers), path, model)]++
	}
	return statuses
}

// sendTo sends a request to one instance and returns the status. The request's ID names the
// instance.
func (g *peerGroup) sendTo(instance int, path, model string) int {
	id := fmt.Sprint("i", instance)
	request := httptest.NewRequest(http.MethodPost, "http://spec.test"+path, nil)
	request.Header.Set(idHeader, id)
	recorder := httptest.NewRecorder()
	call := counter.Call{ID: id, Timeout: 400 * time.Millisecond, Model: model}
	g.peers[instance].proxy.ServeRequest(recorder, request, call)
	if recorder.Code == http.StatusServiceUnavailable {
		Expect(recorder.Header().Get("Retry-After")).NotTo(BeEmpty())
	}
	return recorder.Code
}
