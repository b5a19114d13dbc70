package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// inForceWithin is the longest time until a change is in force everywhere.
const inForceWithin = 4 * time.Second

// tally counts what callers and operators saw. It is safe for concurrent use.
type tally struct {
	mu sync.Mutex
	// answersOf counts the answers by the instance that gave them.
	answersOf map[string]int
	// answers and submissions are those that came whole.
	answers, submissions int
	// open are submissions whose fate their callers were not told.
	open int
	// refused are requests that ended in a refusal, after all retries.
	refused int
	// killedStreams are those that the kill of their instance ended, visibly.
	killedStreams int
	// firstTokens are the times from a question to the first piece of its
	// answer, with all retries in between.
	firstTokens []time.Duration
	// slowest is the longest time until a change was in force everywhere.
	slowest time.Duration

	// What follows are broken promises.
	wrong, cutOff, ranTwice, ranThoughNotRun, lost, reverted, late, overcommitted int
	// notes say more on the first broken promises.
	notes []string
}

// notesKept bounds the notes.
const notesKept = 20

func (t *tally) add(count *int, note string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count++
	if note != "" && len(t.notes) < notesKept {
		t.notes = append(t.notes, note)
	}
}

func (t *tally) answeredBy(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answersOf == nil {
		t.answersOf = map[string]int{}
	}
	t.answersOf[instance]++
}

func (t *tally) firstTokenAfter(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstTokens = append(t.firstTokens, d)
}

func (t *tally) inForceAfter(d time.Duration) {
	if d > inForceWithin {
		t.add(&t.late, fmt.Sprintf("a change was in force everywhere after %v", d))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowest = max(t.slowest, d)
}

func (t *tally) broken() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrong + t.cutOff + t.ranTwice + t.ranThoughNotRun + t.lost + t.reverted + t.late + t.overcommitted
}

func (t *tally) print(w io.Writer) {
	broken := t.broken()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, line := range []struct {
		name  string
		count int
	}{
		{"whole answers", t.answers},
		{"whole submissions", t.submissions},
		{"submissions left open (unknown)", t.open},
		{"refused after all retries", t.refused},
		{"streams ended by the kill", t.killedStreams},
		{"BROKEN wrong answers", t.wrong},
		{"BROKEN streams cut off otherwise", t.cutOff},
		{"BROKEN keys that ran twice", t.ranTwice},
		{"BROKEN ran though told not-run", t.ranThoughNotRun},
		{"BROKEN answered but not run", t.lost},
		{"BROKEN revisions reverted", t.reverted},
		{"BROKEN changes in force late", t.late},
		{"BROKEN orders that overcommit", t.overcommitted},
		{"broken promises", broken},
	} {
		fmt.Fprintf(w, "%-34s %d\n", line.name, line.count)
	}
	fmt.Fprintf(w, "%-34s %v\n", "slowest change in force everywhere", t.slowest.Round(time.Millisecond))
	fmt.Fprintf(w, "%-34s %v\n", "answers by instance", t.answersOf)
	if n := len(t.firstTokens); n > 0 {
		slices.Sort(t.firstTokens)
		fmt.Fprintf(w, "%-34s %v, %v, %v\n", "first token: median, 95 %, slowest",
			t.firstTokens[n/2].Round(time.Millisecond), t.firstTokens[n*95/100].Round(time.Millisecond),
			t.firstTokens[n-1].Round(time.Millisecond))
	}
	for _, note := range t.notes {
		fmt.Fprintln(w, "  ", note)
	}
}
