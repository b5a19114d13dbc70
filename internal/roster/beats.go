package roster

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// Beats are the renewals of members that the receiver already knows, in columns of equal length. A
// thousand upstreams renew themselves each second, and every instance receives each renewal:
// individual records with names and field numbers would take five times the bytes.
type Beats struct {
	// Handles are row numbers in the sender's table.
	Handles   []uint32
	Sequences []uint64
	// Ages are in units of ageUnit, rounded up.
	Ages []uint32
}

// UpstreamBeats are the renewals of upstreams with their loads.
type UpstreamBeats struct {
	Beats
	Running             []uint32
	Waiting             []uint32
	WaitingPromptTokens []uint32
	// KVUsed is the used share of the KV cache in thousandths.
	KVUsed []uint16
	// Clocks are the clock readings of the upstreams: the first in milliseconds since 1970, the
	// others as differences from the first. For an upstream that reported no clock it is noClock.
	Clocks []int64
}

// InstanceBeats are the renewals of instances.
type InstanceBeats struct {
	Beats
	Flags   []uint8
	Streams []uint32
}

const (
	// ageUnit is 1/50 of the shortest practical lease.
	ageUnit = 10 * time.Millisecond
	// clockUnit is finer than any deadline of a command to an engine. Clocks are rounded down, so
	// that no command counts as expired too early.
	clockUnit   = time.Millisecond
	kvUsedScale = 1000
	noClock     = int64(-1) << 62
)

// Bits of InstanceBeats.Flags.
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

// equalLengths reports whether all columns are as long as the first.
func equalLengths(first int, lengths ...int) bool {
	for _, length := range lengths {
		if length != first {
			return false
		}
	}
	return true
}

func (b *UpstreamBeats) wellFormed() bool {
	return equalLengths(len(b.Handles), len(b.Sequences), len(b.Ages), len(b.Running), len(b.Waiting),
		len(b.WaitingPromptTokens), len(b.KVUsed), len(b.Clocks))
}

func (b *InstanceBeats) wellFormed() bool {
	return equalLengths(len(b.Handles), len(b.Sequences), len(b.Ages), len(b.Flags), len(b.Streams))
}

func (b *UpstreamBeats) addLoad(load upstreamapi.Load) {
	b.Running = append(b.Running, uint32(max(load.Running, 0)))
	b.Waiting = append(b.Waiting, uint32(max(load.Waiting, 0)))
	b.WaitingPromptTokens = append(b.WaitingPromptTokens, uint32(max(load.WaitingPromptTokens, 0)))
	b.KVUsed = append(b.KVUsed, kvUsedThousandths(load))
	clock := noClock
	if !load.Clock.IsZero() {
		clock = load.Clock.UnixNano() / int64(clockUnit)
		if len(b.Clocks) > 0 && b.Clocks[0] != noClock {
			clock -= b.Clocks[0]
		}
	}
	b.Clocks = append(b.Clocks, clock)
}

func kvUsedThousandths(load upstreamapi.Load) uint16 {
	if load.KVTotalTokens <= 0 {
		return 0
	}
	return uint16(min(max(load.KVUsedTokens, 0)*kvUsedScale/load.KVTotalTokens, kvUsedScale))
}

// load returns the load in row n. Fields that a renewal does not carry keep their previous values.
func (b *UpstreamBeats) load(n int, previous upstreamapi.Load) upstreamapi.Load {
	previous.Running = int(b.Running[n])
	previous.Waiting = int(b.Waiting[n])
	previous.WaitingPromptTokens = int(b.WaitingPromptTokens[n])
	previous.KVUsedTokens = previous.KVTotalTokens * int64(b.KVUsed[n]) / kvUsedScale
	previous.Age = 0
	clock := b.Clocks[n]
	if clock == noClock {
		previous.Clock = time.Time{}
		return previous
	}
	if n > 0 && b.Clocks[0] != noClock {
		clock += b.Clocks[0]
	}
	previous.Clock = time.Unix(0, clock*int64(clockUnit))
	return previous
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

// sameCapacity reports whether the fields that a renewal does not carry are equal. Rates may differ
// by up to rateTolerance.
func sameCapacity(previous, next upstreamapi.Load) bool {
	return previous.MaxRunning == next.MaxRunning &&
		previous.KVTotalTokens == next.KVTotalTokens &&
		approxEqual(previous.PrefillTokensPerSecond, next.PrefillTokensPerSecond) &&
		approxEqual(float64(previous.TokenInterval), float64(next.TokenInterval))
}

// rateTolerance is the relative change of a rate up to which no full record is sent. Predictions of
// latency are no more accurate than this.
const rateTolerance = 0.05

func approxEqual(a, b float64) bool {
	return max(a, b)-min(a, b) <= rateTolerance*max(a, b)
}
