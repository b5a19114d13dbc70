package instance_test

import (
	"fmt"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

var _ = Describe("an announcement whose connection goes silent", func() {
	// An upstream sends the header and half of the body of its announcement, and
	// nothing more. The server must close the connection after the timeouts for both,
	// and must not record the upstream.
	It("is cut off and changes nothing", SpecTimeout(specTimeout), func(ctx SpecContext) {
		receiver := newCluster(ctx, 0)["a"]
		conn, err := net.Dial("tcp", receiver.settings.Advertise.Upstream.String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		half := `{"name":"engine-1","incarnation":1,"sequence":1,"address":"127.0.0.1:1001",`
		_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", upstreamapi.AnnouncePath, 2*len(half), half)
		Expect(err).NotTo(HaveOccurred())
		closedByServer := make(chan struct{})
		go func() {
			defer close(closedByServer)
			_, _ = io.Copy(io.Discard, conn)
		}()
		maxReadTime := receiver.settings.Limits.HeaderTime + receiver.settings.Limits.BodyTime
		Eventually(ctx, closedByServer).WithTimeout(2*maxReadTime + 5*time.Second).Should(BeClosed())
		Expect(receiver.Upstreams(time.Now())).To(BeEmpty())
	})
})
