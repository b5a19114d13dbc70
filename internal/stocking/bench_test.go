package stocking_test

import (
	"fmt"
	"testing"

	"github.com/lovagelift/lovagelift/internal/stocking"
)

// BenchmarkPlan plans for 140 engines and 242 models, 8 with high and 37 with low demand.
// A control instance makes such a plan eight times a second.
func BenchmarkPlan(b *testing.B) {
	models := make([]stocking.Model, 0, 242)
	for i := range 242 {
		demand := 0.0
		switch {
		case i < 8:
			demand = 4
		case i < 45:
			demand = 0.05
		}
		models = append(models, model(fmt.Sprint("m", i), demand))
	}
	engines := make([]stocking.Engine, 0, 140)
	for i := range 140 {
		engines = append(engines, engine(fmt.Sprint("e", i), fmt.Sprint("m", i%8), fmt.Sprint("m", 8+i)))
	}
	for b.Loop() {
		stocking.Plan(models, engines, options)
	}
}
