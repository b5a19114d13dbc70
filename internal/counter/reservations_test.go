package counter_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
	"github.com/lovagelift/lovagelift/internal/permit"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// ownerWith returns the owner of a model with 48 slots, and a function that returns its count of turns.
func ownerWith(objectives ...time.Duration) (counter.Instance, func(result string) int64) {
	GinkgoHelper()
	draft := routes.Draft{Version: 1, Services: []routes.Service{{Name: "pool"}}}
	for i, objective := range objectives {
		draft.Routes = append(draft.Routes, routes.Route{
			Name: fmt.Sprint("r", i), Host: "spec.test", Prefix: fmt.Sprintf("/r%d/", i), Kind: routes.Idempotent, Timeout: 30 * time.Second,
			Shares: []routes.Share{{Service: "pool", Weight: 1}}, Objective: objective,
		})
	}
	table, err := routes.New(draft)
	Expect(err).NotTo(HaveOccurred())
	pool := counter.NewUpstreamPool("here", lease)
	for i := range replaySlots / 12 {
		addSmallEngine(pool, fmt.Sprint("e", i), "m")
	}
	instance := counter.NewInstance(pool, instanceAddresses(1)[0], instanceAddresses(1))
	instance.SetRoutes(table)
	scope, _ := instance.Observe()
	return instance, func(result string) int64 {
		if c := scope.Snapshot().Counters()["counter.reservation_results+result="+result]; c != nil {
			return c.Value()
		}
		return 0
	}
}

const (
	replayObjective = 800 * time.Millisecond
	replaySlots     = 48
	replayService   = time.Second
	replayWarmUp    = 4000
	replayMillis    = 24000
)

// replay is a load of callers that compete for the engines of one model. Its counts are those after a
// warm-up.
type replay struct {
	instance counter.Instance
	// firstCome replaces the instance by a queue without rejections, in order of arrival.
	firstCome bool
	waiting   []permit.ID
	busy      int

	random  *rand.Rand
	now     int
	lastID  permit.ID
	events  map[int][]func(now time.Time)
	pending map[permit.ID]*attempt
	counts  map[string]float64
}

// attempt is one request of a caller. reserved is true if the caller returns at its reserved time.
type attempt struct {
	caller            uint64
	patient           bool
	deadline, sent    time.Time
	refusals          int
	reserved, granted bool
}

func (r *replay) after(wait time.Duration, event func(now time.Time)) {
	at := max(r.now+int(wait.Milliseconds()), r.now+1)
	r.events[at] = append(r.events[at], event)
}

func (r *replay) count(name string, condition bool) {
	if condition && r.now >= replayWarmUp {
		r.counts[name]++
	}
}

// run replays 1.5 times the capacity. A third of the callers retry immediately.
func (r *replay) run() {
	r.events, r.pending, r.counts = map[int][]func(time.Time){}, map[permit.ID]*attempt{}, map[string]float64{}
	perMilli := 1.5 * replaySlots / float64(replayService.Milliseconds())
	for i := range int(replayMillis * perMilli) {
		r.after(time.Duration((float64(i)+r.random.Float64())/perMilli)*time.Millisecond, func(now time.Time) {
			r.send(now, attempt{caller: uint64(i + 1), patient: i%3 > 0, deadline: now.Add(12 * time.Second)})
		})
	}
	for ; r.now < replayMillis; r.now++ {
		now := start.Add(time.Duration(r.now) * time.Millisecond)
		for _, event := range r.events[r.now] {
			event(now)
		}
		if !r.firstCome {
			r.instance.ExpirePermits(now)
			r.handle(now, r.instance.Dispatch(now))
		}
	}
}

