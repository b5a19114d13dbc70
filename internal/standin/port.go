package standin

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Listen uses ports below the ephemeral range (from 32768 on Linux). Any
// outgoing connection could take an ephemeral port between the close of one
// listener and the start of the next on the same port, which would make tests
// flaky.
const (
	minPort   = 20000
	portCount = 12000
	// processPortStride makes concurrent test processes start at different
	// ports.
	processPortStride = 211
)

var portCounter atomic.Uint32

// Listen returns a listener on a loopback port that this process has not used
// before. A test that closes it can listen on its address again.
func Listen() (net.Listener, error) {
	var config net.ListenConfig
	offset := uint32(os.Getpid()) * processPortStride
	for range portCount {
		port := minPort + (offset+portCounter.Add(1))%portCount
		listener, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, errors.New("standin: no port is free")
}
