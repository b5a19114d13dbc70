package standin

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// prefixCache is an LRU cache of prompt prefixes by name. It records changes as
// numbered events. It is not safe for concurrent use.
type prefixCache struct {
	// capacity is the maximum number of prefixes.
	capacity int
	// entries are ordered from the least to the most recently used.
	entries []prefixEntry
	// firstNumber is the number of the first of pendingEvents, which are not
	// published yet.
	firstNumber   uint64
	pendingEvents []upstreamapi.CacheEvent
}

type prefixEntry struct {
	model  string
	name   string
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, firstNumber: 1}
}

// Prefill returns the number of prompt tokens that are cached and stores all
// prefixes of the prompt. The prefixes are ordered from the shortest to the
// longest, and the tokens of the prompt count as evenly distributed over them.
func (c *prefixCache) Prefill(model string, prefixes []string, promptTokens int) int {
	cachedTokens := 0
	for i, name := range prefixes {
		tokens := promptTokens * (i + 1) / len(prefixes)
		if c.touch(model, name) {
			cachedTokens = tokens
			continue
		}
		c.Store(model, name, tokens)
	}
	return cachedTokens
}

// Store adds a prefix unless it is cached, and evicts prefixes beyond the
// capacity.
func (c *prefixCache) Store(model, name string, tokens int) {
	if c.capacity <= 0 || c.touch(model, name) {
		return
	}
	c.entries = append(c.entries, prefixEntry{model: model, name: name, tokens: tokens})
	c.record(upstreamapi.CacheEvent{Kind: upstreamapi.CacheStored, Model: model, Prefix: name, Tokens: tokens})
	for len(c.entries) > c.capacity {
		c.evict(0)
	}
}

func (c *prefixCache) Find(model, name string) (prefixEntry, bool) {
	i := c.index(model, name)
	if i < 0 {
		return prefixEntry{}, false
	}
	return c.entries[i], true
}

// EvictModel evicts all prefixes of a model.
func (c *prefixCache) EvictModel(model string) {
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].model == model {
			c.evict(i)
		}
	}
}

// DrainEvents returns and clears the pending events, with the number of the
// first one.
func (c *prefixCache) DrainEvents() (firstNumber uint64, events []upstreamapi.CacheEvent) {
	firstNumber, events = c.firstNumber, c.pendingEvents
	c.firstNumber += uint64(len(events))
	c.pendingEvents = nil
	return firstNumber, events
}

func (c *prefixCache) touch(model, name string) bool {
	i := c.index(model, name)
	if i < 0 {
		return false
	}
	entry := c.entries[i]
	c.entries = append(slices.Delete(c.entries, i, i+1), entry)
	return true
}

func (c *prefixCache) index(model, name string) int {
	return slices.IndexFunc(c.entries, func(e prefixEntry) bool { return e.model == model && e.name == name })
}

func (c *prefixCache) evict(i int) {
	entry := c.entries[i]
	c.entries = slices.Delete(c.entries, i, i+1)
	c.record(upstreamapi.CacheEvent{Kind: upstreamapi.CacheEvicted, Model: entry.model, Prefix: entry.name})
}

func (c *prefixCache) record(event upstreamapi.CacheEvent) {
	c.pendingEvents = append(c.pendingEvents, event)
}
