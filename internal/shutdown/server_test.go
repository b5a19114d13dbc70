package shutdown_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/standin"
)

// Its connection was closed without an answer.
var _ = It("StopServer answers a request on a connection that was accepted before", func(ctx SpecContext) {
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	accepted := make(chan struct{}, 1)
	server := &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answered") }),
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				accepted <- struct{}{}
			}
		},
	}
	go func() { _ = server.Serve(listener) }()
	dial := func() (net.Conn, error) { return (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String()) }
	conn, err := dial()
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Eventually(ctx, accepted).Should(Receive())
	stopped := make(chan error, 1)
	go func() { stopped <- shutdown.StopServer(context.WithoutCancel(ctx), server, listener, time.Second) }()
	Eventually(ctx, func() error {
		_, err := dial()
		return err
	}).Should(HaveOccurred())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: spec.test\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("answered"))
	Eventually(ctx, stopped).Should(Receive(BeNil()))
}, SpecTimeout(10*time.Second))

// http.Server looks for the end of the last request every half second.
var _ = It("StopServer returns soon after the last request has ended", func(ctx SpecContext) {
	// requestTime is just after one of these looks.
	const requestTime = 700 * time.Millisecond
	listener, err := standin.Listen()
	Expect(err).NotTo(HaveOccurred())
	begun, ended := make(chan struct{}), make(chan time.Time, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(begun)
		pause.For(ctx, requestTime)
		ended <- time.Now()
	})}
	go func() { _ = server.Serve(listener) }()
	go func() {
		defer GinkgoRecover()
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: spec.test\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.ReadAll(conn)
	}()
	Eventually(ctx, begun).Should(BeClosed())
	Expect(shutdown.StopServer(ctx, server, listener, 0)).To(Succeed())
	Expect(time.Since(<-ended)).To(BeNumerically("<", 200*time.Millisecond))
}, SpecTimeout(10*time.Second))
