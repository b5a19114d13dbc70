package desk

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
)

// serviceHeader names the service that a completion belongs to. Without it, the
// first declared service that uses the model gives the goal.
const serviceHeader = "Lovagelift-Service"

// admitted is a request that the instance has taken on, under one configuration.
type admitted struct {
	name string
	// declared is the zero value if no such service is declared.
	declared declaration.Service
	goal     declaration.Goal
	// weight is the share of the service among those of its priority.
	weight   float64
	arrived  time.Time
	deadline time.Time
}

// admit takes a request on, or refuses it before anything is sent. Everything
// that the request needs of the configuration is taken from one issue here, so
// that it sees no half of another preset.
func (d *Desk) admit(service, model string) (admitted, *RefusalError) {
	now := d.options.Now()
	if refusal := d.options.Instance.Admits(now); refusal != nil {
		return admitted{}, refusal
	}
	issue := d.options.Instance.Issue()
	a := admitted{name: service, arrived: now}
	if service != "" {
		a.declared, _ = issue.Declarations.Service(service)
	} else {
		a.declared, _ = issue.Declarations.ServiceOf(model)
		a.name = a.declared.Name
	}
	a.goal = a.declared.Goal
	if model != "" {
		a.goal = a.goal.WithDefaults(d.options.Limits.Goal)
	}
	if a.declared.Name == "" {
		// The zero priority is the highest, which nobody gets without declaring it.
		a.goal.Priority = declaration.DefaultPriority
	}
	a.weight = issue.Preset.Share(a.declared.Name)
	deadline := a.goal.Deadline
	if deadline == 0 {
		deadline = d.options.Limits.Deadline
	}
	a.deadline = now.Add(deadline)
	return a, nil
}
