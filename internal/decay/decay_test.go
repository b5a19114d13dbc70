package decay_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/decay"
)

func TestDecay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "decay")
}

// Guards against a share above 1 after the clock has stepped back, which would let averages grow.
var _ = DescribeTable("The share that is left",
	func(left func(age, length time.Duration) float64, age, length time.Duration, expected float64) {
		Expect(left(age, length)).To(BeNumerically("~", expected, 1e-9))
	},
	Entry("after two half-lives", decay.HalfLife, 4*time.Second, 2*time.Second, 0.25),
	Entry("before the value was set, by half-life", decay.HalfLife, -time.Hour, 2*time.Second, 1.0),
	Entry("after the time constant", decay.TimeConstant, time.Second, time.Second, 0.36787944117),
	Entry("before the value was set, by time constant", decay.TimeConstant, -time.Hour, time.Second, 1.0),
	Entry("without a time constant", decay.TimeConstant, time.Second, time.Duration(0), 1.0),
)
