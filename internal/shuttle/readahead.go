package shuttle

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Budget bounds the memory of what is read ahead.
type Budget interface {
	// take takes bytes, and reports whether there were as many.
	take(bytes int64) bool
	giveBack(bytes int64)
}

// ByteBudget bounds the memory of what is read ahead by many requests together. It is safe for
// concurrent use. A nil budget has no bound.
type ByteBudget struct {
	limit int64

	mu   sync.Mutex
	free int64
}

// NewByteBudget returns a budget of the given number of bytes.
func NewByteBudget(limit int64) *ByteBudget {
	return &ByteBudget{limit: limit, free: limit}
}

// NewMemoryShare returns a budget of the share 1/divisor of the memory of a process, but of minimum bytes or
// more. If the memory is 0, it is not known, and NewMemoryShare returns nil.
func NewMemoryShare(memoryBytes, divisor, minimum int64) *ByteBudget {
	if memoryBytes == 0 {
		return nil
	}
	return NewByteBudget(max(memoryBytes/divisor, minimum))
}

func (b *ByteBudget) take(bytes int64) bool {
	return b.takeLeaving(bytes, 0)
}

// takeLeaving takes bytes if at least left bytes stay free, and reports whether it did.
func (b *ByteBudget) takeLeaving(bytes, left int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.free-bytes < left {
		return false
	}
	b.free -= bytes
	return true
}

// Taken returns the number of bytes that are taken. It is 0 without a bound.
func (b *ByteBudget) Taken() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit - b.free
}

func (b *ByteBudget) giveBack(bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.free += bytes
}

// ReadAhead is a body, or its beginning, that is held in memory. Use ReadBody or ReadWhole.
type ReadAhead struct {
	Bytes []byte
	// Whole is true if Bytes is the whole body.
	Whole  bool
	taken  int64
	budget Budget
}

// unbudgetedBytes is what each body may take without a budget. It holds most responses that are not
// streams.
const unbudgetedBytes = 8 << 10

// ReadBody reads a body until its end, but at most limit bytes, and less if budget is used up. If a read
// fails, ReadBody returns the error with what was read before. The memory is held until Release.
//
// length is the stated length of the body, or negative if there is none.
func ReadBody(body io.Reader, length, limit int64, budget Budget) (*ReadAhead, error) {
	size := int64(unbudgetedBytes)
	if length >= 0 {
		// The end of the body is read with the byte after it.
		size = min(size, length+1)
	}
	a := &ReadAhead{budget: budget, Bytes: make([]byte, 0, min(limit, size))}
	if err := a.fill(body, limit); !errors.Is(err, ErrNoRoom) {
		return a, err
	}
	return a, nil
}

// ErrNoRoom is returned for a body for which the budget has no room.
var ErrNoRoom = errors.New("shuttle: no room for the body")

// ReadWhole reads a whole body, of which it reads limit bytes at most. If it is longer, ReadAhead.Whole
// is false. If budget has no room for it, ReadWhole returns ErrNoRoom, before it reads anything if the
// length of the body is stated. The memory is held until Release.
func ReadWhole(body io.Reader, length, limit int64, budget Budget) (*ReadAhead, error) {
	// The end of the body is read with the byte after it, and one byte beyond the limit shows that the
	// body is longer.
	size := min(unbudgetedBytes, limit+1)
	if length >= 0 {
		size = min(length, limit) + 1
	}
	a := &ReadAhead{budget: budget}
	if size > unbudgetedBytes {
		if !budget.take(size) {
			return a, ErrNoRoom
		}
		a.taken = size
	}
	a.Bytes = make([]byte, 0, size)
	err := a.fill(body, limit+1)
	if errors.Is(err, ErrNoRoom) && int64(len(a.Bytes)) > limit {
		return a, nil
	}
	return a, err
}

// fill reads a body until its end. If there is no memory for the next byte, up to limit, it returns
// ErrNoRoom.
func (a *ReadAhead) fill(body io.Reader, limit int64) error {
	for {
		n, err := body.Read(a.Bytes[len(a.Bytes):cap(a.Bytes)])
		a.Bytes = a.Bytes[:len(a.Bytes)+n]
		switch {
		case err == io.EOF:
			a.Whole = true
			return nil
		case err != nil:
			return err
		case len(a.Bytes) == cap(a.Bytes) && !a.grow(limit):
			return ErrNoRoom
		}
	}
}

// grow doubles the memory up to limit. It returns false if there is no more.
func (a *ReadAhead) grow(limit int64) bool {
	size := int64(cap(a.Bytes))
	larger := min(2*size, limit)
	if larger <= size || !a.budget.take(larger-size) {
		return false
	}
	a.taken += larger - size
	grown := make([]byte, len(a.Bytes), larger)
	copy(grown, a.Bytes)
	a.Bytes = grown
	return true
}

// Release returns the memory to the budget. Bytes must not be used any more.
func (a *ReadAhead) Release() {
	if a.taken > 0 {
		a.budget.giveBack(a.taken)
	}
	a.Bytes, a.taken = nil, 0
}
