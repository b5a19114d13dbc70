package instance_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/instance"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/settings"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const specTimeout = 60 * time.Second

// testInstance is one of three instances in the test process.
type testInstance struct {
	*instance.Instance
	name     string
	settings settings.Settings
	log      *gbytes.Buffer
	// partitioned is true while the instance can reach no other.
	partitioned atomic.Bool
	// lastBody is the response body of the last call of completionStatus.
	lastBody string
	// closed is true if the spec has closed the instance.
	closed bool
}

// newCluster starts three voters and bootstraps their cluster. For maxResponsePause
// see instance.Options.
func newCluster(ctx context.Context, maxResponsePause time.Duration) map[string]*testInstance {
	cluster := map[string]*testInstance{}
	listeners := map[string]instance.Listeners{}
	for _, name := range []string{"a", "b", "c"} {
		listeners[name] = instance.Listeners{Caller: listen(), Upstream: listen(), Operator: listen(), Inner: listen()}
		cluster[name] = newVoter(name, listeners[name])
	}
	for _, member := range cluster {
		for _, other := range cluster {
			if other != member {
				member.settings.Instances = append(member.settings.Instances, settings.Instance{
					Name: other.name, FailureDomain: other.settings.FailureDomain, Voter: true,
					InnerAddress: other.settings.Advertise.Inner, CallerAddress: other.settings.Advertise.Caller,
				})
			}
		}
		member.start(listeners[member.name], maxResponsePause)
	}
	Expect(cluster["a"].Bootstrap(ctx, registrar.Origin{})).To(Succeed())
	for _, member := range cluster {
		Eventually(ctx, member.entries).WithTimeout(20 * time.Second).Should(HaveLen(3))
	}
	return cluster
}

// newVoter returns a voter with the given listeners that is not started.
func newVoter(name string, listeners instance.Listeners) *testInstance {
	member := &testInstance{name: name, settings: settings.Default(), log: gbytes.NewBuffer()}
	member.settings.Name, member.settings.FailureDomain, member.settings.Voter = name, "domain-"+name, true
	member.settings.DataFolder = filepath.Join(GinkgoT().TempDir(), name)
	member.settings.Advertise = settings.Addresses{
		Caller: addressOf(listeners.Caller), Upstream: addressOf(listeners.Upstream),
		Operator: addressOf(listeners.Operator), Inner: addressOf(listeners.Inner),
	}
	member.settings.Listen = member.settings.Advertise
	member.settings.Limits.HeaderTime = 500 * time.Millisecond
	member.settings.Limits.BodyTime = 500 * time.Millisecond
	member.settings.Timing.ReferralTTL = 200 * time.Millisecond
	member.settings.Timing.ConfigurationLease = 1500 * time.Millisecond
	member.settings.Timing.ConfigurationRenewal = 200 * time.Millisecond
	return member
}

func (t *testInstance) start(listeners instance.Listeners, maxResponsePause time.Duration) {
	started, err := instance.New(instance.Options{
		Settings: t.settings, Listeners: listeners, MaxResponsePause: maxResponsePause, Log: zerolog.New(t.log),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if t.partitioned.Load() {
				return nil, errors.New("instance is partitioned")
			}
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return &partitionConn{Conn: conn, partitioned: &t.partitioned}, err
		},
	})
	Expect(err).NotTo(HaveOccurred())
	t.Instance = started
	DeferCleanup(func() {
		if !t.closed {
			started.Close()
		}
	})
}

// partitionConn is a connection whose writes fail while its instance is partitioned.
type partitionConn struct {
	net.Conn
	partitioned *atomic.Bool
}

func (c *partitionConn) Write(data []byte) (int, error) {
	if c.partitioned.Load() {
		return 0, errors.New("instance is partitioned")
	}
	return c.Conn.Write(data)
}

func listen() net.Listener {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	return listener
}

func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func (t *testInstance) url(path string) string {
	return "http://" + t.settings.Advertise.Caller.String() + path
}

// entries returns the names of the instances that are listed to callers.
func (t *testInstance) entries() ([]string, error) {
	response, err := http.Get(t.url("/v1/entries"))
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var reply struct {
		Entries []struct {
			Name string `json:"name"`
		} `json:"entries"`
	}
	err = json.NewDecoder(response.Body).Decode(&reply)
	var names []string
	for _, entry := range reply.Entries {
		names = append(names, entry.Name)
	}
	return names, err
}

// complete sends a completion request for the model "m".
func (t *testInstance) complete(ctx context.Context) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url("/v1/completions"), strings.NewReader(`{"model":"m"}`))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// completionStatus sends a completion request and returns the status and the
// outcome of the response. It returns status 0 if there is no response.
func (t *testInstance) completionStatus(ctx context.Context) (int, string) {
	response, err := t.complete(ctx)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	t.lastBody = string(text)
	return response.StatusCode, response.Header.Get("Lovagelift-Outcome")
}

// engineAnnouncement returns the announcement of an engine that has loaded the
// model "m".
func engineAnnouncement(address string, sequence uint64) upstreamapi.Announcement {
	return upstreamapi.Announcement{
		Name: "engine-1", Incarnation: 1, Sequence: sequence, Address: address, Kind: upstreamapi.KindEngine,
		FailureDomain: "domain-a", Resident: []upstreamapi.Resident{{Model: "m"}},
	}
}

// keepAnnounced announces the engine to receiver repeatedly until stop is called.
func keepAnnounced(ctx context.Context, receiver *testInstance, address string) (stop func()) {
	renewCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for sequence := uint64(1); ; sequence++ {
			_, _ = receiver.Announce(time.Now(), engineAnnouncement(address, sequence))
			select {
			case <-renewCtx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}
