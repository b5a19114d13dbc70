package registry

// MaxKeptAnswers is maxKeptAnswers.
const MaxKeptAnswers = maxKeptAnswers

// KeptAnswers returns the number of kept answers, or -1 if the list and the index
// of answers differ in length.
func (r *Registry) KeptAnswers() int {
	if len(r.configuration.answers) != len(r.configuration.answersByID) {
		return -1
	}
	return len(r.configuration.answers)
}

// MaxDecompressedBytes is maxDecompressedBytes.
const MaxDecompressedBytes = maxDecompressedBytes
