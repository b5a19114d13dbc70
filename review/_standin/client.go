package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	host           = "portal.example"
	submitPath     = "/submit/"
	requestTimeout = 1500 * time.Millisecond
	// callPause is the mean pause between two requests of a client.
	callPause = 100 * time.Millisecond
)

// attempt is one request of a client with its answer.
type attempt struct {
	id     string
	entry  string
	sentAt time.Time
	// status is 0 if no whole answer came.
	status int
	stamp  string
}

// clients send requests and keep what became of them.
type clients struct {
	deployment *deployment
	record     *record

	mu       sync.Mutex
	attempts map[string]attempt
	group    sync.WaitGroup
}

// run starts a number of clients that send until ctx ends.
func (c *clients) run(ctx context.Context, count int, pause time.Duration) {
	for number := range count {
		c.group.Go(func() { c.runOne(ctx, number, pause) })
	}
}

func (c *clients) runOne(ctx context.Context, number int, pause time.Duration) {
	transport := &http.Transport{DisableCompression: true}
	defer transport.CloseIdleConnections()
	var addresses []string
	var resolvedAt time.Time
	var ttl time.Duration
	for n := 0; ctx.Err() == nil; n++ {
		if time.Since(resolvedAt) >= ttl {
			if found, keep, ok := c.resolve(number); ok {
				addresses, resolvedAt, ttl = found, time.Now(), keep
			}
		}
		if len(addresses) > 0 {
			c.send(transport, fmt.Sprintf("%04x%08x", number, n), addresses[rand.IntN(len(addresses))])
		}
		time.Sleep(pause/2 + rand.N(pause))
	}
}

// resolve asks the entry instances in turn where to connect, beginning with the one nearest.
func (c *clients) resolve(number int) ([]string, time.Duration, bool) {
	entries := c.deployment.entries
	for i := range entries {
		entry := entries[(number+i)%len(entries)]
		url := fmt.Sprintf("http://%s%s?Name=%s&Region=r&Zone=%s", entry.address(directoryPort), wire.ResolvePath, host, entries[number%len(entries)].zone)
		status, body, err := call(http.MethodGet, url, "", time.Second)
		var answer struct {
			Addresses []string
			TtlS      float64
		}
		if err == nil && status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil && len(answer.Addresses) > 0 {
			return answer.Addresses, time.Duration(min(answer.TtlS, 5) * float64(time.Second)), true
		}
	}
	return nil, 0, false
}

// send sends one request that isn't idempotent.
func (c *clients) send(transport *http.Transport, id, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+submitPath+"2f", strings.NewReader("form "+id))
	if err != nil {
		return
	}
	// Without GetBody, net/http does not send a request again by itself.
	request.GetBody = nil
	request.Host = host
	request.Header.Set(wire.RequestID, id)
	request.Header.Set(wire.Deadline, fmt.Sprint(requestTimeout.Milliseconds()))
	a := attempt{id: id, entry: address, sentAt: time.Now()}
	c.record.addf("sent      %s to %s", id, address)
	response, err := transport.RoundTrip(request)
	if err == nil {
		if _, err = readAll(response.Body); err == nil {
			a.status, a.stamp = response.StatusCode, response.Header.Get(wire.Stamp)
		}
		response.Body.Close()
	}
	c.record.addf("answered  %s: %d %s", id, a.status, a.stamp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts[id] = a
}

// snapshot returns all attempts that have ended.
func (c *clients) snapshot() map[string]attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	copied := make(map[string]attempt, len(c.attempts))
	for id, a := range c.attempts {
		copied[id] = a
	}
	return copied
}
