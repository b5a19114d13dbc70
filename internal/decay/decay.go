// Package decay computes what is left of averages and counts that decay exponentially with their age.
package decay

import (
	"math"
	"time"
)

// HalfLife returns the share that is left after age of a value that decays to half in halfLife. It is 1
// if age is not positive, which a clock that steps back can cause.
func HalfLife(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// TimeConstant returns the share that is left after age of a value that decays to 1/e in constant. It is
// 1 if age or constant is not positive.
func TimeConstant(age, constant time.Duration) float64 {
	if age <= 0 || constant <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / constant.Seconds())
}
