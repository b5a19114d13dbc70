package reservation_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/reservation"
)

func TestReservation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reservation")
}

var (
	start   = time.Unix(1000, 0)
	options = reservation.Options{
		Share: 0.1, MinWait: 50 * time.Millisecond, Early: 100 * time.Millisecond, Late: time.Second,
		Transit: 10 * time.Millisecond, RateWindow: 2 * time.Second, MaxCallers: 2048,
	}
)

// scheduleWith returns a schedule at start, after grants of urgent requests at a rate.
func scheduleWith(perSecond int, options reservation.Options) *reservation.Schedule {
	began := start.Add(-10 * time.Second)
	schedule := reservation.New(began, options)
	for i := range 10 * perSecond {
		schedule.Granted(began.Add(time.Duration(i)*time.Second/time.Duration(perSecond)), 0, 0)
	}
	return schedule
}

func request(caller uint64) reservation.Request {
	return reservation.Request{Caller: caller, Wait: 300 * time.Millisecond, Remaining: 6 * time.Second}
}

var _ = Describe("Schedule", func() {
	const caller = 7
	after := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

	// More reservations than the grants of their time would be broken.
	It("reserves only what the rate of grants serves, within a third of the remaining time", func() {
		schedule := scheduleWith(50, options)
		last := time.Time{}
		for id := uint64(1); ; id++ {
			due, ok := schedule.Reserve(start, request(id))
			if !ok {
				break
			}
			Expect(due).To(BeTemporally(">=", after(300)))
			Expect(due).To(BeTemporally("<", after(2000)))
			if id > 1 {
				Expect(due.Sub(last)).To(BeNumerically("~", 200*time.Millisecond, 10*time.Millisecond))
			}
			last = due
		}
		Expect(schedule.Reservations()).To(Equal(9))
		Expect(schedule.Before(after(720), 0)).To(Equal(3), "until 300, 500 and 700 ms")
	})

	DescribeTable("makes no promise that it could not keep",
		func(perSecond int, change func(*reservation.Request)) {
			r := request(caller)
			change(&r)
			_, ok := scheduleWith(perSecond, options).Reserve(start, r)
			Expect(ok).To(BeFalse())
		},
		Entry("to an unknown caller, which could not be recognized", 50, func(r *reservation.Request) { r.Caller = 0 }),
		Entry("where more urgent requests get all grants", 50, func(r *reservation.Request) { r.Class = reservation.ClassOf(0, true) }),
		Entry("where hardly any request is granted", 1, func(*reservation.Request) {}),
		Entry("to a caller that leaves before", 50, func(r *reservation.Request) { r.Remaining = 900 * time.Millisecond }),
	)

	// A caller that retries immediately would gain by it.
	DescribeTable("knows who returns at the time it was told",
		func(reserved bool, millis int, standing reservation.Standing, missed int) {
			schedule := scheduleWith(50, options)
			if reserved {
				due, _ := schedule.Reserve(start, request(caller))
				Expect(due).To(Equal(after(300)))
			} else {
				schedule.Refuse(caller, 0, after(300))
			}
			Expect(schedule.Arrive(after(millis), caller+1).Standing).To(Equal(reservation.Newcomer), "another caller")
			arrival := schedule.Arrive(after(millis), caller)
			Expect(arrival.Standing).To(Equal(standing))
			again := schedule.Arrive(after(millis), caller)
			if standing == reservation.Early {
				Expect(again).To(Equal(arrival), "a message that is repeated")
				Expect(arrival).To(Equal(reservation.Arrival{Standing: standing, Due: after(300), HasReservation: reserved}))
			} else {
				Expect(again.Standing).To(Equal(reservation.Newcomer), "it is used once")
			}
			Expect(schedule.Expire(after(millis))).To(Equal(missed))
		},
		Entry("too early", true, 199, reservation.Early, 0),
		Entry("a clock that was set back", true, -5000, reservation.Early, 0),
		Entry("from 100 ms before", true, 200, reservation.Reserved, 0),
		Entry("until 1 s after", true, 1300, reservation.Reserved, 0),
		Entry("too late", true, 1301, reservation.Newcomer, 1),
		Entry("too early without a reservation", false, 199, reservation.Early, 0),
		Entry("without a reservation", false, 300, reservation.Repeated, 0),
	)

	// The new owner of a model knows no reservations, and a caller that was served needs none.
	It("frees the reservation of a caller that is granted", func() {
		schedule := scheduleWith(50, options)
		_, _ = schedule.Reserve(start, request(caller))
		Expect(schedule.Granted(start, caller, 0)).To(BeTrue())
		Expect(schedule.Granted(start, caller, 0)).To(BeFalse())
		Expect(schedule.Reservations()).To(BeZero())
	})

	It("holds a bounded number of callers", func() {
		bounded := options
		bounded.MaxCallers = 2
		schedule := scheduleWith(50, bounded)
		schedule.Refuse(1, 0, after(300))
		schedule.Refuse(2, 0, after(300))
		_, ok := schedule.Reserve(start, request(caller))
		Expect(ok).To(BeFalse())
		schedule.Expire(after(1301))
		_, ok = schedule.Reserve(after(1301), request(caller))
		Expect(ok).To(BeTrue())
	})
})

// BenchmarkReturn makes three choices: a caller arrives, is rejected, and returns.
func BenchmarkReturn(b *testing.B) {
	for name, others := range map[string]int{"100": 100, "full": options.MaxCallers - 1} {
		b.Run(name, func(b *testing.B) {
			schedule := scheduleWith(1000, options)
			for i := range others {
				schedule.Refuse(uint64(i+1), 0, start.Add(time.Duration(i)*time.Millisecond))
			}
			r := request(math.MaxUint64)
			b.ReportAllocs()
			for b.Loop() {
				schedule.Arrive(start, r.Caller)
				due, ok := schedule.Reserve(start, r)
				if !ok || schedule.Arrive(due, r.Caller).Standing != reservation.Reserved {
					b.Fatal("no reservation")
				}
			}
		})
	}
}
