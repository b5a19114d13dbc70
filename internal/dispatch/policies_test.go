package dispatch_test

import (
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// policy is the load balancing policy of one instance. It receives the events of the
// simulation.
type policy interface {
	// arrive sends, queues or refuses a job.
	arrive(now time.Time, j *job)
	report(now time.Time, e *engine, load upstreamapi.Load, loadAt time.Time)
	firstToken(now time.Time, j *job)
	done(now time.Time, j *job)
	tick(now time.Time)
}

// baselinePolicy is a policy without admission control: round robin, least outstanding
// jobs of this instance, or least reported load plus the jobs sent since the report.
type baselinePolicy struct {
	sim            *simulator
	enginesByModel [][]*engine
	kind           string
	nextIndex      []int
	inFlight       map[*engine]int
	reported       map[*engine]int
}

func newBaselinePolicy(sim *simulator, kind string) *baselinePolicy {
	p := &baselinePolicy{sim: sim, kind: kind, enginesByModel: make([][]*engine, modelCount), nextIndex: make([]int, modelCount)}
	p.inFlight, p.reported = map[*engine]int{}, map[*engine]int{}
	for i := range p.nextIndex {
		p.nextIndex[i] = sim.random.IntN(64)
	}
	for _, e := range sim.engines {
		for _, n := range e.models {
			p.enginesByModel[n] = append(p.enginesByModel[n], e)
		}
	}
	return p
}

func (p *baselinePolicy) arrive(now time.Time, j *job) {
	candidates := p.enginesByModel[j.model]
	p.nextIndex[j.model]++
	chosen := candidates[p.nextIndex[j.model]%len(candidates)]
	if p.kind != "round robin" {
		for i := range candidates {
			e := candidates[(p.nextIndex[j.model]+i)%len(candidates)]
			if p.inFlight[e]+p.reported[e] < p.inFlight[chosen]+p.reported[chosen] {
				chosen = e
			}
		}
	}
	p.inFlight[chosen]++
	p.sim.send(now, chosen, j)
}

func (p *baselinePolicy) report(_ time.Time, e *engine, load upstreamapi.Load, _ time.Time) {
	if p.kind == "least reported" {
		p.reported[e], p.inFlight[e] = load.Running+load.Waiting, 0
	}
}

func (p *baselinePolicy) done(_ time.Time, j *job) {
	if p.kind != "least reported" || p.inFlight[j.engine] > 0 {
		p.inFlight[j.engine]--
	}
}
func (p *baselinePolicy) firstToken(time.Time, *job) {}
func (p *baselinePolicy) tick(time.Time)             {}

// gatePolicy calls a Gate in the same way as an instance.
type gatePolicy struct {
	sim        *simulator
	dispatcher *dispatch.Dispatcher
	gate       *dispatch.Gate
	engines    map[string]*engine
	jobs       map[uint64]*job
	lastID     uint64
	onRefused  func(j *job, r admission.Refusal)
	// withoutGate means to call the Dispatcher directly: a job is sent or dropped, but never
	// queued.
	withoutGate bool
}

func newGatePolicy(sim *simulator, seed uint64, options dispatch.Options) *gatePolicy {
	options.Seed = seed
	d := dispatch.New(options)
	p := &gatePolicy{
		sim: sim, dispatcher: d, gate: dispatch.NewGate(d, admission.NewQueue(admission.Options{})),
		engines: map[string]*engine{}, jobs: map[uint64]*job{},
	}
	for _, e := range sim.engines {
		p.engines[e.name] = e
	}
	return p
}

func (p *gatePolicy) arrive(now time.Time, j *job) {
	p.lastID++
	priority, service := uint8(4), "drafts"
	if j.urgent {
		priority, service = 0, "pings"
	}
	var blocks []uint64
	if j.prefix > 0 {
		for i := range prefixTokens / dispatch.BlockTokens {
			blocks = append(blocks, uint64(j.model+1)<<40+uint64(j.prefix)<<8+uint64(i))
		}
	}
	j.arrival = dispatch.Arrival{
		ID: p.lastID, Service: service, At: now, Deadline: j.deadline,
		Request: dispatch.Request{
			Target: dispatch.Target{Model: "m" + strconv.Itoa(j.model)}, Goal: goal,
			Priority: priority, PromptTokens: j.promptTokens, Blocks: blocks,
		},
	}
	if p.withoutGate {
		if d := p.dispatcher.Choose(now, &j.arrival.Request); d.OK() {
			p.send(now, j, p.dispatcher.Sent(now, &j.arrival.Request, &d), d.Chosen.Name)
		}
		return
	}
	result := p.gate.Arrive(now, &j.arrival)
	switch {
	case result.Start.Arrival != nil:
		p.send(now, j, result.Start.Attempt, result.Start.Decision.Chosen.Name)
	case result.Queued:
		p.jobs[j.arrival.ID] = j
	default:
		p.refuse(j, result.Refusal)
	}
	if result.Displaced.Cause != 0 {
		p.refuse(p.jobs[result.Displaced.Ticket.ID], result.Displaced)
	}
}

func (p *gatePolicy) refuse(j *job, r admission.Refusal) {
	delete(p.jobs, j.arrival.ID)
	if p.onRefused != nil {
		p.onRefused(j, r)
	}
}

func (p *gatePolicy) send(now time.Time, j *job, attempt dispatch.Attempt, name string) {
	delete(p.jobs, j.arrival.ID)
	j.attempt = attempt
	p.sim.send(now, p.engines[name], j)
}

func (p *gatePolicy) startWaiting(now time.Time, name string) {
	for _, s := range p.gate.StartWaiting(now, name, nil) {
		p.send(now, p.jobs[s.Arrival.ID], s.Attempt, s.Decision.Chosen.Name)
	}
}

func (p *gatePolicy) report(now time.Time, e *engine, load upstreamapi.Load, loadAt time.Time) {
	e.sequence++
	view := dispatch.View{
		Name: e.name, Incarnation: 1, Sequence: e.sequence, Kind: upstreamapi.KindEngine,
		Load: load, LoadAt: loadAt, LeaseUntil: now.Add(time.Minute),
	}
	for _, n := range e.models {
		view.Resident = append(view.Resident, upstreamapi.Resident{Model: "m" + strconv.Itoa(n)})
	}
	p.dispatcher.Update(view)
	p.startWaiting(now, e.name)
}

func (p *gatePolicy) firstToken(now time.Time, j *job) { p.dispatcher.FirstByte(now, &j.attempt) }

func (p *gatePolicy) done(now time.Time, j *job) {
	if j.firstTokenAt.IsZero() {
		p.dispatcher.Failed(now, &j.attempt, dispatch.FailureCanceled)
	} else {
		p.dispatcher.Finished(now, &j.attempt)
	}
	p.startWaiting(now, j.engine.name)
}

func (p *gatePolicy) tick(now time.Time) {
	for _, r := range p.gate.RemoveExpired(now, nil) {
		p.refuse(p.jobs[r.Ticket.ID], r)
	}
}
