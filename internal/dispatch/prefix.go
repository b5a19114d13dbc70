package dispatch

// BlockTokens is the number of prompt tokens in a block.
const BlockTokens = 128

const (
	prefixWays    = 4
	prefixHolders = 3
)

// The parameters of the 64-bit FNV-1a hash.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// BlockHashes appends the hashes of the whole blocks of a prompt to dst. Each
// hash covers the blocks before it too, and the model and adapter, since the
// KV cache depends on all of them. blockBytes is the length of a block in
// bytes; a prompt of unknown tokens is cut at about four bytes per token.
//
// The hash is FNV-1a, the same in all processes, so that upstreams can name
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

// mixString takes s and a terminating 0 into hash.
func mixString(hash uint64, s string) uint64 {
	for i := range len(s) {
		hash = (hash ^ uint64(s[i])) * fnvPrime
	}
	return hash * fnvPrime
}

// prefixEntry says which upstreams are thought to hold the KV cache of a block.
type prefixEntry struct {
	hash uint64
	// holders are ids of upstreams, the latest first, 0 for none.
	holders [prefixHolders]uint32
	used    uint32
}

// prefixes estimates what the caches of all upstreams hold. It is a table of a
// fixed size, in which the entry least recently used of a set gives way.
//
// An estimate can be wrong both ways. It moves the choice only: the upstream
// itself checks its cache, so a wrong one costs time and never the answer.
type prefixes struct {
	sets  [][prefixWays]prefixEntry
	clock uint32
}

// newPrefixes returns a table of at least entries entries.
func newPrefixes(entries int) *prefixes {
	sets := 1
	for sets*prefixWays < entries {
		sets *= 2
	}
	return &prefixes{sets: make([][prefixWays]prefixEntry, sets)}
}

func (p *prefixes) find(hash uint64) *prefixEntry {
	set := &p.sets[hash&uint64(len(p.sets)-1)]
	for i := range set {
		if set[i].hash == hash && set[i].used > 0 {
			return &set[i]
		}
	}
	return nil
}

func (p *prefixes) add(hash uint64, id uint32) {
	p.clock++
	e := p.find(hash)
	if e == nil {
		set := &p.sets[hash&uint64(len(p.sets)-1)]
		e = &set[0]
		for i := range set {
			if set[i].used < e.used {
				e = &set[i]
			}
		}
		*e = prefixEntry{hash: hash}
	}
	e.used = p.clock
	place := prefixHolders - 1
	for i, holder := range e.holders {
		if holder == id {
			place = i
			break
		}
	}
	copy(e.holders[1:place+1], e.holders[:place])
	e.holders[0] = id
}

func (p *prefixes) remove(hash uint64, id uint32) {
	e := p.find(hash)
	if e == nil {
		return
	}
	for i, holder := range e.holders {
		if holder == id {
			copy(e.holders[i:], e.holders[i+1:])
			e.holders[prefixHolders-1] = 0
			return
		}
	}
}

func (p *prefixes) holds(hash uint64, id uint32) bool {
	e := p.find(hash)
	if e == nil {
		return false
	}
	for _, holder := range e.holders {
		if holder == id {
			return true
		}
	}
	return false
}

// cached returns how many of blocks id is thought to hold from the start. It
// searches by halves: who holds a block holds those before it.
func (p *prefixes) cached(blocks []uint64, id uint32) int {
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

// longest returns the holders of the longest known prefix of blocks.
func (p *prefixes) longest(blocks []uint64) [prefixHolders]uint32 {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high) / 2
		if e := p.find(blocks[middle]); e != nil && e.holders[0] != 0 {
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
