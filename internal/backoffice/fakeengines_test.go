package backoffice_test

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/courier"
)

// fakeEngines is a client for fake engines, which check the sequence number of orders.
type fakeEngines struct {
	mu      sync.Mutex
	engines map[string]*fakeEngine
	// orders are the received orders, oldest first.
	orders []receivedOrder
	// loseAnswer makes the next accepted order return an error after it was carried out.
	loseAnswer bool
}

// receivedOrder is an engine and the instance that sent it an order.
type receivedOrder struct {
	engine, holder string
}

// fakeEngine is the state of one engine. models maps each held model to its adapters.
type fakeEngine struct {
	sequence uint64
	models   map[string][]string
	// replaced is set if another process has the engine's address.
	replaced bool
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{engines: map[string]*fakeEngine{}}
}

func (f *fakeEngines) add(name string, models ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := &fakeEngine{models: map[string][]string{}}
	for _, model := range models {
		e.models[model] = nil
	}
	f.engines[name] = e
}

func (f *fakeEngines) Report(_ context.Context, engine backoffice.EngineAddress) (backoffice.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[engine.Name]
	report := backoffice.Report{Sequence: e.sequence}
	for model, adapters := range e.models {
		report.Models = append(report.Models, courier.LoadedModel{Name: model, Adapters: append([]string(nil), adapters...)})
	}
	return report, nil
}

var errAnswerLost = errors.New("answer to the order lost")

func (f *fakeEngines) Order(
	_ context.Context, engine backoffice.EngineAddress, order backoffice.Order,
) (backoffice.OrderAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.orders = append(f.orders, receivedOrder{engine.Name, order.Holder})
	e := f.engines[engine.Name]
	if e.replaced {
		return backoffice.RefusedByOtherProcess, nil
	}
	if order.ExpectedSequence != e.sequence {
		return backoffice.Refused, nil
	}
	e.sequence++
	switch {
	case order.Kind == backoffice.Unload && order.Adapter == "":
		delete(e.models, order.Model)
	case order.Kind == backoffice.Load && order.Adapter == "":
		e.models[order.Model] = nil
	case order.Kind == backoffice.Load:
		e.models[order.Model] = append(e.models[order.Model], order.Adapter)
	}
	if f.loseAnswer {
		f.loseAnswer = false
		return 0, errAnswerLost
	}
	return backoffice.Accepted, nil
}

// holdersOf returns the instances that sent orders to an engine.
func (f *fakeEngines) holdersOf(engine string) map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	holders := map[string]bool{}
	for _, order := range f.orders {
		if order.engine == engine {
			holders[order.holder] = true
		}
	}
	return holders
}

func (f *fakeEngines) holds(engine, model string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, held := f.engines[engine].models[model]
	return held
}
