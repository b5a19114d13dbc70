// Package explain is the log search for one request: it collects the log lines that
// concern the request from the saved logs of several instances.
//
// It only selects and sorts lines and infers nothing. Lines that cannot be parsed are
// counted.
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
	// Fields are the remaining fields by name, without the level.
	Fields map[string]any
}

// History is the history of a request according to the logs.
type History struct {
	// Lines are the lines of the request itself. RelatedLines are lines without a request
	// from about the same time that concern the same instances, upstreams or model, or
	// a change of leader. Both are sorted by time.
	Lines        []Line
	RelatedLines []Line
	// QuarantineLines are the lines that explain the quarantine of the request: lines about
	// upstreams that terminated while they processed another request with the same
	// digest, and lines about the quarantine itself. They are sorted by time.
	QuarantineLines []Line
	// LineCount is the number of nonempty lines, and UnparsedCount the number of those
	// that could not be parsed.
	LineCount     int
	UnparsedCount int
}

// Log is the merged log of several instances.
type Log struct {
	lines         []Line
	lineCount     int
	unparsedCount int
}

const maxLineBytes = 1 << 20

// Read adds the lines of in. The JSON of a line may follow a prefix that another
// program has added. Read returns an error if reading in fails.
func (l *Log) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		l.lineCount++
		line, ok := parse(text)
		if !ok {
			l.unparsedCount++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return errors.Wrap(scanner.Err(), "explain: log")
}

// Names of fields in log lines.
const (
	fieldTime     = "time"
	fieldInstance = "instance"
	fieldMessage  = "message"
	fieldRequest  = "request"
	fieldLevel    = "level"
	fieldModel    = "model"
)

// parse returns false if text contains no JSON object or no valid time.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[start:], &fields); err != nil {
		return Line{}, false
	}
	var line Line
	timestamp, _ := fields[fieldTime].(string)
	var err error
	if line.Time, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
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

// History returns the history of the request with the given id.
func (l *Log) History(id string) History {
	history := History{LineCount: l.lineCount, UnparsedCount: l.unparsedCount}
	related := map[string]bool{}
	model := ""
	for _, line := range l.lines {
		if line.Fields[fieldRequest] != id {
			continue
		}
		history.Lines = append(history.Lines, line)
		related[line.Instance] = true
		if value, ok := line.Fields[fieldModel].(string); ok && value != "" {
			model = value
		}
		for _, name := range []string{"upstream", "engine"} {
			if value, ok := line.Fields[name].(string); ok {
				related[value] = true
			}
		}
	}
	if len(history.Lines) == 0 {
		return history
	}
	sortByTime(history.Lines)
	first, last := history.Lines[0].startTime(), history.Lines[len(history.Lines)-1].Time
	for _, line := range l.lines {
		if line.isRelated(related, model) && !line.Time.Before(first.Add(-lookback)) && !line.Time.After(last) {
			history.RelatedLines = append(history.RelatedLines, line)
		}
	}
	sortByTime(history.RelatedLines)
	history.QuarantineLines = l.quarantineLines(id, history.Lines)
	return history
}

const maxQuarantineLines = 40

// quarantineLines returns the lines that explain the quarantine of a request, limited to
// the newest. They are found by the digests in the request's own lines.
func (l *Log) quarantineLines(id string, ownLines []Line) []Line {
	var digests []string
	for _, line := range ownLines {
		digests = append(digests, line.digests()...)
	}
	slices.Sort(digests)
	digests = slices.Compact(digests)
	var related []Line
	for _, line := range l.lines {
		if line.Fields[fieldRequest] != id && line.explainsQuarantine(digests) {
			related = append(related, line)
		}
	}
	sortByTime(related)
	return related[max(0, len(related)-maxQuarantineLines):]
}

// digests returns the digests of the request and of parts of its prompt in a line.
func (l Line) digests() []string {
	var digests []string
	if digest, ok := l.Fields[quarantine.FieldDigest].(string); ok && digest != "" {
		digests = append(digests, digest)
	}
	parts, _ := l.Fields[quarantine.FieldParts].([]any)
	for _, part := range parts {
		if digest, ok := part.(string); ok && digest != "" {
			digests = append(digests, digest)
		}
	}
	return digests
}

// explainsQuarantine reports whether the line is about the quarantine of a request with one of
// the given digests, or about an upstream that terminated while it processed one.
// Some lines contain only a prefix of a digest.
func (l Line) explainsQuarantine(digests []string) bool {
	switch l.Message {
	case quarantine.LogEnded, quarantine.LogEntered, quarantine.LogPartEntered, quarantine.LogLeft, quarantine.LogLifted:
	default:
		return false
	}
	return slices.ContainsFunc(l.digests(), func(own string) bool {
		return slices.ContainsFunc(digests, func(digest string) bool {
			return strings.HasPrefix(own, digest) || strings.HasPrefix(digest, own)
		})
	})
}

// lookback is how long before the start of a request a line may explain its outcome, for
// example the loading of a model or the election of a leader.
const lookback = 10 * time.Second

// startTime returns the time of the line minus its "took" field in milliseconds, if any.
func (l Line) startTime() time.Time {
	if took, ok := l.Fields["took"].(float64); ok {
		return l.Time.Add(-time.Duration(took * float64(time.Millisecond)))
	}
	return l.Time
}

// isRelated reports whether the line belongs to no request and concerns the model, one of
// the related instances and upstreams, or a change of leader. Lines about other models
// are excluded, because they can be four out of five lines around a refusal.
func (l Line) isRelated(related map[string]bool, model string) bool {
	if _, hasRequest := l.Fields[fieldRequest]; hasRequest {
		return false
	}
	if lineModel, ok := l.Fields[fieldModel].(string); ok && lineModel != "" && model != "" {
		return lineModel == model
	}
	if related[l.Instance] {
		return true
	}
	for _, name := range []string{"upstream", "engine", "peer", "control"} {
		if value, ok := l.Fields[name].(string); ok && related[value] {
			return true
		}
	}
	return l.Message == "leader changed"
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
}

// String returns the line in human-readable form, without the request's id and without
// empty fields.
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
