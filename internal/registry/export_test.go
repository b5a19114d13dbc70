package registry

// MaxAnswers is maxAnswers.
const MaxAnswers = maxAnswers

// Answers returns the number of answers that are kept.
func (r *Registry) Answers() int {
	if len(r.configuration.answers) != len(r.configuration.byID) {
		return -1
	}
	return len(r.configuration.answers)
}

// MaxUnpacked is maxUnpacked.
const MaxUnpacked = maxUnpacked
