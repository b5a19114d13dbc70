package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// maxApplyTime is the longest allowed time until all instances have applied a
// change.
const maxApplyTime = 4 * time.Second

// tally counts the results that callers and operators observe. It is safe for
// concurrent use.
type tally struct {
	mu sync.Mutex
	// answersByInstance counts the answers by responding instance.
	answersByInstance map[string]int
	// answers and submissions count complete responses.
	answers, submissions int
	// unknownOutcomes counts submissions whose clients could not learn whether
	// they ran.
	unknownOutcomes int
	// rejected counts requests that were rejected after all retries.
	rejected int
	// streamsEndedByKill counts streams that ended with an error because their
	// instance was killed.
	streamsEndedByKill int
	// firstTokenTimes are the times from a question to the first part of its
	// answer, including retries.
	firstTokenTimes []time.Duration
	// slowestApply is the longest time until all instances had applied a
	// change.
	slowestApply time.Duration

	// The counters below are violated guarantees.
	wrongAnswers, interruptedStreams, ranTwice, ranDespiteNotRun, answeredNotRun, revertedRevisions, lateChanges, overcommits int
	// notes describe the first violations, rejections and unknown outcomes.
	notes []string
}

// maxNotes limits the number of notes.
const maxNotes = 20

func (t *tally) add(count *int, note string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*count++
	if note != "" && len(t.notes) < maxNotes {
		t.notes = append(t.notes, note)
	}
}

func (t *tally) recordAnswer(instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answersByInstance == nil {
		t.answersByInstance = map[string]int{}
	}
	t.answersByInstance[instance]++
}

func (t *tally) recordFirstToken(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.firstTokenTimes = append(t.firstTokenTimes, d)
}

func (t *tally) recordApplyTime(d time.Duration) {
	if d > maxApplyTime {
		t.add(&t.lateChanges, fmt.Sprintf("a change was in force everywhere after %v", d))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowestApply = max(t.slowestApply, d)
}

func (t *tally) violations() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wrongAnswers + t.interruptedStreams + t.ranTwice + t.ranDespiteNotRun + t.answeredNotRun + t.revertedRevisions + t.lateChanges + t.overcommits
}

func (t *tally) print(w io.Writer) {
	violations := t.violations()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, line := range []struct {
		name  string
		count int
	}{
		{"whole answers", t.answers},
		{"whole submissions", t.submissions},
		{"submissions left open (unknown)", t.unknownOutcomes},
		{"refused after all retries", t.rejected},
		{"streams ended by the kill", t.streamsEndedByKill},
		{"BROKEN wrong answers", t.wrongAnswers},
		{"BROKEN streams cut off otherwise", t.interruptedStreams},
		{"BROKEN keys that ran twice", t.ranTwice},
		{"BROKEN ran though told not-run", t.ranDespiteNotRun},
		{"BROKEN answered but not run", t.answeredNotRun},
		{"BROKEN revisions reverted", t.revertedRevisions},
		{"BROKEN changes in force late", t.lateChanges},
		{"BROKEN orders that overcommit", t.overcommits},
		{"broken promises", violations},
	} {
		fmt.Fprintf(w, "%-34s %d\n", line.name, line.count)
	}
	fmt.Fprintf(w, "%-34s %v\n", "slowest change in force everywhere", t.slowestApply.Round(time.Millisecond))
	fmt.Fprintf(w, "%-34s %v\n", "answers by instance", t.answersByInstance)
	if n := len(t.firstTokenTimes); n > 0 {
		slices.Sort(t.firstTokenTimes)
		fmt.Fprintf(w, "%-34s %v, %v, %v\n", "first token: median, 95 %, slowest",
			t.firstTokenTimes[n/2].Round(time.Millisecond), t.firstTokenTimes[n*95/100].Round(time.Millisecond),
			t.firstTokenTimes[n-1].Round(time.Millisecond))
	}
	for _, note := range t.notes {
		fmt.Fprintln(w, "  ", note)
	}
}
