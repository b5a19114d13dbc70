package host_test

import (
	"context"
	"io"
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
})

func freeAddress() string {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	return listener.Addr().String()
}
