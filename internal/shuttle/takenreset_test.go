package shuttle_test

import (
	"bytes"
	"context"
	"net"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/shuttle"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// A socket reports a reset once, here to the writer of the request.
var _ = DescribeTable("A response until close that is reset while its request is written is truncated",
	func(ctx SpecContext, idempotent bool) {
		p := shuttle.New(shuttle.Options{Dial: func(context.Context, string, string) (net.Conn, error) {
			return standin.NewResetConn("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nwh"), nil
		}})
		DeferCleanup(p.Close)
		request := nonIdempotentRequest()
		request.Body, request.Idempotent = bytes.Repeat([]byte("seat"), 20_000), idempotent
		response, err := p.Send(ctx, "127.0.0.1:1", request)
		Expect(err).NotTo(HaveOccurred())
		err = shuttle.Prefetch(response, 1<<20)
		Expect(errors.Is(err, shuttle.ErrTruncated)).To(BeTrue(), "got %v", err)
		Expect(outcomeOf(err)).To(Equal(outcome.Ran))
	},
	Entry("of a request that must not run twice", SpecTimeout(specTimeout), false),
	Entry("of an idempotent request", SpecTimeout(specTimeout), true),
)
