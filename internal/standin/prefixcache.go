package standin

import (
	"slices"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// prefixCache is a bounded cache of prompt prefixes by name, which forgets the
// least recently used. It records what happens as numbered events. It is not
// safe for concurrent use.
type prefixCache struct {
	// limit is the most prefixes that are kept.
	limit int
	// entries are from the least to the most recently used.
	entries []prefixEntry
	// first is the number of the first of events, which await their publication.
	first  uint64
	events []upstreamapi.CacheEvent
}

type prefixEntry struct {
	model  string
	name   string
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, first: 1}
}

// Use returns how many tokens of the prompt were cached, and then stores all
// prefixes of it. The prefixes go from the shortest to the longest; the tokens
// of the prompt are taken to spread over them evenly.
func (c *prefixCache) Use(model string, prefixes []string, promptTokens int) int {
	cached := 0
	for i, name := range prefixes {
		tokens := promptTokens * (i + 1) / len(prefixes)
		if c.touch(model, name) {
			cached = tokens
			continue
		}
		c.Store(model, name, tokens)
	}
	return cached
}

// Store stores a prefix that is not there, and evicts beyond the limit.
func (c *prefixCache) Store(model, name string, tokens int) {
	if c.limit <= 0 || c.touch(model, name) {
		return
	}
	c.entries = append(c.entries, prefixEntry{model: model, name: name, tokens: tokens})
	c.record(upstreamapi.CacheEvent{Kind: upstreamapi.CacheStored, Model: model, Prefix: name, Tokens: tokens})
	for len(c.entries) > c.limit {
		c.evict(0)
	}
}

// Find returns the prefix, or false.
func (c *prefixCache) Find(model, name string) (prefixEntry, bool) {
	i := c.index(model, name)
	if i < 0 {
		return prefixEntry{}, false
	}
	return c.entries[i], true
}

// Drop evicts all prefixes of a model.
func (c *prefixCache) Drop(model string) {
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].model == model {
			c.evict(i)
		}
	}
}

// Take returns the events that await their publication, with the number of the
// first, and forgets them.
func (c *prefixCache) Take() (first uint64, events []upstreamapi.CacheEvent) {
	first, events = c.first, c.events
	c.first += uint64(len(events))
	c.events = nil
	return first, events
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
	c.events = append(c.events, event)
}
