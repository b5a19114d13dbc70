// Package courier is the inner protocol: the calls that instances make to one
// another, over net/rpc on TCP.
package courier

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Dial opens a connection to the inner address of an instance.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Pool keeps one connection to each instance that is called. It is safe for
// concurrent use.
type Pool struct {
	dial    Dial
	timeout time.Duration

	mu      sync.Mutex
	clients map[string]*rpc.Client
	closed  bool
}

// DialTCP connects without TLS.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// errNotSent marks the error of a call of which nothing was sent.
var errNotSent = errors.New("courier: the call was not sent")

// isNotSent reports whether nothing of a call was sent.
func isNotSent(err error) bool {
	return errors.Is(err, errNotSent)
}

// NewPool returns a Pool whose calls are given up after timeout, connecting
// included, unless their context has a deadline of its own.
func NewPool(dial Dial, timeout time.Duration) *Pool {
	return &Pool{dial: dial, timeout: timeout, clients: map[string]*rpc.Client{}}
}

// remaining returns how long a call under ctx may take.
func (p *Pool) remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return p.timeout
}

// Call calls method at address and waits for the reply. If ctx ends or the
// pool's timeout passes before, Call returns an error and the callee may or may
// not have run the call.
//
// A connection on which a call timed out is closed. Something between the two
// ends may have lost track of it: it would stay silent for good while new
// connections work, and every later call on it would time out as well.
func (p *Pool) Call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, p.remaining(ctx))
	defer cancel()
	client, err := p.client(ctx, address)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "courier: connecting to %s", address), errNotSent)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			p.dropUnlessAnswered(address, client, call.Error)
			return errors.Wrapf(call.Error, "courier: %s at %s", method, address)
		}
		return nil
	case <-ctx.Done():
		p.drop(address, client)
		return errors.Wrapf(ctx.Err(), "courier: %s at %s", method, address)
	}
}

// answerOf makes a call and returns its answer. If the call fails, it returns the zero value:
// an answer that comes as the call is given up is still being written.
func answerOf[Reply any](ctx context.Context, p *Pool, address, method string, args any) (Reply, error) {
	reply := new(Reply)
	if err := p.Call(ctx, address, method, args, reply); err != nil {
		return *new(Reply), err
	}
	return *reply, nil
}

// Close closes all connections. Calls in progress return an error.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for address, client := range p.clients {
		client.Close()
		delete(p.clients, address)
	}
}

func (p *Pool) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[address]
	closed := p.closed
	p.mu.Unlock()
	if closed {
		return nil, errors.New("courier: pool is closed")
	}
	if ok {
		return client, nil
	}
	// A host that is gone answers nothing: connecting must not take all the time
	// that a long call has.
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.keep(address, rpc.NewClient(conn))
}

// keep stores a fresh client, unless another call has stored one meanwhile.
func (p *Pool) keep(address string, fresh *rpc.Client) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		fresh.Close()
		return nil, errors.New("courier: pool is closed")
	}
	if held, ok := p.clients[address]; ok {
		fresh.Close()
		return held, nil
	}
	p.clients[address] = fresh
	return fresh, nil
}

func (p *Pool) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[address] == client {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	client.Close()
}

// dropUnlessAnswered keeps the connection when the callee itself answered with
// an error: such a connection works.
func (p *Pool) dropUnlessAnswered(address string, client *rpc.Client, err error) {
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return
	}
	p.drop(address, client)
}
