package form

// Nearest returns the element of known with the smallest Levenshtein distance in
// bytes to word, and the first of them in a tie. It returns false if each distance
// is above both 2 and a third of the length of word.
func Nearest(word string, known []string) (string, bool) {
	best := ""
	bound := max(2, len(word)/3) + 1
	for _, candidate := range known {
		if len(candidate)-len(word) >= bound || len(word)-len(candidate) >= bound {
			continue
		}
		if distance := editDistance(word, candidate); distance < bound {
			best, bound = candidate, distance
		}
	}
	return best, best != ""
}

// editDistance returns the Levenshtein distance of a and b in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			substitute := diagonal
			if a[i-1] != b[j-1] {
				substitute++
			}
			diagonal = row[j]
			row[j] = min(substitute, row[j]+1, row[j-1]+1)
		}
	}
	return row[len(b)]
}
