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

// twoModels declares two models that need 4 GiB each.
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
		// An engine without models announces itself. Models are declared, and orders
		// load them. After a restart, the instance must recover the memory ledger and
		// the orders from its data folder.
		target := newTestInstance("a")
		path := filepath.Join(GinkgoT().TempDir(), "a.toml")
		text := strings.NewReplacer("CALLER", target.caller, "UPSTREAM", target.upstream, "OPERATOR", target.operator, "INNER", target.inner).
			Replace(singleInstanceSettings + "placement.enabled = true\n")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		client, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(target.operator)}, Timeout: 10 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		declared, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(twoModels)}}, "test")
		Expect(err).NotTo(HaveOccurred())
		engine := startEngine(target.upstream, 100*time.Millisecond)

		stop := runInstance(ctx, path)
		Eventually(ctx, func() error {
			_, err := client.Bootstrap(ctx, registrar.Origin{})
			return err
		}).WithTimeout(20 * time.Second).Should(Succeed())
		Eventually(ctx, func() ([]registrar.Move, error) {
			moves, err := client.Moves(ctx, declared, "ordinary")
			return moves.Moves, err
		}).WithTimeout(20 * time.Second).Should(ConsistOf(
			And(HaveField("Engine", "engine-1"), HaveField("Kind", "load-model"), HaveField("Model", "letters")),
			And(HaveField("Engine", "engine-1"), HaveField("Kind", "load-model"), HaveField("Model", "fares"))))
		Expect(loadedModels(engine)).To(BeEmpty())
		change := registrar.Change{ID: "first", Declarations: declared.Canonical(), Preset: "ordinary"}
		Eventually(ctx, client.Change).WithArguments(ctx, change).WithTimeout(20 * time.Second).
			Should(Equal(registrar.ChangeResult{Revision: 1}))
		Eventually(ctx, loadedModels).WithArguments(engine).WithTimeout(60 * time.Second).Should(ConsistOf("letters", "fares"))
		currentOrders := func() ([]registrar.OrderStatus, error) { return engineOrders(ctx, client) }
		allDone := And(HaveLen(2), HaveEach(HaveField("State", "done")), HaveEach(HaveField("PlacementReason", "unreachable")))
		Eventually(ctx, currentOrders).WithTimeout(20 * time.Second).Should(allDone)
		stop()

		stop = runInstance(ctx, path)
		defer stop()
		Eventually(ctx, currentOrders).WithTimeout(20 * time.Second).Should(allDone)
		Expect(loadedModels(engine)).To(ConsistOf("letters", "fares"))
		Expect(engine.Overcommits()).To(BeZero())
	})
})

var _ = Describe("three voters that give orders", func() {
	It("go on with the loads under way when the one that leads stops", func(ctx SpecContext) {
		// The leader stops while an engine is loading two models on its orders. The new
		// leader must find the recorded orders, query their state, and let them finish
		// instead of issuing new ones.
		voters := []testInstance{newTestInstance("a"), newTestInstance("b"), newTestInstance("c")}
		clients, stops := map[string]*registrar.Client{}, map[string]func(){}
		folder := GinkgoT().TempDir()
		for _, target := range voters {
			path := filepath.Join(folder, target.name+".toml")
			Expect(os.WriteFile(path, []byte(target.placementSettings(voters)), 0o600)).To(Succeed())
			client, err := registrar.NewClient(registrar.ClientOptions{
				Addresses: []netip.AddrPort{netip.MustParseAddrPort(target.operator)}, Timeout: 10 * time.Second,
			})
			Expect(err).NotTo(HaveOccurred())
			clients[target.name], stops[target.name] = client, runInstance(ctx, path)
		}
		Eventually(ctx, func() error {
			_, err := clients["a"].Bootstrap(ctx, registrar.Origin{})
			return err
		}).WithTimeout(30 * time.Second).Should(Succeed())
		engine := startEngine(voters[0].upstream, 4*time.Second)
		declared, err := declaration.Read(fstest.MapFS{"all.toml": {Data: []byte(twoModels)}}, "test")
		Expect(err).NotTo(HaveOccurred())
		change := registrar.Change{ID: "first", Declarations: declared.Canonical(), Preset: "ordinary"}
		Eventually(ctx, clients["a"].Change).WithArguments(ctx, change).WithTimeout(30 * time.Second).
			Should(Equal(registrar.ChangeResult{Revision: 1}))

		Eventually(ctx, func() int { return len(engine.Announcement().UnderWay) }).WithTimeout(60 * time.Second).Should(Equal(2))
		status, err := clients["a"].Status(ctx)
		Expect(err).NotTo(HaveOccurred())
		stops[status.Leader]()
		delete(stops, status.Leader)
		for name := range stops {
			defer stops[name]()
			Eventually(ctx, func() ([]registrar.OrderStatus, error) { return engineOrders(ctx, clients[name]) }).
				WithTimeout(60 * time.Second).Should(And(HaveLen(2), HaveEach(HaveField("State", "done"))))
		}
		Expect(loadedModels(engine)).To(ConsistOf("letters", "fares"))
		Expect(engine.Overcommits()).To(BeZero())
	})
})

// placementSettings returns the settings of t with placement enabled, and with the
// other instances as its peers.
func (t testInstance) placementSettings(instances []testInstance) string {
	text := fmt.Sprintf("name = %q\nfailure-domain = \"kgn-a\"\nvoter = true\ndata-folder = \"data-%s\"\n"+
		"timing.entry-time = \"10ms\"\nplacement.enabled = true\n"+
		"caller-address = %q\nupstream-address = %q\noperator-address = %q\ninner-address = %q\n",
		t.name, t.name, t.caller, t.upstream, t.operator, t.inner)
	for _, other := range instances {
		if other != t {
			text += fmt.Sprintf("[[instances]]\nname = %q\nfailure-domain = \"kgn-a\"\nvoter = true\n"+
				"inner-address = %q\ncaller-address = %q\n", other.name, other.inner, other.caller)
		}
	}
	return text
}

// startEngine starts a simulated engine with 16 GiB and no models, which announces
// itself to the instance at an upstream address.
func startEngine(upstreamAddress string, loadTime time.Duration) *standin.Engine {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	engine := standin.NewEngine(standin.EngineOptions{
		Name: "engine-1", Address: listener.Addr().String(), FailureDomain: "kgn-a",
		Fencing:      upstreamapi.FencingChecked,
		Accelerators: []upstreamapi.Accelerator{{Name: "a0", MemoryBytes: 16 << 30}},
		LoadDelay:    loadTime,
		Announce:     standin.AnnounceOptions{To: []string{upstreamAddress}},
	})
	server := &http.Server{Handler: engine, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	DeferCleanup(func() {
		closeCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = engine.Close(closeCtx)
		server.Close()
	})
	return engine
}

func loadedModels(engine *standin.Engine) []string {
	var names []string
	for _, r := range engine.Announcement().Resident {
		names = append(names, r.Model)
	}
	return names
}

// engineOrders returns the orders to the only engine, and none unless exactly one
// engine is known.
func engineOrders(ctx context.Context, client *registrar.Client) ([]registrar.OrderStatus, error) {
	status, err := client.Status(ctx)
	if err != nil || len(status.Engines) != 1 {
		return nil, err
	}
	return status.Engines[0].Orders, nil
}
