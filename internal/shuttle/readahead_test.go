package shuttle_test

import (
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

// endless is a body without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

var errBroken = errors.New("broken off")

var _ = Describe("ReadBody", func() {
	const limit = 1 << 20

	It("reads a body whole if it is below the limit, whatever its size", func() {
		budget := shuttle.NewByteBudget(limit)
		for _, size := range []int{0, 1, 8<<10 - 1, 8 << 10, 8<<10 + 1, 100_000, limit - 1} {
			text := strings.Repeat("a", size)
			length := []int64{-1, int64(size)}[size%2]
			ahead, err := shuttle.ReadBody(strings.NewReader(text), length, limit, budget)
			Expect(err).NotTo(HaveOccurred())
			Expect(ahead.Whole).To(BeTrue(), "%d bytes", size)
			Expect(string(ahead.Bytes) == text).To(BeTrue(), "%d bytes", size)
			ahead.Release()
		}
	})

	// Bodies without an end, from all servers at once, must not take the memory of the instance.
	It("holds no more than the limit of a body, and than the budget of all", func() {
		budget := shuttle.NewByteBudget(2 * limit)
		held := 0
		var all []*shuttle.ReadAhead
		for range 100 {
			ahead, err := shuttle.ReadBody(endless{}, -1, limit, budget)
			Expect(err).NotTo(HaveOccurred())
			Expect(ahead.Whole).To(BeFalse())
			held += cap(ahead.Bytes)
			all = append(all, ahead)
		}
		Expect(held).To(BeNumerically("<=", 2*limit+100*(8<<10)))
		for _, ahead := range all {
			ahead.Release()
		}
		ahead, err := shuttle.ReadBody(endless{}, -1, limit, budget)
		Expect(err).NotTo(HaveOccurred())
		Expect(ahead.Bytes).To(HaveLen(limit))
	})

	It("returns what was read before a read failed", func() {
		broken := io.MultiReader(strings.NewReader("begun"), failingReader{})
		ahead, err := shuttle.ReadBody(broken, -1, limit, shuttle.NewByteBudget(limit))
		Expect(err).To(MatchError(errBroken))
		Expect(string(ahead.Bytes)).To(Equal("begun"))
	})
})

var _ = Describe("ReadWhole", func() {
	// A body without a stated length that fitted the first buffer was taken as whole beyond its limit.
	DescribeTable("reads a body that is as long as its limit, and none that is longer",
		func(limit int, stated bool) {
			for _, size := range []int{limit, limit + 1} {
				length := int64(-1)
				if stated {
					length = int64(size)
				}
				budget := shuttle.NewByteBudget(1 << 20)
				body, err := shuttle.ReadWhole(strings.NewReader(strings.Repeat("a", size)), length, int64(limit), budget)
				Expect(err).NotTo(HaveOccurred())
				Expect(body.Whole).To(Equal(size == limit), "%d bytes", size)
				body.Release()
			}
		},
		Entry("below what is not counted, length not stated", 1000, false),
		Entry("below what is not counted, length stated", 1000, true),
		Entry("above it, length not stated", 100_000, false),
		Entry("above it, length stated", 100_000, true),
	)

	It("takes nothing for a body of stated length for which there is no room, and returns all on Release", func() {
		budget := shuttle.NewByteBudget(100_000)
		first, err := shuttle.ReadWhole(strings.NewReader(strings.Repeat("a", 60_000)), 60_000, 1<<20, budget)
		Expect(err).NotTo(HaveOccurred())
		unread := strings.NewReader(strings.Repeat("a", 60_000))
		second, err := shuttle.ReadWhole(unread, 60_000, 1<<20, budget)
		Expect(err).To(MatchError(shuttle.ErrNoRoom))
		Expect(unread.Len()).To(Equal(60_000))
		second.Release()
		Expect(budget.Taken()).To(Equal(int64(60_001)), "with the byte that shows the end")
		first.Release()
		Expect(budget.Taken()).To(BeZero())
		third, err := shuttle.ReadWhole(unread, 60_000, 1<<20, budget)
		Expect(err).NotTo(HaveOccurred())
		Expect(third.Whole).To(BeTrue())
	})
})

// failingReader fails each read.
type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errBroken }

// One caller's large bodies took the room of all others'.
var _ = Describe("A budget that is divided between holders", func() {
	const size, limit = 10_000, 400_000
	// hold reads bodies of a holder until one does not fit, and returns those that did.
	hold := func(budget *shuttle.SharedBudget, holder string) (held []*shuttle.ReadAhead) {
		GinkgoHelper()
		for {
			body, err := shuttle.ReadWhole(strings.NewReader(strings.Repeat("a", size)), size, size, budget.Of(holder))
			if errors.Is(err, shuttle.ErrNoRoom) {
				return held
			}
			Expect(err).NotTo(HaveOccurred())
			held = append(held, body)
		}
	}

	It("has room for one that has nothing yet beside one that takes all it can", func() {
		budget := shuttle.NewSharedBudget(shuttle.NewByteBudget(limit))
		held := hold(budget, "flood")
		Expect(held).To(HaveLen(29), "three quarters")
		Expect(hold(budget, "quiet")).To(HaveLen(10), "the rest")
		for _, body := range held[:10] {
			body.Release()
		}
		Expect(hold(budget, "flood")).To(BeEmpty(), "beyond its share")
		Expect(hold(budget, "quiet")).To(HaveLen(3), "up to its share")
		for _, body := range held[10:] {
			body.Release()
		}
		Expect(budget.Taken()).To(Equal(int64(13 * (size + 1))))
	})

	// It would be refused for ever.
	It("has room for a body that takes more than three quarters, as long as nobody has anything", func() {
		budget := shuttle.NewSharedBudget(shuttle.NewByteBudget(limit))
		read := func(holder string) (*shuttle.ReadAhead, error) {
			return shuttle.ReadWhole(strings.NewReader(strings.Repeat("a", limit-1)), limit-1, limit, budget.Of(holder))
		}
		large, err := read("a")
		Expect(err).NotTo(HaveOccurred())
		Expect(large.Whole).To(BeTrue())
		large.Release()
		Expect(hold(budget, "a")).NotTo(BeEmpty())
		_, err = read("b")
		Expect(errors.Is(err, shuttle.ErrNoRoom)).To(BeTrue())
	})

	It("is not divided where callers are not told apart", func() {
		Expect(hold(shuttle.NewSharedBudget(shuttle.NewByteBudget(limit)), "")).To(HaveLen(39))
		body, err := shuttle.ReadWhole(strings.NewReader("a"), 1<<20, 1<<20, shuttle.NewSharedBudget(nil).Of("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(body.Whole).To(BeTrue())
		body.Release()
	})
})
