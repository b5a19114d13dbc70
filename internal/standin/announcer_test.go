package standin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fakeNetwork is a transport to in-process instances. Unknown instances are
// unreachable.
type fakeNetwork struct {
	mu        sync.Mutex
	instances map[string]*fakeInstance
}

// fakeInstance records the messages of an upstream.
type fakeInstance struct {
	response  upstreamapi.AnnounceResponse
	announced chan upstreamapi.Announcement
	left      chan upstreamapi.Leave
	token     string
}

func newFakeInstance(others ...string) *fakeInstance {
	return &fakeInstance{
		response:  upstreamapi.AnnounceResponse{RenewEvery: time.Second, Lease: 3 * time.Second, Instances: others},
		announced: make(chan upstreamapi.Announcement, 16),
		left:      make(chan upstreamapi.Leave, 16),
	}
}

func (n *fakeNetwork) RoundTrip(r *http.Request) (*http.Response, error) {
	n.mu.Lock()
	target := n.instances[r.URL.Host]
	n.mu.Unlock()
	if target == nil {
		return nil, errors.Newf("%s cannot be reached", r.URL.Host)
	}
	w := httptest.NewRecorder()
	target.serve(w, r)
	return w.Result(), nil
}

func (n *fakeNetwork) disconnect(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.instances, name)
}

func (i *fakeInstance) serve(w http.ResponseWriter, r *http.Request) {
	if i.token != "" && r.Header.Get("Authorization") != "Bearer "+i.token {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	switch r.URL.Path {
	case upstreamapi.AnnouncePath:
		var a upstreamapi.Announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		i.announced <- a
		_ = json.NewEncoder(w).Encode(i.response)
	case upstreamapi.LeavePath:
		var l upstreamapi.Leave
		_ = json.NewDecoder(r.Body).Decode(&l)
		i.left <- l
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func announceTo(n *fakeNetwork, names ...string) standin.AnnounceOptions {
	return standin.AnnounceOptions{To: names, Client: &http.Client{Transport: n}}
}

var _ = Describe("Announcing", func() {
	It("announces at start and at every renewal interval, and sends a leave on close", func() {
		one := newFakeInstance()
		clock := standin.NewManualClock(start)
		engine := standin.NewEngine(standin.EngineOptions{
			Name: "engine-1", Address: "127.0.0.1:7701", FailureDomain: "kgn-a", Clock: clock,
			Resident: []upstreamapi.Resident{{Model: "letters"}},
			Announce: announceTo(&fakeNetwork{instances: map[string]*fakeInstance{"one": one}}, "one"),
		})
		first := <-one.announced
		Expect(first.Name).To(Equal("engine-1"))
		Expect(first.Address).To(Equal("127.0.0.1:7701"))
		Expect(first.Resident).To(Equal([]upstreamapi.Resident{{Model: "letters"}}))

		clock.AwaitTimers(1)
		clock.Advance(time.Second)
		second := <-one.announced
		Expect(second.Sequence).To(BeNumerically(">", first.Sequence))
		Expect(second.Incarnation).To(Equal(first.Incarnation))

		clock.AwaitTimers(1)
		Expect(engine.Close(context.Background())).To(Succeed())
		Expect(<-one.left).To(Equal(upstreamapi.Leave{Name: "engine-1", Incarnation: first.Incarnation}))
		clock.Advance(time.Minute)
		Expect(one.announced).To(BeEmpty())
	})

	// The configured instance names another one in its response and then fails.
	// The upstream's lease would expire unless the next renewal went to the
	// other instance at once.
	It("turns to the next known instance when one is lost", func() {
		one, two := newFakeInstance("two"), newFakeInstance()
		net := &fakeNetwork{instances: map[string]*fakeInstance{"one": one, "two": two}}
		clock := standin.NewManualClock(start)
		service := standin.NewService(standin.ServiceOptions{
			Name: "pings-1", Clock: clock, Announce: announceTo(net, "one"),
		})
		<-one.announced
		clock.AwaitTimers(1)
		net.disconnect("one")
		clock.Advance(time.Second)
		Expect((<-two.announced).Name).To(Equal("pings-1"))
		clock.AwaitTimers(1)
		Expect(service.Close(context.Background())).To(Succeed())
		Expect(two.left).To(HaveLen(1))
	})

	// No instance is reachable when the upstream starts. It must keep trying,
	// because only its own announcement makes it known to the system.
	It("retries while no instance can be reached, and with the right token", func() {
		net := &fakeNetwork{instances: map[string]*fakeInstance{}}
		clock := standin.NewManualClock(start)
		options := announceTo(net, "one")
		options.Token = "secret"
		service := standin.NewService(standin.ServiceOptions{Name: "pings-1", Clock: clock, Announce: options})
		clock.AwaitTimers(1)
		one := newFakeInstance()
		one.token = "secret"
		net.mu.Lock()
		net.instances["one"] = one
		net.mu.Unlock()
		clock.Advance(time.Second)
		<-one.announced
		clock.AwaitTimers(1)
		Expect(service.Announced()).To(BeEquivalentTo(1))
		net.disconnect("one")
		Expect(service.Close(context.Background())).To(MatchError(ContainSubstring("standin: leave")))
	})

	It("announces a higher incarnation after a restart", func() {
		clock := standin.NewManualClock(start)
		one := newFakeInstance()
		options := standin.ServiceOptions{
			Name: "pings-1", Clock: clock,
			Announce: announceTo(&fakeNetwork{instances: map[string]*fakeInstance{"one": one}}, "one"),
		}
		before := standin.NewService(options)
		previous := <-one.announced
		Expect(before.Close(context.Background())).To(Succeed())
		clock.Advance(time.Millisecond)
		after := standin.NewService(options)
		Expect((<-one.announced).Incarnation).To(BeNumerically(">", previous.Incarnation))
		Expect(after.Close(context.Background())).To(Succeed())
	})
})
