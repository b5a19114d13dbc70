package shutdown_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shutdown"
)

// lateListener is a listener of a busy process, whose Accept returns only after the second Close.
type lateListener struct {
	net.Listener
	closes      atomic.Int32
	closedTwice chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.closedTwice
	}
	return conn, err
}

func (l *lateListener) Close() error {
	if l.closes.Add(1) == 2 {
		close(l.closedTwice)
	}
	return l.Listener.Close()
}

// It returned the error of the second close, which read as requests that were cut off.
var _ = It("StopServer succeeds if the server has not noticed yet that its listener is closed", func(ctx SpecContext) {
	var config net.ListenConfig
	inner, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	listener := &lateListener{Listener: inner, closedTwice: make(chan struct{})}
	server := &http.Server{ReadHeaderTimeout: time.Second}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	stopCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	// The server must have the listener before it stops.
	Eventually(ctx, func() error {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err
	}).Should(Succeed())
	Expect(shutdown.StopServer(stopCtx, server, listener, time.Millisecond)).To(Succeed())
	Eventually(ctx, served).Should(Receive())
}, SpecTimeout(20*time.Second))
