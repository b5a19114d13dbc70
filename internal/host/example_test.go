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
	It("gives a caller a whole streamed answer to its own question", func(ctx SpecContext) {
		address := freeAddress()
		serving, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		go func() {
			ended <- host.Run(serving, host.Options{Example: true, CallerAddress: address, Log: io.Discard})
		}()
		asking := caller.New(caller.Options{Known: []string{address}})
		question := caller.Question{Model: "example-model", Text: "where is the shuttle"}
		var answer caller.Answer
		Eventually(ctx, func() (err error) {
			answer, err = asking.Ask(ctx, question, func(string) {})
			return err
		}).WithTimeout(10 * time.Second).Should(Succeed())
		Expect(answer.Text).To(Equal(question.Text))
		Expect(answer.Entry.Address).To(Equal(address))
		stop()
		Eventually(ctx, ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})

	// A newcomer reads "example serves" and pastes the next command. The instance
	// listens before its configuration is confirmed and before the engine is known:
	// said then, the first request would be refused.
	It("says that it serves when a request sent at once is served", func(ctx SpecContext) {
		address := freeAddress()
		serving, stop := context.WithCancel(ctx)
		ended := make(chan error, 1)
		log := &heardLog{said: make(chan struct{}), text: "example serves"}
		go func() {
			ended <- host.Run(serving, host.Options{Example: true, CallerAddress: address, Log: log})
		}()
		Eventually(ctx, log.said).WithTimeout(20 * time.Second).Should(BeClosed())
		asking := caller.New(caller.Options{Known: []string{address}})
		_, err := asking.Ask(ctx, caller.Question{Model: "example-model", Text: "now"}, func(string) {})
		Expect(err).NotTo(HaveOccurred())
		stop()
		Eventually(ctx, ended).WithTimeout(10 * time.Second).Should(Receive(BeNil()))
	})
})

// heardLog closes said at the first line that holds text.
type heardLog struct {
	once sync.Once
	said chan struct{}
	text string
}

func (l *heardLog) Write(line []byte) (int, error) {
	if strings.Contains(string(line), l.text) {
		l.once.Do(func() { close(l.said) })
	}
	return len(line), nil
}

func freeAddress() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
