package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/lovagelift/lovagelift/internal/rendezvous"
)

// firstCandidate returns the first candidate for a key.
func firstCandidate(key string, candidates []string) string {
	chosen, highest := "", uint64(0)
	for _, candidate := range candidates {
		if score := rendezvous.Score(rendezvous.Hash(key), rendezvous.Hash(candidate)); score >= highest {
			chosen, highest = candidate, score
		}
	}
	return chosen
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	var candidates []string
	for n := range 9 {
		candidates = append(candidates, fmt.Sprintf("10.1.0.%d:7120", n+1))
	}
	count := map[string]int{}
	for n := range 9000 {
		count[firstCandidate(fmt.Sprintf("10.2.0.%d:7120", n), candidates)]++
	}
	for candidate, keys := range count {
		if keys < 850 || keys > 1150 {
			t.Errorf("%s is first for %d of 9,000 keys, want about 1,000", candidate, keys)
		}
	}
}

func TestOnlyKeysOfRemovedCandidateMove(t *testing.T) {
	candidates := []string{"a", "b", "c", "d"}
	for n := range 1000 {
		key := fmt.Sprint(n)
		before := firstCandidate(key, candidates)
		after := firstCandidate(key, candidates[:3])
		if before != "d" && after != before {
			t.Fatalf("key %s moved from %s to %s", key, before, after)
		}
	}
}
