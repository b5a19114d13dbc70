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
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/instance"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/settings"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const specTimeout = 60 * time.Second

// placed is one of three instances in this process.
type placed struct {
	*instance.Instance
	name string
	set  settings.Settings
	// cut is true while the instance reaches no other.
	cut atomic.Bool
	// said is the body of the last answer to status.
	said string
	// ended is true once the instance was closed by its spec.
	ended bool
}

// newTrio starts three voters and founds their cluster. An upstream's answer may
// pause for as long as answerPause says, 0 for the default.
func newTrio(ctx context.Context, answerPause time.Duration) map[string]*placed {
	trio := map[string]*placed{}
	listeners := map[string]instance.Listeners{}
	for _, name := range []string{"a", "b", "c"} {
		listeners[name] = instance.Listeners{Caller: listen(), Upstream: listen(), Operator: listen(), Inner: listen()}
		p := &placed{name: name, set: settings.Default()}
		p.set.Name, p.set.FailureDomain, p.set.Voter = name, "domain-"+name, true
		p.set.DataFolder = filepath.Join(GinkgoT().TempDir(), name)
		p.set.Advertise = settings.Addresses{
			Caller: addressOf(listeners[name].Caller), Upstream: addressOf(listeners[name].Upstream),
			Operator: addressOf(listeners[name].Operator), Inner: addressOf(listeners[name].Inner),
		}
		p.set.Listen = p.set.Advertise
		p.set.Limits.HeaderTime = 500 * time.Millisecond
		p.set.Limits.BodyTime = 500 * time.Millisecond
		p.set.Timing.EntryTime = 200 * time.Millisecond
		p.set.Timing.ConfigurationLease = 1500 * time.Millisecond
		p.set.Timing.ConfigurationRenewal = 200 * time.Millisecond
		trio[name] = p
	}
	for _, p := range trio {
		for _, other := range trio {
			if other != p {
				p.set.Instances = append(p.set.Instances, settings.Instance{
					Name: other.name, FailureDomain: other.set.FailureDomain, Voter: true,
					InnerAddress: other.set.Advertise.Inner, CallerAddress: other.set.Advertise.Caller,
				})
			}
		}
		p.start(listeners[p.name], answerPause)
	}
	Expect(trio["a"].Bootstrap(ctx, registrar.Origin{})).To(Succeed())
	for _, p := range trio {
		Eventually(ctx, p.entries).WithTimeout(20 * time.Second).Should(HaveLen(3))
	}
	return trio
}

func (p *placed) start(listeners instance.Listeners, answerPause time.Duration) {
	started, err := instance.New(instance.Options{
		Settings: p.set, Listeners: listeners, AnswerPause: answerPause, Log: zerolog.Nop(),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			if p.cut.Load() {
				return nil, errors.New("cut off")
			}
			var dialer net.Dialer
			conn, err := dialer.DialContext(ctx, "tcp", address)
			return &cuttable{Conn: conn, cut: &p.cut}, err
		},
	})
	Expect(err).NotTo(HaveOccurred())
	p.Instance = started
	DeferCleanup(func() {
		if !p.ended {
			started.Close()
		}
	})
}

// cuttable is a connection that carries nothing out while its instance is cut
// off.
type cuttable struct {
	net.Conn
	cut *atomic.Bool
}

func (c *cuttable) Write(data []byte) (int, error) {
	if c.cut.Load() {
		return 0, errors.New("cut off")
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

func (p *placed) url(path string) string {
	return "http://" + p.set.Advertise.Caller.String() + path
}

// entries returns the names of the instances that callers are told to use.
func (p *placed) entries() ([]string, error) {
	response, err := http.Get(p.url("/v1/entries"))
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

// ask sends a question to the model "m".
func (p *placed) ask(ctx context.Context) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url("/v1/completions"), strings.NewReader(`{"model":"m"}`))
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(request)
}

// status sends a question and returns the status and the outcome of the answer.
func (p *placed) status(ctx context.Context) (int, string) {
	response, err := p.ask(ctx)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	p.said = string(text)
	return response.StatusCode, response.Header.Get("Lovagelift-Outcome")
}

// engine returns the announcement of an engine that holds the model "m".
func engine(address string, sequence uint64) upstreamapi.Announcement {
	return upstreamapi.Announcement{
		Name: "engine-1", Incarnation: 1, Sequence: sequence, Address: address, Kind: upstreamapi.KindEngine,
		FailureDomain: "domain-a", Resident: []upstreamapi.Resident{{Model: "m"}},
	}
}

// keepAnnounced renews the engine at an instance until the function that it
// returns is called.
func keepAnnounced(ctx context.Context, at *placed, address string) (stop func()) {
	renewing, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for sequence := uint64(1); ; sequence++ {
			_, _ = at.Announce(time.Now(), engine(address, sequence))
			select {
			case <-renewing.Done():
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
