package desk_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/roster"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// streamsPerSpec makes it improbable that a choice without regard to versions mixes none.
const streamsPerSpec = 16

// versionedService responds with an event that names its software version.
func versionedService(version string) *fakeUpstream {
	return newFakeUpstream(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", version)
	})
}

// newSettledServer returns a server that has run for longer than a lease, so that it knows all
// upstreams.
func newSettledServer() *testServer {
	return newServerAfter(2 * upstreamLease)
}

// newServerAfter returns a server that has run for some time.
func newServerAfter(uptime time.Duration) *testServer {
	var advanced atomic.Int64
	server := newTestServerWithClock(newFakeVoters(), "a", func() time.Time { return time.Now().Add(time.Duration(advanced.Load())) })
	advanced.Store(int64(uptime))
	return server
}

// setVersions makes upstreams of the given software versions, and no others, serve the service
// "booking". Their names are "service-0" and so on.
func (s *testServer) setVersions(addresses map[string]string) {
	s.sequence++
	previous := s.Upstreams(time.Now())
	s.mu.Lock()
	s.upstreams = nil
	for version, address := range addresses {
		s.upstreams = append(s.upstreams, roster.Upstream{Announcement: upstreamapi.Announcement{
			Name: "service-" + version, Kind: upstreamapi.KindService, Address: address, Services: []string{"booking"}, SoftwareVersion: version,
		}})
	}
	s.mu.Unlock()
	s.announce(previous, true)
	s.sequence++
	s.announce(s.Upstreams(time.Now()), false)
}

// follow requests an event stream of the service "booking", and resumes one if lastEventID is set.
func (s *testServer) follow(ctx context.Context, lastEventID, version string) callerReply {
	GinkgoHelper()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.url+"/services/booking/events", nil)
	Expect(err).NotTo(HaveOccurred())
	for name, value := range map[string]string{upstreamapi.LastEventIDHeader: lastEventID, upstreamapi.SoftwareVersionHeader: version} {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	_, event, _ := strings.Cut(string(data), "data: ")
	return callerReply{
		status: response.StatusCode, outcome: response.Header.Get("Lovagelift-Outcome"), body: strings.TrimSpace(event), header: response.Header,
	}
}

// Events of two software versions do not fit together in one stream.
var _ = Describe("an event stream that is resumed", func() {
	var server *testServer
	var first, second *fakeUpstream

	BeforeEach(func() {
		server = newSettledServer()
		first, second = versionedService("v1"), versionedService("v2")
		server.setVersions(map[string]string{"v1": first.address(), "v2": second.address()})
	})

	It("goes on at the version that its caller repeats", SpecTimeout(specTimeout), func(ctx SpecContext) {
		for range streamsPerSpec {
			began := server.follow(ctx, "", "")
			Expect(began.header.Get(upstreamapi.SoftwareVersionHeader)).To(Equal(began.body))
			Expect(server.follow(ctx, "1", began.body).body).To(Equal(began.body))
		}
	})

	It("is refused if no upstream has that version", SpecTimeout(specTimeout), func(ctx SpecContext) {
		reply := server.follow(ctx, "1", "v3")
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.outcome).To(Equal("not-run"))
		Expect(first.runCount() + second.runCount()).To(BeZero())
	})

	It("is refused if its version is unknown and there are several", SpecTimeout(specTimeout), func(ctx SpecContext) {
		reply := server.follow(ctx, "1", "")
		Expect(reply.status).To(Equal(http.StatusConflict))
		Expect(reply.outcome).To(Equal("not-run"))
		Expect(first.runCount() + second.runCount()).To(BeZero())
	})

	// The stream may have begun at an upstream that has left since.
	It("is refused if its version is unknown and may be gone", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server.setVersions(map[string]string{"v2": second.address()})
		Expect(server.follow(ctx, "", "").body).To(Equal("v2"))
		Expect(server.follow(ctx, "1", "").status).To(Equal(http.StatusConflict))
	})

	It("goes on if its version is unknown and there is only one", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newSettledServer()
		server.setVersions(map[string]string{"v2": second.address()})
		Expect(server.follow(ctx, "1", "").body).To(Equal("v2"))
	})

	It("is refused while some upstreams may be unknown", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newTestServer(newFakeVoters(), "a")
		server.setVersions(map[string]string{"v2": second.address()})
		reply := server.follow(ctx, "1", "")
		Expect(reply.status).To(Equal(http.StatusConflict))
		Expect(reply.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Another instance, or this one before it was restarted, may have begun the stream at an upstream that
	// was replaced since.
	It("is refused if it can have begun before this instance did", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newServerAfter(upstreamLease + time.Second)
		server.setVersions(map[string]string{"v2": second.address()})
		reply := server.follow(ctx, "1", "")
		Expect(reply.status).To(Equal(http.StatusConflict))
		Expect(reply.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(server.follow(ctx, "1", "v2").body).To(Equal("v2"))
	})

	// A process of another version has taken over the name and is not known yet.
	It("does not go on at an upstream that states another version", SpecTimeout(specTimeout), func(ctx SpecContext) {
		second.handler = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(upstreamapi.SoftwareVersionHeader, "v9")
			_, _ = io.WriteString(w, "data: v9\n\n")
		}
		reply := server.follow(ctx, "1", "v2")
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		Expect(reply.body).NotTo(ContainSubstring("v9"))
	})

	It("goes on regardless if no upstream announces a version", SpecTimeout(specTimeout), func(ctx SpecContext) {
		server := newSettledServer()
		server.setVersions(map[string]string{"": first.address()})
		Expect(server.follow(ctx, "1", "").status).To(Equal(http.StatusOK))
	})
})
