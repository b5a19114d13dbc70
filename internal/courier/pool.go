// Package courier is the RPC layer between instances: the inner protocol, with net/rpc over TCP.
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

// Pool holds one connection to each instance that is called. It is safe for concurrent use.
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

// NewPool returns a Pool whose calls fail after timeout, including the time to connect, unless
// their context has a deadline of its own.
func NewPool(dial Dial, timeout time.Duration) *Pool {
	return &Pool{dial: dial, timeout: timeout, clients: map[string]*rpc.Client{}}
}

// remaining returns the time limit of a call under ctx.
func (p *Pool) remaining(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return time.Until(deadline)
	}
	return p.timeout
}

// Call calls method at address and waits for the reply. If ctx ends or the pool's timeout passes
// first, Call returns an error, and the callee may or may not have executed the call.
//
// A connection on which a call timed out is closed. A device on the path may have lost its state
// for the connection: it would stay silent for good while new connections work, and every later
// call on it would time out too.
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
			p.dropUnlessServerError(address, client, call.Error)
			return errors.Wrapf(call.Error, "courier: %s at %s", method, address)
		}
		return nil
	case <-ctx.Done():
		p.drop(address, client)
		return errors.Wrapf(ctx.Err(), "courier: %s at %s", method, address)
	}
}

// callForReply makes a call and returns its reply. If the call fails, it returns the zero value,
// because net/rpc may still be writing a reply that arrives as the call times out.
func callForReply[Reply any](ctx context.Context, p *Pool, address, method string, args any) (Reply, error) {
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
	// A host that is down does not respond at all: connecting must not take up all the time of a
	// long call.
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	conn, err := p.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	return p.store(address, rpc.NewClient(conn))
}

// connectInterval is the time between two attempts to connect to an instance that does not respond.
const connectInterval = 100 * time.Millisecond

// connectResult is the outcome of one attempt to connect.
type connectResult struct {
	conn net.Conn
	err  error
}

// connect connects to address. While an attempt gets no response, it starts further ones. TCP repeats
// a lost SYN only after a second, so a single attempt to an instance that is just starting would
// take that long.
func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan connectResult)
	attempt := func() {
		conn, err := p.dial(ctx, address)
		select {
		case results <- connectResult{conn, err}:
		case <-ctx.Done():
			if err == nil {
				conn.Close()
			}
		}
	}
	ticker := time.NewTicker(connectInterval)
	defer ticker.Stop()
	for {
		go attempt()
		select {
		case result := <-results:
			return result.conn, result.err
		case <-ticker.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// store adds a new client to the pool, unless another call has added one in the meantime. It
// returns the client to use.
func (p *Pool) store(address string, fresh *rpc.Client) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		fresh.Close()
		return nil, errors.New("courier: pool is closed")
	}
	if existing, ok := p.clients[address]; ok {
		fresh.Close()
		return existing, nil
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

// dropUnlessServerError keeps the connection if the callee itself returned the error, because such
// a connection works.
func (p *Pool) dropUnlessServerError(address string, client *rpc.Client, err error) {
	var serverError rpc.ServerError
	if errors.As(err, &serverError) {
		return
	}
	p.drop(address, client)
}
