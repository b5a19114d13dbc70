// Package caller asks the system as its callers do (client): it looks up which
// instances to use, keeps that answer for as long as it may, and connects there
// itself.
package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
)

// Options configures a Caller.
type Options struct {
	// Known are addresses of instances, IP number and port, to ask first for
	// entries.
	Known []string
	// Client sends the requests. Nil stands for a client of the caller's own.
	Client *http.Client
	// TLS is used towards the instances, if it is not nil.
	TLS *tls.Config
	// Now returns the present time. Nil stands for time.Now.
	Now func() time.Time
}

// Entry is one instance that may be used.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
}

// Caller asks the system. It is safe for concurrent use.
type Caller struct {
	options Options

	mu      sync.Mutex
	entries []Entry
	expires time.Time
	// next is the entry that the next request goes to.
	next int
}

// New returns a Caller.
func New(options Options) *Caller {
	if options.Client == nil {
		options.Client = &http.Client{Transport: &http.Transport{
			DisableCompression: true,
			TLSClientConfig:    options.TLS,
		}}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Caller{options: options}
}

type entriesReply struct {
	Entries     []Entry `json:"entries"`
	KeepSeconds float64 `json:"keep-seconds"`
}

// lookupTimeout bounds one look-up of entries, so that an address that went
// silent costs no more than this before the next is asked.
const lookupTimeout = 2 * time.Second

// Entries returns the instances that may be used. It asks only if the last
// answer may no longer be kept. If no known instance answers, Entries returns
// the kept answer if there is one, however old, and else an error.
func (c *Caller) Entries(ctx context.Context) ([]Entry, error) {
	c.mu.Lock()
	kept, expires := c.entries, c.expires
	c.mu.Unlock()
	if len(kept) > 0 && c.options.Now().Before(expires) {
		return kept, nil
	}
	var failed error
	for _, address := range c.lookupAddresses(kept) {
		reply, err := c.lookUp(ctx, address)
		if err == nil && len(reply.Entries) > 0 {
			return c.keep(reply), nil
		}
		failed = errors.CombineErrors(failed, err)
	}
	if len(kept) > 0 {
		return kept, nil
	}
	if failed == nil {
		failed = errors.New("caller: no instance takes new work")
	}
	return nil, failed
}

// lookupAddresses returns where to ask: first the instances in use, then those
// known from the start.
func (c *Caller) lookupAddresses(kept []Entry) []string {
	var addresses []string
	for _, entry := range kept {
		addresses = append(addresses, entry.Address)
	}
	return append(addresses, c.options.Known...)
}

func (c *Caller) lookUp(ctx context.Context, address string) (entriesReply, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var reply entriesReply
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(address, "/v1/entries"), nil)
	if err != nil {
		return reply, errors.Wrap(err, "caller: entries")
	}
	response, err := c.options.Client.Do(request)
	if err != nil {
		return reply, errors.Wrap(err, "caller: entries")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, errors.Newf("caller: entries: %s answered status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return reply, errors.Wrapf(err, "caller: entries from %s", address)
	}
	return reply, nil
}

func (c *Caller) url(address, path string) string {
	if c.options.TLS != nil {
		return "https://" + address + path
	}
	return "http://" + address + path
}

func (c *Caller) keep(reply entriesReply) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = reply.Entries
	c.expires = c.options.Now().Add(time.Duration(reply.KeepSeconds * float64(time.Second)))
	return reply.Entries
}

// forget makes the next request look up the entries again.
func (c *Caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Time{}
}

// pick returns the entry that the next request goes to, each in turn.
func (c *Caller) pick(entries []Entry) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := entries[c.next%len(entries)]
	c.next++
	return entry
}

// Error is what a caller is left with when it got no whole answer.
type Error struct {
	// Outcome says whether the request ran.
	Outcome outcome.Outcome
	// Status is the HTTP status, 0 if there was none.
	Status int
	// Code names the reason, empty if the system gave none.
	Code string
	// Message says what happened.
	Message string
	// RetryAfter is when to come back, 0 if that was not said.
	RetryAfter time.Duration
}

// Error returns the outcome and the message.
func (e *Error) Error() string {
	return "caller: " + e.Outcome.String() + ": " + e.Message
}
