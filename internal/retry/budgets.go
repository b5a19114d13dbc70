package retry

import "time"

// Budgets holds a Budget for each service. Its memory grows with the number of service
// names. The caller must take them from the configuration in force.
//
// A Budgets is not safe for concurrent use.
type Budgets struct {
	options  Options
	services map[string]*Budget
}

// NewBudgets returns an empty Budgets that creates each Budget with options.
func NewBudgets(options Options) *Budgets {
	return &Budgets{options: options, services: map[string]*Budget{}}
}

// Get returns the Budget of service, which it creates if needed.
func (b *Budgets) Get(now time.Time, service string) *Budget {
	budget := b.services[service]
	if budget == nil {
		budget = NewBudget(now, b.options)
		b.services[service] = budget
	}
	return budget
}

// Retain removes the services for which known returns false.
func (b *Budgets) Retain(known func(service string) bool) {
	for service := range b.services {
		if !known(service) {
			delete(b.services, service)
		}
	}
}

// Resize changes the reserve and the refill of every Budget, for when more or fewer
// instances share the retries of a service. Tokens beyond the new reserve are lost.
func (b *Budgets) Resize(reserve, refillPerSecond float64) {
	b.options.Reserve, b.options.RefillPerSecond = reserve, refillPerSecond
	for _, budget := range b.services {
		budget.options.Reserve, budget.options.RefillPerSecond = reserve, refillPerSecond
		budget.tokens = min(budget.tokens, reserve)
	}
}
