// Package explain finds the life of one request in the saved logs of several
// instances.
//
// It orders what the logs say and guesses nothing: lines that can't be read are
// counted and told.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields are the others, by name.
	Fields map[string]any
}

// Story is what the logs say of a request.
type Story struct {
	// Lines are those of the request, and Around those that changed what the
	// instances concerned believed meanwhile, both by time.
	Lines  []Line
	Around []Line
	// Quarantine is why the request was quarantined, if its attempts have a digest: what
	// became of other attempts at it, by time.
	Quarantine []Line
	// Read is how many lines there were, and Bad how many of them could not be read.
	Read int
	Bad  int
}

// Log is the saved log of some instances.
type Log struct {
	lines []Line
	read  int
	bad   int
}

// maxLineBytes bounds a log line.
const maxLineBytes = 1 << 20

// Read adds the lines of in. A line may have a prefix of another program's before
// its JSON. If in can't be read, Read returns an error.
func (l *Log) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		l.read++
		line, ok := parse(text)
		if !ok {
			l.bad++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return errors.Wrap(scanner.Err(), "explain: log")
}

// The names of fields that all lines have.
const (
	fieldTime     = "time"
	fieldInstance = "instance"
	fieldMessage  = "message"
	fieldRequest  = "request"
	fieldLevel    = "level"
	fieldModel    = "model"
)

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		return Line{}, false
	}
	var line Line
	at, _ := fields[fieldTime].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, false
	}
	line.Instance, _ = fields[fieldInstance].(string)
	line.Message, _ = fields[fieldMessage].(string)
	for _, name := range []string{fieldTime, fieldInstance, fieldMessage, fieldLevel} {
		delete(fields, name)
	}
	line.Fields = fields
	return line, true
}

// Story returns what the log says of the request with id.
func (l *Log) Story(id string) Story {
	story := Story{Read: l.read, Bad: l.bad}
	concerned := map[string]bool{}
	model := ""
	for _, line := range l.lines {
		if line.Fields[fieldRequest] != id {
			continue
		}
		story.Lines = append(story.Lines, line)
		concerned[line.Instance] = true
		if value, ok := line.Fields[fieldModel].(string); ok && value != "" {
			model = value
		}
		for _, name := range []string{"upstream", "engine"} {
			if value, ok := line.Fields[name].(string); ok {
				concerned[value] = true
			}
		}
	}
	if len(story.Lines) == 0 {
		return story
	}
	byTime(story.Lines)
	first, last := story.Lines[0].begins(), story.Lines[len(story.Lines)-1].Time
	for _, line := range l.lines {
		if line.around(concerned, model) && !line.Time.Before(first.Add(-before)) && !line.Time.After(last) {
			story.Around = append(story.Around, line)
		}
	}
	byTime(story.Around)
	story.Quarantine = l.quarantine(id, story.Lines)
	return story
}

// maxQuarantine bounds the lines that tell why a request was quarantined.
const maxQuarantine = 40

// quarantine returns the lines on other attempts at a request that tell of upstreams that
// ended under it, and of its quarantine. Of too many, the newest are kept.
func (l *Log) quarantine(id string, own []Line) []Line {
	digest := ""
	for _, line := range own {
		if value, ok := line.Fields[quarantine.FieldDigest].(string); ok {
			digest = value
		}
	}
	if digest == "" {
		return nil
	}
	var told []Line
	for _, line := range l.lines {
		if line.Fields[fieldRequest] != id && line.tellsOfQuarantine(digest) {
			told = append(told, line)
		}
	}
	byTime(told)
	return told[max(0, len(told)-maxQuarantine):]
}

// tellsOfQuarantine reports whether the line is of the quarantine of a request, or of an
// upstream that ended under it. Some lines have the beginning of the digest alone.
func (l Line) tellsOfQuarantine(digest string) bool {
	switch l.Message {
	case quarantine.LineEnded, quarantine.LineEntered, quarantine.LineLeft, quarantine.LineLifted:
	default:
		return false
	}
	told, _ := l.Fields[quarantine.FieldDigest].(string)
	return told != "" && (strings.HasPrefix(told, digest) || strings.HasPrefix(digest, told))
}

// before is how long before a request a change may explain what became of it: a
// model that is loaded, a leader that is elected.
const before = 10 * time.Second

// begins returns when what the line tells of began.
func (l Line) begins() time.Time {
	if took, ok := l.Fields["took"].(float64); ok {
		return l.Time.Add(-time.Duration(took * float64(time.Millisecond)))
	}
	return l.Time
}

// around reports whether the line is of no request and concerns one of names, which it
// comes from or names, or the model of the request. What is told of other models is left
// out: four of five lines around a refusal were.
func (l Line) around(names map[string]bool, model string) bool {
	if _, ofRequest := l.Fields[fieldRequest]; ofRequest {
		return false
	}
	if told, ok := l.Fields[fieldModel].(string); ok && told != "" && model != "" {
		return told == model
	}
	if names[l.Instance] {
		return true
	}
	for _, name := range []string{"upstream", "engine", "peer", "control"} {
		if value, ok := l.Fields[name].(string); ok && names[value] {
			return true
		}
	}
	return l.Message == "leader changed"
}

func byTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
}

// String returns the line as people read it.
func (l Line) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %-18s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Message)
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if name == fieldRequest || l.Fields[name] == "" || l.Fields[name] == nil {
			continue
		}
		fmt.Fprintf(&text, " %s=%v", name, l.Fields[name])
	}
	return text.String()
}
