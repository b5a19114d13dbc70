package speed

// regression is a linear regression, with exponential forgetting, of the seconds to the
// first token over the tokens of the prompt.
type regression struct {
	// n, x, y, xx and xy are weighted sums, where x is tokens and y is seconds.
	n, x, y, xx, xy float64
}

// addPrior adds two samples of the given weight on the line with this slope and
// intercept.
func (r *regression) addPrior(slope, intercept, weight float64) {
	for _, tokens := range []float64{priorPromptTokens - priorPromptSpreadTokens, priorPromptTokens + priorPromptSpreadTokens} {
		r.add(tokens, intercept+slope*tokens, weight)
	}
}

// observe adds a sample, capped at maxOutlierRatio, after decaying the previous ones.
func (r *regression) observe(tokens, seconds float64) {
	slope, intercept := r.fit()
	decay := 1 - 1.0/windowSamples
	r.n, r.x, r.y, r.xx, r.xy = r.n*decay, r.x*decay, r.y*decay, r.xx*decay, r.xy*decay
	r.add(tokens, min(seconds, maxOutlierRatio*(intercept+slope*tokens)), 1)
}

func (r *regression) add(x, y, weight float64) {
	r.n += weight
	r.x += weight * x
	r.y += weight * y
	r.xx += weight * x * x
	r.xy += weight * x * y
}

// fit returns the prefill seconds per token, bounded by maxPriorRatio, and the remaining
// seconds to the first token.
func (r *regression) fit() (slope, intercept float64) {
	if determinant := r.n*r.xx - r.x*r.x; determinant > 0 {
		slope = (r.n*r.xy - r.x*r.y) / determinant
	}
	slope = min(max(slope, 1.0/(priorPrefillTokensPerSecond*maxPriorRatio)), maxPriorRatio/float64(priorPrefillTokensPerSecond))
	return slope, max((r.y-slope*r.x)/r.n, 0)
}
