package roster

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Beats is the renewals of members that the receiver already holds, in columns
// of equal length. A thousand upstreams renew themselves each second, and every
// instance hears of each: a record of its own with names and field numbers would
// take five times the bytes.
type Beats struct {
	// Handles name the rows of the sender's table.
	Handles   []uint32
	Sequences []uint64
	// Ages are in units of ageUnit, rounded up.
	Ages []uint32
}

// UpstreamBeats is the renewals of upstreams with their loads.
type UpstreamBeats struct {
	Beats
	Running             []uint32
	Waiting             []uint32
	WaitingPromptTokens []uint32
	// KVUsed is in thousandths of the KV cache.
	KVUsed []uint16
	// Clocks are the upstreams' own clocks: the first in milliseconds since
	// 1970, each further one as its distance from the first. An upstream that
	// told none has noClock.
	Clocks []int64
}

// InstanceBeats is the renewals of instances.
type InstanceBeats struct {
	Beats
	Flags   []uint8
	Streams []uint32
}

const (
	// ageUnit is a fiftieth of the shortest lease that is of use.
	ageUnit = 10 * time.Millisecond
	// clockUnit is finer than any deadline of an order. Clocks are rounded down,
	// so that no order counts as expired before it is.
	clockUnit = time.Millisecond
	thousand  = 1000
	noClock   = int64(-1) << 62
)

// The bits of InstanceBeats.Flags.
const (
	flagDraining = 1 << iota
	flagStale
)

func (b *Beats) add(handle uint32, sequence uint64, age time.Duration) {
	b.Handles = append(b.Handles, handle)
	b.Sequences = append(b.Sequences, sequence)
	b.Ages = append(b.Ages, uint32((max(age, 0)+ageUnit-1)/ageUnit))
}

func (b *Beats) age(n int) time.Duration {
	return time.Duration(b.Ages[n]) * ageUnit
}

// wellFormed reports whether all columns have the length of the first.
func wellFormed(first int, lengths ...int) bool {
	for _, length := range lengths {
		if length != first {
			return false
		}
	}
	return true
}

func (b *UpstreamBeats) wellFormed() bool {
	return wellFormed(len(b.Handles), len(b.Sequences), len(b.Ages), len(b.Running), len(b.Waiting),
		len(b.WaitingPromptTokens), len(b.KVUsed), len(b.Clocks))
}

func (b *InstanceBeats) wellFormed() bool {
	return wellFormed(len(b.Handles), len(b.Sequences), len(b.Ages), len(b.Flags), len(b.Streams))
}

func (b *UpstreamBeats) addLoad(load upstreamapi.Load) {
	b.Running = append(b.Running, uint32(max(load.Running, 0)))
	b.Waiting = append(b.Waiting, uint32(max(load.Waiting, 0)))
	b.WaitingPromptTokens = append(b.WaitingPromptTokens, uint32(max(load.WaitingPromptTokens, 0)))
	b.KVUsed = append(b.KVUsed, kvThousandths(load))
	clock := noClock
	if !load.Clock.IsZero() {
		clock = load.Clock.UnixNano() / int64(clockUnit)
		if len(b.Clocks) > 0 && b.Clocks[0] != noClock {
			clock -= b.Clocks[0]
		}
	}
	b.Clocks = append(b.Clocks, clock)
}

func kvThousandths(load upstreamapi.Load) uint16 {
	if load.KVTotalTokens <= 0 {
		return 0
	}
	return uint16(min(max(load.KVUsedTokens, 0)*thousand/load.KVTotalTokens, thousand))
}

// load returns the load of row n. What a beat does not carry is as it was.
func (b *UpstreamBeats) load(n int, held upstreamapi.Load) upstreamapi.Load {
	held.Running = int(b.Running[n])
	held.Waiting = int(b.Waiting[n])
	held.WaitingPromptTokens = int(b.WaitingPromptTokens[n])
	held.KVUsedTokens = held.KVTotalTokens * int64(b.KVUsed[n]) / thousand
	held.Age = 0
	clock := b.Clocks[n]
	if clock == noClock {
		held.Clock = time.Time{}
		return held
	}
	if n > 0 && b.Clocks[0] != noClock {
		clock += b.Clocks[0]
	}
	held.Clock = time.Unix(0, clock*int64(clockUnit))
	return held
}

func (b *InstanceBeats) addState(beat InstanceBeat) {
	flags := uint8(0)
	if beat.Draining {
		flags |= flagDraining
	}
	if beat.Stale {
		flags |= flagStale
	}
	b.Flags = append(b.Flags, flags)
	b.Streams = append(b.Streams, uint32(max(beat.Streams, 0)))
}

func (b *InstanceBeats) state(n int) InstanceBeat {
	return InstanceBeat{
		Draining: b.Flags[n]&flagDraining != 0,
		Stale:    b.Flags[n]&flagStale != 0,
		Streams:  int(b.Streams[n]),
	}
}

// sameRates reports whether two loads differ only in what a beat carries, but
// for changes too small to route by.
func sameRates(held, next upstreamapi.Load) bool {
	return held.MaxRunning == next.MaxRunning &&
		held.KVTotalTokens == next.KVTotalTokens &&
		near(held.PrefillTokensPerSecond, next.PrefillTokensPerSecond) &&
		near(float64(held.TokenInterval), float64(next.TokenInterval))
}

// nearShare is how far a rate may move before it is told again. Predictions are
// no more exact than this.
const nearShare = 0.05

func near(a, b float64) bool {
	return max(a, b)-min(a, b) <= nearShare*max(a, b)
}
