package dispatch

// BlockTokens is the number of prompt tokens in a block.
const BlockTokens = 128

// Each set of the prefix index has prefixWays entries, and each entry up to prefixHolders
// upstreams.
const (
	prefixWays    = 4
	prefixHolders = 3
)

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// BlockHashes appends the hashes of the complete blocks of a prompt to dst. Each hash
// covers the model, the adapter and all previous blocks too, because the KV cache depends
// on them. blockBytes is the length of a block in bytes: about four bytes per token if the
// tokens of the prompt are unknown.
//
// The hash function is FNV-1a, without a random seed, so that upstreams can name the same
// blocks in their cache events.
func BlockHashes(dst []uint64, target Target, prompt []byte, blockBytes int) []uint64 {
	hash := uint64(fnvOffset)
	hash = mixString(hash, target.Model)
	hash = mixString(hash, target.Adapter)
	for len(prompt) >= blockBytes && blockBytes > 0 {
		for _, b := range prompt[:blockBytes] {
			hash = (hash ^ uint64(b)) * fnvPrime
		}
		dst = append(dst, hash)
		prompt = prompt[blockBytes:]
	}
	return dst
}

// mixString returns hash updated with s and a terminating zero byte.
func mixString(hash uint64, s string) uint64 {
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return hash * fnvPrime
}

// prefixEntry lists the upstreams that are estimated to hold the KV cache of a block.
type prefixEntry struct {
	hash uint64
	// holders are the ids of upstreams, most recent first, 0 for none.
	holders [prefixHolders]uint32
	// lastUsed is the clock of the index at the last use, 0 for an empty entry.
	lastUsed uint32
}

// prefixIndex estimates the contents of the prefix caches of all upstreams. It is a
// set-associative table of fixed size with LRU replacement in each set.
//
// The estimate can be wrong in both directions. It affects only the choice of the
// upstream, which checks its own cache: an error costs time and never changes the response.
type prefixIndex struct {
	sets [][prefixWays]prefixEntry
	// clock is the number of calls of add.
	clock uint32
}

// newPrefixIndex returns an index with room for at least the given number of entries.
func newPrefixIndex(entries int) *prefixIndex {
	sets := 1
	for sets*prefixWays < entries {
		sets *= 2
	}
	return &prefixIndex{sets: make([][prefixWays]prefixEntry, sets)}
}

func (p *prefixIndex) find(hash uint64) *prefixEntry {
	set := &p.sets[hash&uint64(len(p.sets)-1)]
	for i := range set {
		if set[i].hash == hash && set[i].lastUsed > 0 {
			return &set[i]
		}
	}
	return nil
}

func (p *prefixIndex) add(hash uint64, id uint32) {
	p.clock++
	entry := p.find(hash)
	if entry == nil {
		set := &p.sets[hash&uint64(len(p.sets)-1)]
		entry = &set[0]
		for i := range set {
			if set[i].lastUsed < entry.lastUsed {
				entry = &set[i]
			}
		}
		*entry = prefixEntry{hash: hash}
	}
	entry.lastUsed = p.clock
	position := prefixHolders - 1
	for i, holder := range entry.holders {
		if holder == id {
			position = i
			break
		}
	}
	copy(entry.holders[1:position+1], entry.holders[:position])
	entry.holders[0] = id
}

func (p *prefixIndex) remove(hash uint64, id uint32) {
	entry := p.find(hash)
	if entry == nil {
		return
	}
	for i, holder := range entry.holders {
		if holder == id {
			copy(entry.holders[i:], entry.holders[i+1:])
			entry.holders[prefixHolders-1] = 0
			return
		}
	}
}

func (p *prefixIndex) holds(hash uint64, id uint32) bool {
	entry := p.find(hash)
	if entry == nil {
		return false
	}
	for _, holder := range entry.holders {
		if holder == id {
			return true
		}
	}
	return false
}

// cachedBlocks returns the number of leading blocks that the upstream id is estimated to
// hold. It is a binary search: an upstream that holds a block holds all previous ones.
func (p *prefixIndex) cachedBlocks(blocks []uint64, id uint32) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if p.holds(blocks[middle], id) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// longestPrefixHolders returns the ids of the upstreams that hold the longest known prefix
// of blocks.
func (p *prefixIndex) longestPrefixHolders(blocks []uint64) [prefixHolders]uint32 {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if entry := p.find(blocks[middle]); entry != nil && entry.holders[0] != 0 {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		return [prefixHolders]uint32{}
	}
	return p.find(blocks[low-1]).holders
}
