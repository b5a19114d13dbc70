package counter_test

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/resumption"
)

// readOriginReports returns how often each stream has been reported to a connection.
func readOriginReports(conn net.PacketConn) map[resumption.StreamID]int {
	GinkgoHelper()
	reports := map[resumption.StreamID]int{}
	buffer := make([]byte, permit.MaxBytes)
	Expect(conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))).To(Succeed())
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return reports
		}
		message, err := permit.Decode(buffer[:n])
		Expect(err).NotTo(HaveOccurred())
		if report, ok := message.(permit.StreamReport); ok {
			reports[report.Stream]++
		}
	}
}

// Routes may change many times a second while thousands of streams are open.
var _ = It("A stream is reported once, however often the routes of its service change", func(ctx SpecContext) {
	g := newResumptionGroup(1)
	g.announceUpstreams("v1")
	began := beginStreams(ctx, g)
	other := listenPeer()
	DeferCleanup(other.Close)
	g.control.addExactEntries(other.LocalAddr().(*net.UDPAddr).AddrPort())
	Eventually(ctx, g.peers[0].proxy.Instances).Should(Equal(2))
	g.commit(ctx, withSplitDraft)
	g.commit(ctx, withMovedDraft)
	reports := readOriginReports(other)
	for _, id := range began {
		Expect(reports[resumption.StreamOf(id)]).To(Equal(1), "stream %s", id)
	}
}, SpecTimeout(specTimeout))

// beginStreams begins streams at the first instance and returns their IDs.
func beginStreams(ctx context.Context, g *resumptionGroup) []string {
	GinkgoHelper()
	var began []string
	for n := range streamsPerSpec {
		began = append(began, fmt.Sprint("s", n))
		g.begin(ctx, 0, began[n])
	}
	return began
}
