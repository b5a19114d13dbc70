package counter

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/pause"
	"github.com/lovagelift/lovagelift/internal/quarantine"
	"github.com/lovagelift/lovagelift/internal/routes"
	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// A response that ends with its connection looks alike whether its upstream has completed it or was
// killed: the kernel closes the connections of a killed process. A process that answers a liveness
// check sent after that end was not killed.

// livenessTimeout bounds a liveness check. Engines answer without a free slot, and plain services wait
// for one as long as for any other request.
const livenessTimeout = time.Second

// livenessInterval is the time between two checks that are not conclusive.
const livenessInterval = 100 * time.Millisecond

// Liveness is what a liveness check tells about the process of an upstream.
type Liveness uint8

const (
	// NotChecked means that there was no check.
	NotChecked Liveness = iota
	// LivenessUnknown means that nothing was heard in time.
	LivenessUnknown
	// Alive means that the process has answered.
	Alive
	// Ended means that nothing listens at the address of the process, or another one does.
	Ended
)

// String returns the name of the result in logs and metrics.
func (l Liveness) String() string {
	switch l {
	case NotChecked:
		return "not-checked"
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	default:
		return "unknown"
	}
}

// livenessChecks sends liveness checks. Those of one process that are requested while another one is
// under way share the next one. The zero value is ready for use.
type livenessChecks struct {
	mu sync.Mutex
	// underWay holds the processes to which a check is being sent, with the next one, nil if nobody
	// waits for it.
	underWay map[quarantine.Endpoint]*livenessCheck
}

// livenessCheck is one check. result is set before done is closed.
type livenessCheck struct {
	done   chan struct{}
	result Liveness
}

// request returns a check of a process that send is called for after the call of request.
func (c *livenessChecks) request(process quarantine.Endpoint, send func() Liveness) *livenessCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.underWay == nil {
		c.underWay = map[quarantine.Endpoint]*livenessCheck{}
	}
	check, sending := c.underWay[process]
	if check == nil {
		check = &livenessCheck{done: make(chan struct{})}
		c.underWay[process] = check
	}
	if !sending {
		go c.sendAll(process, send)
	}
	return check
}

// wait returns the result of the check. If ctx ends before it, that is LivenessUnknown.
func (c *livenessCheck) wait(ctx context.Context) Liveness {
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
		return LivenessUnknown
	}
}

// sendAll sends checks of a process as long as somebody waits for one.
func (c *livenessChecks) sendAll(process quarantine.Endpoint, send func() Liveness) {
	for check := c.take(process); check != nil; check = c.take(process) {
		check.result = send()
		close(check.done)
	}
}

// take returns the check to send next. If there is none, no check of the process is under way any more.
func (c *livenessChecks) take(process quarantine.Endpoint) *livenessCheck {
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.underWay[process]
	if check == nil {
		delete(c.underWay, process)
		return nil
	}
	c.underWay[process] = nil
	return check
}

// confirmEnd makes the end of a response's body depend on the process of its upstream, if the body ends
// with its connection. observe is called with the result of the check.
func (p *Proxy) confirmEnd(ctx context.Context, u *upstream, response *http.Response, framing shuttle.Framing, observe func(Liveness)) {
	if framing != shuttle.UntilClose {
		return
	}
	response.Body = shuttle.ConfirmEnd(response.Body, func() error {
		liveness, err := p.confirmAlive(ctx, u)
		observe(liveness)
		return err
	})
}

// confirmAlive asks the process of an upstream whether it still runs. If it does not answer, confirmAlive
// returns an error marked as shuttle.ErrTruncated. If the protocol has no check for its service, it returns
// NotChecked.
func (p *Proxy) confirmAlive(ctx context.Context, u *upstream) (Liveness, error) {
	process := u.endpoint()
	path, header := p.options.Dialect.LivenessCheck(p.serviceOf(u), process.Lifetime)
	if path == "" {
		return NotChecked, nil
	}
	check := p.liveness.request(process, func() Liveness { return p.sendLivenessChecks(process, path, header) })
	liveness := p.concludeLiveness(process, check.wait(ctx))
	switch {
	case liveness == Alive:
		return liveness, nil
	case ctx.Err() != nil:
		return liveness, ctx.Err()
	default:
		return liveness, errors.Wrapf(shuttle.ErrTruncated, "the connection ends, and the upstream's process is %s", liveness)
	}
}

// concludeLiveness returns the result of a check of a process. A process that restarts at the same address
// may have answered in place of the one before it.
func (p *Proxy) concludeLiveness(process quarantine.Endpoint, answered Liveness) Liveness {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Without an incarnation, any other one would look like a successor.
	if answered == Alive && process.Incarnation != 0 && p.pool.upstreamStatus(process) == quarantine.StatusReplaced {
		answered = Ended
	}
	p.metrics.countLiveness(answered)
	return answered
}

// serviceOf returns the service of an upstream, or nil if the routes in force have none with its name.
func (p *Proxy) serviceOf(u *upstream) *routes.Service {
	if table := p.routes.Load(); table != nil {
		return table.Service(u.service)
	}
	return nil
}

// sendLivenessChecks sends liveness checks to a process until one is conclusive. An upstream that has
// too many connections resets further ones, which does not show that it has ended.
func (p *Proxy) sendLivenessChecks(process quarantine.Endpoint, path string, header http.Header) Liveness {
	ctx, cancel := context.WithTimeout(context.Background(), livenessTimeout)
	defer cancel()
	for {
		liveness := p.sendLivenessCheck(ctx, process, path, header)
		if liveness != LivenessUnknown || !pause.For(ctx, livenessInterval) {
			return liveness
		}
	}
}

func (p *Proxy) sendLivenessCheck(ctx context.Context, process quarantine.Endpoint, path string, header http.Header) Liveness {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+process.Address+path, nil)
	if err != nil {
		return LivenessUnknown
	}
	request.Header = header
	response, err := p.upstreams.keepAlive.RoundTrip(request)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Ended
	case err != nil:
		return LivenessUnknown
	}
	defer response.Body.Close()
	return p.options.Dialect.ParseLiveness(response, process.Lifetime)
}
