package retry

import "time"

// Budgets holds a Budget for each service. Its memory is bounded by the names
// that the caller passes, which it takes from the configuration in force.
//
// A Budgets is not safe for concurrent use.
type Budgets struct {
	options  Options
	services map[string]*Budget
}

// NewBudgets returns a Budgets that makes each Budget with options.
func NewBudgets(options Options) *Budgets {
	return &Budgets{options: options, services: map[string]*Budget{}}
}

// Of returns the Budget of service.
func (b *Budgets) Of(now time.Time, service string) *Budget {
	budget := b.services[service]
	if budget == nil {
		budget = NewBudget(now, b.options)
		b.services[service] = budget
	}
	return budget
}

// Keep forgets the services for which known returns false.
func (b *Budgets) Keep(known func(service string) bool) {
	for service := range b.services {
		if !known(service) {
			delete(b.services, service)
		}
	}
}

// Resize changes the reserve and the refill of every Budget, as more or fewer
// instances share what a service may get. What a Budget has beyond the new reserve
// is lost.
func (b *Budgets) Resize(reserve, refill float64) {
	b.options.Reserve, b.options.Refill = reserve, refill
	for _, budget := range b.services {
		budget.options.Reserve, budget.options.Refill = reserve, refill
		budget.tokens = min(budget.tokens, reserve)
	}
}