func (r *replay) send(now time.Time, a attempt) {
	r.lastID++
	id := r.lastID
	a.sent, r.pending[id] = now, &a
	r.count("reserved", a.reserved)
	r.count("callers", a.refusals == 0)
	r.count("patient", a.refusals == 0 && a.patient)
	left := a.deadline.Sub(now)
	r.receive(now, permit.Request{
		ID: id, Service: "pool", Model: "m", PromptTokens: 1, Objective: replayObjective, Remaining: left, Caller: a.caller,
	})
	r.after(min(replayObjective*3/2, left/2), func(now time.Time) {
		if waiting := r.pending[id]; waiting != nil && !waiting.granted {
			r.receive(now, permit.Release{ID: id})
			r.refused(now, permit.Rejected{ID: id, RetryAfter: min(time.Second, a.deadline.Sub(now)/4)})
		}
	})
}

func (r *replay) receive(now time.Time, message permit.Message) {
	if !r.firstCome {
		r.handle(now, r.instance.Receive(now, instanceAddresses(2)[1], message))
		return
	}
	if request, ok := message.(permit.Request); ok {
		r.waiting = append(r.waiting, request.ID)
	}
	for r.busy < replaySlots && len(r.waiting) > 0 {
		if r.pending[r.waiting[0]] != nil {
			r.granted(now, r.waiting[0])
		}
		r.waiting = r.waiting[1:]
	}
}

func (r *replay) handle(now time.Time, sent []counter.SentMessage) {
	for _, s := range sent {
		switch m := s.Message.(type) {
		case permit.Granted:
			r.granted(now, m.ID)
		case permit.Rejected:
			r.refused(now, m)
		}
	}
}

func (r *replay) granted(now time.Time, id permit.ID) {
	a := r.pending[id]
	a.granted = true
	r.busy++
	r.count("served", true)
	r.count("served-patient", a.patient)
	r.count("served-first", a.refusals == 0 && now.Sub(a.sent) <= replayObjective)
	r.count("served-reserved", a.reserved)
	r.after(replayService, func(now time.Time) {
		delete(r.pending, id)
		r.busy--
		r.receive(now, permit.Release{ID: id, Outcome: permit.Succeeded, RunTime: replayService})
	})
}

// refused lets a patient caller return when it is told, if that is within a third of its remaining time.
func (r *replay) refused(now time.Time, m permit.Rejected) {
	next := *r.pending[m.ID]
	delete(r.pending, m.ID)
	next.refusals, next.reserved = next.refusals+1, m.Reserved && next.patient
	r.count("refused-again", next.refusals == 2 && next.patient)
	if !next.patient {
		m.RetryAfter = 50 * time.Millisecond
	}
	if m.RetryAfter <= next.deadline.Sub(now)/3 {
		r.after(m.RetryAfter, func(now time.Time) { r.send(now, next) })
	}
}

