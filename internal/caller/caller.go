// Package caller is the client of the system with client-side load balancing. It
// fetches the list of instances, caches it for as long as the list is valid, and
// sends requests directly to those instances.
package caller

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/transport"
)

// Options configures a Caller.
type Options struct {
	// Seeds are seed addresses of instances (IP address and port), used to fetch the
	// entries when no cached instance responds.
	Seeds []string
	// Client sends the requests. Nil means a new client that uses TLS as set below.
	Client *http.Client
	// TLS configures TLS connections to the instances. Nil means plain HTTP.
	TLS *tls.Config
	// Now returns the current time. Nil means time.Now.
	Now func() time.Time
}

// Entry is one instance that accepts requests.
type Entry struct {
	Name          string `json:"name"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure-domain"`
}

// Caller is a client. It is safe for concurrent use.
type Caller struct {
	options Options

	mu            sync.Mutex
	entries       []Entry
	entriesExpiry time.Time
	// pickCount counts picked entries, for round-robin selection.
	pickCount int
}

// New returns a Caller.
func New(options Options) *Caller {
	if options.Client == nil {
		options.Client = &http.Client{Transport: transport.New(&http.Transport{
			DisableCompression: true,
			TLSClientConfig:    options.TLS,
		})}
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Caller{options: options}
}

type entriesResponse struct {
	Entries     []Entry `json:"entries"`
	KeepSeconds float64 `json:"keep-seconds"`
}

// lookupTimeout limits one lookup of entries, and thereby the delay that an
// unresponsive address adds before the next one is tried.
const lookupTimeout = 2 * time.Second

// Entries returns the instances that accept requests. It fetches them only if the
// cached list has expired. If no instance responds with a nonempty list, Entries
// returns the cached list regardless of its age, or an error if there is none.
func (c *Caller) Entries(ctx context.Context) ([]Entry, error) {
	c.mu.Lock()
	cached, expiry := c.entries, c.entriesExpiry
	c.mu.Unlock()
	if len(cached) > 0 && c.options.Now().Before(expiry) {
		return cached, nil
	}
	var lookupErr error
	for _, address := range c.lookupAddresses(cached) {
		reply, err := c.fetchEntries(ctx, address)
		if err == nil && len(reply.Entries) > 0 {
			return c.cacheEntries(reply), nil
		}
		lookupErr = errors.CombineErrors(lookupErr, err)
	}
	if len(cached) > 0 {
		return cached, nil
	}
	if lookupErr == nil {
		lookupErr = errors.New("caller: no instance takes new work")
	}
	return nil, lookupErr
}

// lookupAddresses returns the addresses to fetch entries from: first the cached
// instances, then the seeds.
func (c *Caller) lookupAddresses(cached []Entry) []string {
	var addresses []string
	for _, entry := range cached {
		addresses = append(addresses, entry.Address)
	}
	return append(addresses, c.options.Seeds...)
}

// maxEntriesBytes bounds a list of entries. It holds thousands of them.
const maxEntriesBytes = 1 << 20

func (c *Caller) fetchEntries(ctx context.Context, address string) (entriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var reply entriesResponse
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(address, "/v1/entries"), nil)
	if err != nil {
		return reply, errors.Wrap(err, "caller: entries")
	}
	response, err := c.options.Client.Do(httpRequest)
	if err != nil {
		return reply, errors.Wrap(err, "caller: entries")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, errors.Newf("caller: entries: %s answered status %d", address, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxEntriesBytes)).Decode(&reply); err != nil {
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

func (c *Caller) cacheEntries(response entriesResponse) []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = response.Entries
	c.entriesExpiry = c.options.Now().Add(time.Duration(response.KeepSeconds * float64(time.Second)))
	return response.Entries
}

// expireEntries expires the cached entries, so that the next request fetches them again.
func (c *Caller) expireEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entriesExpiry = time.Time{}
}

// pick returns the entry for the next request in round-robin order.
func (c *Caller) pick(entries []Entry) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := entries[c.pickCount%len(entries)]
	c.pickCount++
	return entry
}

// Error reports that there was no complete response.
type Error struct {
	// Outcome says whether the request ran.
	Outcome outcome.Outcome
	// Status is the HTTP status of an error response, otherwise 0.
	Status int
	// Code is the error code in the response, empty if there is none.
	Code    string
	Message string
	// RetryAfter is the delay that the response requests before a retry, 0 if it
	// requests none.
	RetryAfter time.Duration
}

// Error returns the outcome and the message.
func (e *Error) Error() string {
	return "caller: " + e.Outcome.String() + ": " + e.Message
}
