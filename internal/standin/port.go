package standin

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// The ports that Listen hands out lie below those that the system gives to
// outgoing connections (from 32768 on Linux). One of those could be taken by any
// connection between the end of one listener and the start of the next on the
// same port, and the test would fail now and then.
const (
	firstPort = 20000
	ports     = 12000
	// portsOfProcess keeps the ports of test processes that run side by side apart.
	portsOfProcess = 211
)

var lastPort atomic.Uint32

// Listen returns a listener on a loopback port that was not handed out before in
// this process. A test that closes it can listen on its address again.
func Listen() (net.Listener, error) {
	var config net.ListenConfig
	begin := uint32(os.Getpid()) * portsOfProcess
	for range ports {
		port := firstPort + (begin+lastPort.Add(1))%ports
		listener, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("standin: no port is free")
}
