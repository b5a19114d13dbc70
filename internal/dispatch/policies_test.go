package dispatch_test

import (
	"strconv"
	"time"

	"github.com/lovagelift/lovagelift/internal/admission"
	"github.com/lovagelift/lovagelift/internal/dispatch"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

// policy is how one instance chooses an engine.
type policy interface {
	// arrive sends, queues or refuses a job.
	arrive(now time.Time, j *job)
	report(now time.Time, e *engine, load upstreamapi.Load, loadAt time.Time)
	first(now time.Time, j *job)
	done(now time.Time, j *job)
	tick(now time.Time)
}

// plain is a policy that sends each job at once: round robin, least outstanding
// by its own count, or least outstanding by reports and its own count since.
type plain struct {
	m        *model
	byModel  [][]*engine
	kind     string
	turn     []int
	open     map[*engine]int
	reported map[*engine]int
}

func newPlain(m *model, kind string) *plain {
	p := &plain{m: m, kind: kind, byModel: make([][]*engine, models), turn: make([]int, models)}
	p.open, p.reported = map[*engine]int{}, map[*engine]int{}
	for i := range p.turn {
		p.turn[i] = m.random.IntN(64)
	}
	for _, e := range m.engines {
		for _, n := range e.models {
			p.byModel[n] = append(p.byModel[n], e)
		}
	}
	return p
}

func (p *plain) arrive(now time.Time, j *job) {
	candidates := p.byModel[j.model]
	p.turn[j.model]++
	chosen := candidates[p.turn[j.model]%len(candidates)]
	if p.kind != "round robin" {
		for i := range candidates {
			e := candidates[(p.turn[j.model]+i)%len(candidates)]
			if p.open[e]+p.reported[e] < p.open[chosen]+p.reported[chosen] {
				chosen = e
			}
		}
	}
	p.open[chosen]++
	p.m.send(now, chosen, j)
}

func (p *plain) report(_ time.Time, e *engine, load upstreamapi.Load, _ time.Time) {
	if p.kind == "least reported" {
		p.reported[e], p.open[e] = load.Running+load.Waiting, 0
	}
}

func (p *plain) done(_ time.Time, j *job) {
	if p.kind != "least reported" || p.open[j.engine] > 0 {
		p.open[j.engine]--
	}
}
func (p *plain) first(time.Time, *job) {}
func (p *plain) tick(time.Time)        {}

// ours is the Gate as the driver uses it.
type ours struct {
	m          *model
	dispatcher *dispatch.Dispatcher
	gate       *dispatch.Gate
	engines    map[string]*engine
	jobs       map[uint64]*job
	lastID     uint64
	refused    func(j *job, r admission.Refusal)
	// ungated sends at once, whatever the limits say.
	ungated bool
}

func newOurs(m *model, seed uint64, options dispatch.Options) *ours {
	options.Seed = seed
	d := dispatch.New(options)
	o := &ours{
		m: m, dispatcher: d, gate: dispatch.NewGate(d, admission.New(admission.Options{})),
		engines: map[string]*engine{}, jobs: map[uint64]*job{},
	}
	for _, e := range m.engines {
		o.engines[e.name] = e
	}
	return o
}

func (o *ours) arrive(now time.Time, j *job) {
	o.lastID++
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
		ID: o.lastID, Service: service, At: now, Deadline: j.deadline,
		Request: dispatch.Request{
			Target: dispatch.Target{Model: "m" + strconv.Itoa(j.model)}, Goal: goal,
			Priority: priority, PromptTokens: j.prompt, Blocks: blocks,
		},
	}
	if o.ungated {
		if d := o.dispatcher.Choose(now, &j.arrival.Request); d.OK() {
			o.send(now, j, o.dispatcher.Sent(now, &j.arrival.Request, &d), d.Chosen.Name)
		}
		return
	}
	answer := o.gate.Arrive(now, &j.arrival)
	switch {
	case answer.Start.Arrival != nil:
		o.send(now, j, answer.Start.Flight, answer.Start.Decision.Chosen.Name)
	case answer.Queued:
		o.jobs[j.arrival.ID] = j
	default:
		o.refuse(j, answer.Refusal)
	}
	if answer.Displaced.Cause != 0 {
		o.refuse(o.jobs[answer.Displaced.Ticket.ID], answer.Displaced)
	}
}

func (o *ours) refuse(j *job, r admission.Refusal) {
	delete(o.jobs, j.arrival.ID)
	if o.refused != nil {
		o.refused(j, r)
	}
}

func (o *ours) send(now time.Time, j *job, flight dispatch.Flight, name string) {
	delete(o.jobs, j.arrival.ID)
	j.flight = flight
	o.m.send(now, o.engines[name], j)
}

func (o *ours) freed(now time.Time, name string) {
	for _, s := range o.gate.Freed(now, name, nil) {
		o.send(now, o.jobs[s.Arrival.ID], s.Flight, s.Decision.Chosen.Name)
	}
}

func (o *ours) report(now time.Time, e *engine, load upstreamapi.Load, loadAt time.Time) {
	e.sequence++
	view := dispatch.View{
		Name: e.name, Incarnation: 1, Sequence: e.sequence, Kind: upstreamapi.KindEngine,
		Load: load, LoadAt: loadAt, LeaseUntil: now.Add(time.Minute),
	}
	for _, n := range e.models {
		view.Resident = append(view.Resident, upstreamapi.Resident{Model: "m" + strconv.Itoa(n)})
	}
	o.dispatcher.Update(view)
	o.freed(now, e.name)
}

func (o *ours) first(now time.Time, j *job) { o.dispatcher.FirstByte(now, &j.flight) }

func (o *ours) done(now time.Time, j *job) {
	if j.firstAt.IsZero() {
		o.dispatcher.Failed(now, &j.flight, dispatch.FailureCanceled)
	} else {
		o.dispatcher.Finished(now, &j.flight)
	}
	o.freed(now, j.engine.name)
}

func (o *ours) tick(now time.Time) {
	for _, r := range o.gate.Expired(now, nil) {
		o.refuse(o.jobs[r.Ticket.ID], r)
	}
}
