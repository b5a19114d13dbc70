package backoffice_test

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
)

// loneLease is the lease of upstreams at an instance that has no others beside it.
const loneLease = time.Hour

// startLone starts an instance that has no others beside it.
func startLone(folder string) (*backoffice.Instance, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	address := listener.Addr().String()
	return backoffice.New(backoffice.Options{
		Address: address, FailureDomain: "here", Seeds: []string{address}, Bootstrap: true, MinVoters: 1,
		DataDir: folder, InnerListener: listener, Dial: courier.DialTCP, UpstreamLease: loneLease, MinOrderGap: time.Second,
		ParseRoutes: parseRoutes, Engines: newFakeEngines(), Now: time.Now, Log: zerolog.Nop(),
	})
}

// newLone returns an instance that has no others beside it, once it leads.
func newLone(ctx context.Context) *backoffice.Instance {
	GinkgoHelper()
	instance, err := startLone(GinkgoT().TempDir())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { instance.Close(context.Background()) })
	Eventually(ctx, instance.KnowsLeader).Should(BeTrue())
	return instance
}

// newLoneLeader returns a leader by the routes of encodedRoutes that knows no engines yet, and a time at which its
// instance knows all that there are.
func newLoneLeader(ctx context.Context) (backoffice.Leader, time.Time) {
	GinkgoHelper()
	table, err := parseRoutes(encodedRoutes(1))
	Expect(err).NotTo(HaveOccurred())
	return newLone(ctx).NewLeader(table), time.Now().Add(loneLease)
}
