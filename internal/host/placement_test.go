package host_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing/fstest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registrar"
	"github.com/lovagelift/lovagelift/internal/standin"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// twoModels declares two models of 4 GiB.
const twoModels = `
[[preset]]
name = "ordinary"
first = true
[[service]]
name = "s"
kind = "model-backed"
models = ["letters", "fares"]
[[model]]
name = "letters"
kv-space = "1 GiB"
layouts = [{ accelerators = 1, memory = "3 GiB" }]
versions = [{ name = "1", weights = "letters" }]
version = "1"
[[model]]
name = "fares"
kv-space = "1 GiB"
layouts = [{ accelerators = 1, memory = "3 GiB" }]
versions = [{ name = "1", weights = "fares" }]
version = "1"
`

var _ = Describe("a voter that gives orders", func() {
	It("has an empty engine load what is declared, and goes on with the account after a restart", func(ctx SpecContext) {
		// An engine announces itself, empty. The models are declared, and loaded by
		// orders. The instance restarts: it has the account and the orders again from
		// its data folder.
		m := newMember("a")
		path := filepath.Join(GinkgoT().TempDir(), "a.toml")
		text := strings.NewReplacer("CALLER", m.caller, "UPSTREAM", m.upstream, "OPERATOR", m.operator, "INNER", m.inner).
			Replace(alone + "placement.enabled = true\n")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		client, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(m.operator)}, Timeout: 10 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(twoModels)}}, "test")
		Expect(err).NotTo(HaveOccurred())
		engine := startEngine(m.upstream, 100*time.Millisecond)

		stop := run(ctx, path)
		Eventually(ctx, func() error {
			_, err := client.Bootstrap(ctx, registrar.Origin{})
			return err
		}).WithTimeout(20 * time.Second).Should(Succeed())
		Eventually(ctx, func() ([]registrar.Move, error) {
			moves, err := client.Moves(ctx, set, "ordinary")
			return moves.Moves, err
		}).WithTimeout(20 * time.Second).Should(ConsistOf(
			And(HaveField("Engine", "engine-1"), HaveField("Kind", "load-model"), HaveField("Model", "letters")),
			And(HaveField("Engine", "engine-1"), HaveField("Kind", "load-model"), HaveField("Model", "fares"))))
		Expect(held(engine)).To(BeEmpty())
		change := registrar.Change{ID: "first", Declarations: set.Canonical(), Preset: "ordinary"}
		Eventually(ctx, client.Change).WithArguments(ctx, change).WithTimeout(20 * time.Second).
			Should(Equal(registrar.Answer{Revision: 1}))
		Eventually(ctx, held).WithArguments(engine).WithTimeout(60 * time.Second).Should(ConsistOf("letters", "fares"))
		done := func() ([]registrar.OrderStatus, error) { return ordersOf(ctx, client) }
		finished := And(HaveLen(2), HaveEach(HaveField("State", "done")), HaveEach(HaveField("Why", "unreachable")))
		Eventually(ctx, done).WithTimeout(20 * time.Second).Should(finished)
		stop()

		stop = run(ctx, path)
		defer stop()
		Eventually(ctx, done).WithTimeout(20 * time.Second).Should(finished)
		Expect(held(engine)).To(ConsistOf("letters", "fares"))
		Expect(engine.Overcommits()).To(BeZero())
	})
})

var _ = Describe("three voters that give orders", func() {
	It("go on with the loads under way when the one that leads stops", func(ctx SpecContext) {
		// An engine is loading two models by orders of the leader, which is stopped.
		// Another voter leads, finds the orders and asks after them. Each model is
		// loaded by the order that was given first.
		members := []member{newMember("a"), newMember("b"), newMember("c")}
		clients, stops := map[string]*registrar.Client{}, map[string]func(){}
		folder := GinkgoT().TempDir()
		for _, m := range members {
			path := filepath.Join(folder, m.name+".toml")
			Expect(os.WriteFile(path, []byte(m.settingsAmong(members)), 0o600)).To(Succeed())
			c, err := registrar.NewClient(registrar.ClientOptions{
				Addresses: []netip.AddrPort{netip.MustParseAddrPort(m.operator)}, Timeout: 10 * time.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			clients[m.name], stops[m.name] = c, run(ctx, path)
		}
		Eventually(ctx, func() error {
			_, err := clients["a"].Bootstrap(ctx, registrar.Origin{})
			return err
		}).WithTimeout(30 * time.Second).Should(Succeed())
		engine := startEngine(members[0].upstream, 4*time.Second)
		set, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(twoModels)}}, "test")
		Expect(err).NotTo(HaveOccurred())
		change := registrar.Change{ID: "first", Declarations: set.Canonical(), Preset: "ordinary"}
		Eventually(ctx, clients["a"].Change).WithArguments(ctx, change).WithTimeout(30 * time.Second).
			Should(Equal(registrar.Answer{Revision: 1}))

		Eventually(ctx, func() int { return len(engine.Announcement().UnderWay) }).WithTimeout(60 * time.Second).Should(Equal(2))
		status, err := clients["a"].Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		stops[status.Leader]()
		delete(stops, status.Leader)
		for name := range stops {
			defer stops[name]()
			Eventually(ctx, func() ([]registrar.OrderStatus, error) { return ordersOf(ctx, clients[name]) }).
				WithTimeout(60 * time.Second).Should(And(HaveLen(2), HaveEach(HaveField("State", "done"))))
		}
		Expect(held(engine)).To(ConsistOf("letters", "fares"))
		Expect(engine.Overcommits()).To(BeZero())
	})
})

// settingsAmong returns the settings of m, which gives orders, beside the others.
func (m member) settingsAmong(all []member) string {
	text := fmt.Sprintf("name = %q\nfailure-domain = \"kgn-a\"\nvoter = true\ndata-folder = \"data-%s\"\n"+
		"timing.entry-time = \"10ms\"\nplacement.enabled = true\n"+
		"caller-address = %q\nupstream-address = %q\noperator-address = %q\ninner-address = %q\n",
		m.name, m.name, m.caller, m.upstream, m.operator, m.inner)
	for _, other := range all {
		if other != m {
			text += fmt.Sprintf("[[instances]]\nname = %q\nfailure-domain = \"kgn-a\"\nvoter = true\n"+
				"inner-address = %q\ncaller-address = %q\n", other.name, other.inner, other.caller)
		}
	}
	return text
}

// startEngine starts an empty engine of 16 GiB that announces itself.
func startEngine(to string, loadTime time.Duration) *standin.Engine {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	engine := standin.NewEngine(standin.EngineOptions{
		Name: "engine-1", Address: listener.Addr().String(), FailureDomain: "kgn-a",
		Fencing:      upstreamapi.FencingChecked,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 16 << 30}},
		LoadDelay:    loadTime,
		Announce:     standin.AnnounceOptions{To: []string{to}},
	})
	server := &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() {
		ended, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = engine.Close(ended)
		server.Close()
	})
	return engine
}

func held(engine *standin.Engine) []string {
	var names []string
	for _, r := range engine.Announcement().Resident {
		names = append(names, r.Model)
	}
	return names
}

// ordersOf returns the orders to the only engine.
func ordersOf(ctx context.Context, client *registrar.Client) ([]registrar.OrderStatus, error) {
	status, err := client.Status(ctx)
	if err != nil || len(status.Engines) != 1 {
		return nil, err
	}
	return status.Engines[0].Orders, nil
}
