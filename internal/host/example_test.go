package host_test

import (
	"context"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/caller"
	"github.com/lovagelift/lovagelift/internal/host"
	"github.com/lovagelift/lovagelift/internal/standin"
)

var _ = Describe("the example", func() {
	It("returns a complete streamed response to a caller's own prompt", func(ctx SpecContext) {
		address := freeAddress()
		runCtx, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			ended <- host.Run(runCtx, host.Options{Example: true, CallerAddress: address, Log: io.Discard})
		}()
		client := caller.New(caller.Options{Seeds: []string{address}})
		request := caller.Request{Model: "example-model", Prompt: "where is the shuttle"}
		var response caller.Response
		Eventually(ctx, func() (err error) {
			response, err = client.Complete(ctx, request, func(string) {})
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
		Expect(response.Text).To(Equal(request.Prompt))
		Expect(response.Entry.Address).To(Equal(address))
		stop()
		Eventually(ctx, ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})

	// A new user sees "example is ready" and sends a request. The instance listens
	// before its configuration is confirmed and before the engine is known. If it
	// logged the line at that point, the request would be refused.
	It("logs that it is ready when a request sent immediately succeeds", func(ctx SpecContext) {
		address := freeAddress()
		runCtx, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		log := &logWatcher{found: make(chan struct{}), message: "example is ready"}
		go func() {
			ended <- host.Run(runCtx, host.Options{Example: true, CallerAddress: address, Log: log})
		}()
		Eventually(ctx, log.found).WithTimeout(20 * time.Second).Should(BeClosed())
		client := caller.New(caller.Options{Seeds: []string{address}})
		_, err := client.Complete(ctx, caller.Request{Model: "example-model", Prompt: "now"}, func(string) {})
		Expect(err).NotTo(HaveOccurred())
		stop()
		Eventually(ctx, ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})

// logWatcher is a log that closes found at the first line that contains message.
type logWatcher struct {
	once    sync.Once
	found   chan struct{}
	message string
}

func (l *logWatcher) Write(line []byte) (int, error) {
	if strings.Contains(string(line), l.message) {
		l.once.Do(func() { close(l.found) })
	}
	return len(line), nil
}

// freeAddress returns a local address with a port that was free just now.
func freeAddress() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