var _ = Describe("Reservations", func() {
	// Callers that return are rejected again, and those that retry immediately take what becomes free,
	// so that first attempts find nothing.
	DescribeTable("divide 1.5 times the capacity",
		func(firstCome bool, minFirst, maxFirst, minReserved float64, objectives ...time.Duration) {
			instance, count := ownerWith(objectives...)
			r := &replay{instance: instance, firstCome: firstCome, random: rand.New(rand.NewPCG(3, 4))}
			r.run()
			c := r.counts
			capacity := (replayMillis - replayWarmUp) * replaySlots / float64(replayService.Milliseconds())
			patient := c["served-patient"] / c["patient"]
			impatient := (c["served"] - c["served-patient"]) / (c["callers"] - c["patient"])
			AddReportEntry("replay", fmt.Sprintf(
				"first attempts in time %.2f, capacity used %.2f, served patient %.2f, impatient %.2f; %v; booked %d kept %d broken %d missed %d",
				c["served-first"]/c["callers"], c["served"]/capacity, patient, impatient, c,
				count("booked"), count("kept"), count("broken"), count("missed")))
			Expect(c["served"]).To(BeNumerically(">=", 0.9*capacity))
			Expect(c["served-first"] / c["callers"]).To(And(BeNumerically(">=", minFirst), BeNumerically("<=", maxFirst)))
			Expect(c["reserved"]).To(BeNumerically(">=", minReserved))
			Expect(c["served-reserved"]).To(BeNumerically(">=", 0.9*c["reserved"]))
			if minReserved > 0 {
				Expect(impatient).To(BeNumerically("<", 1.1*patient), "retrying immediately gains nothing")
			}
		},
		Entry("as it was", false, 0.0, 0.3, 0.0, replayObjective),
		Entry("first come, first served", true, 0.0, 0.3, 0.0, replayObjective),
		Entry("with reservations", false, 0.6, 1.0, 20.0, replayObjective, 10*time.Second),
	)

	peer := instanceAddresses(2)[1]
	// fill sends requests until all slots are taken and more wait than can be served, and then one of the
	// caller 7. It returns that request, its rejection and the time of both.
	fill := func(instance counter.Instance) (time.Time, permit.Request, permit.Rejected) {
		GinkgoHelper()
		now := start
		ask := permit.Request{Service: "pool", Model: "m", PromptTokens: 1, Objective: replayObjective, Remaining: 12 * time.Second}
		for range 3 * replaySlots {
			ask.ID, now = ask.ID+1, now.Add(5*time.Millisecond)
			instance.Receive(now, peer, ask)
		}
		ask.ID, ask.Caller = ask.ID+1, 7
		sent := instance.Receive(now, peer, ask)
		Expect(sent).To(HaveLen(1))
		return now, ask, sent[0].Message.(permit.Rejected)
	}

	// A reply may be lost, capacity may fall, and callers may leave.
	DescribeTable("are counted by what became of them", func(returns bool, result string) {
		instance, count := ownerWith(replayObjective, 10*time.Second)
		now, ask, rejected := fill(instance)
		Expect(rejected.Reserved).To(BeTrue())
		ask.ID++
		again := instance.Receive(now.Add(40*time.Millisecond), peer, ask)[0].Message.(permit.Rejected)
		Expect(again.RetryAfter).To(Equal(rejected.RetryAfter - 40*time.Millisecond))
		due := now.Add(rejected.RetryAfter)
		if returns {
			ask.ID++
			sent := instance.Receive(due, peer, ask)
			Expect(sent[0].Message).To(BeAssignableToTypeOf(permit.Queued{}), "it is not rejected by the forecast")
		}
		instance.ExpirePermits(due.Add(5 * time.Second))
		Expect(count("booked")).To(BeEquivalentTo(1))
		Expect(count(result)).To(BeEquivalentTo(1))
	},
		Entry("returned and refused", true, "broken"),
		Entry("not returned", false, "missed"),
	)

	// A caller that retries immediately would join the queue before those that wait until the time they
	// were told.
	It("are told again to callers that return early", func() {
		owner, _ := ownerWith(time.Second, routes.BatchObjective)
		peer := instanceAddresses(2)[1]
		ask := func(now time.Time, id permit.ID, caller uint64) permit.Message {
			return owner.Receive(now, peer, permit.Request{
				ID: id, Service: "pool", Model: "m", PromptTokens: 1, Objective: replayObjective, Remaining: 12 * time.Second, Caller: caller,
			})[0].Message
		}
		var rejected permit.Rejected
		id := permit.ID(1)
		now := start
		for ; ; id++ {
			m := ask(now, id, uint64(id))
			owner.Dispatch(now)
			now = now.Add(time.Millisecond)
			var ok bool
			if rejected, ok = m.(permit.Rejected); ok {
				break
			}
			Expect(id).To(BeNumerically("<", 2000))
		}
		Expect(rejected.Reserved).To(BeTrue(), "%v", rejected)
		for other := id - 8; other < id; other++ {
			owner.Receive(now, peer, permit.Release{ID: other})
		}
		Expect(ask(now, 5001, 5001)).To(BeAssignableToTypeOf(permit.Queued{}), "a newcomer")
		owner.Receive(now, peer, permit.Release{ID: 5001})
		early, ok := ask(now, 5002, uint64(id)).(permit.Rejected)
		Expect(ok).To(BeTrue(), "the same caller")
		Expect(early.Reserved).To(BeTrue())
		Expect(early.RetryAfter).To(BeNumerically("~", rejected.RetryAfter-time.Millisecond, time.Millisecond))
	})
})
