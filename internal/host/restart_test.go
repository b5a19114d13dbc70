package host_test

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/host"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

// singleInstanceSettings are the settings of a cluster of one instance, with
// placeholders for its addresses.
const singleInstanceSettings = `
name = "a"
failure-domain = "kgn-a"
voter = true
data-folder = "data"
caller-address = "CALLER"
upstream-address = "UPSTREAM"
operator-address = "OPERATOR"
inner-address = "INNER"
timing.entry-time = "10ms"
`

var _ = Describe("a voter", func() {
	It("comes back from its data folder to the revision and the answers that it had", func(ctx SpecContext) {
		// An instance bootstraps a cluster, accepts declarations and a preset, and
		// restarts. The same preset must be in force, and an operator who repeats a
		// change because the response was lost must get the original response.
		target := newTestInstance("a")
		path := filepath.Join(GinkgoT().TempDir(), "a.toml")
		text := strings.NewReplacer("CALLER", target.caller, "UPSTREAM", target.upstream, "OPERATOR", target.operator, "INNER", target.inner).Replace(singleInstanceSettings)
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		client, err := registrar.NewClient(registrar.ClientOptions{
			Addresses: []netip.AddrPort{netip.MustParseAddrPort(target.operator)}, Timeout: 10 * time.Second,
		})
		Expect(err).NotTo(HaveOccurred())
		declared, err := declaration.Read(os.DirFS("../../examples/declarations/kingston"), "kingston")
		Expect(err).NotTo(HaveOccurred())
		first := registrar.Change{ID: "first", Declarations: declared.Canonical(), Preset: "ordinary"}
		second := registrar.Change{ID: "second", ExpectedRevision: 1, Preset: "peak"}

		stop := runInstance(ctx, path)
		Eventually(ctx, func() error {
			_, err := client.Bootstrap(ctx, registrar.Origin{})
			return err
		}).WithTimeout(20 * time.Second).Should(Succeed())
		Eventually(ctx, client.Change).WithArguments(ctx, first).WithTimeout(20 * time.Second).Should(Equal(registrar.ChangeResult{Revision: 1}))
		Expect(client.Change(ctx, second)).To(Equal(registrar.ChangeResult{Revision: 2}))
		stop()

		stop = runInstance(ctx, path)
		defer stop()
		status := func() (registrar.Status, error) { return client.Status(ctx) }
		Eventually(ctx, status).WithTimeout(20 * time.Second).Should(And(
			HaveField("HasConfigLease", true), HaveField("Revision", uint64(2)), HaveField("Preset", "peak")))
		Expect(client.Change(ctx, second)).To(Equal(registrar.ChangeResult{Revision: 2}))
		Expect(client.Change(ctx, first)).To(Equal(registrar.ChangeResult{Revision: 1}))
		inForce, err := client.ActiveConfig(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(inForce.Declarations).To(Equal(declared))
	})
})

// runInstance runs an instance and returns a function that shuts it down gracefully.
func runInstance(ctx context.Context, path string) (stop func()) {
	runCtx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- host.Run(runCtx, host.Options{SettingsPath: path, Log: io.Discard}) }()
	return func() {
		cancel()
		EventuallyWithOffset(1, ended).WithTimeout(30 * time.Second).Should(Receive(BeNil()))
	}
}
