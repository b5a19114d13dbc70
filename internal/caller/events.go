package caller

import (
	"bufio"
	"bytes"
	"io"
	"strings"
)

const (
	// maxLineBytes bounds a line of an event.
	maxLineBytes = 1 << 20
	// maxAnswerBytes bounds a stream of events, whose text is kept.
	maxAnswerBytes = 64 << 20
)

// eventStream reads the data of server-sent events.
type eventStream struct {
	lines *bufio.Scanner
	// afterCarriageReturn is true if the last line ended with a carriage return, to which a line feed
	// may belong.
	afterCarriageReturn bool
}

func newEventStream(body io.Reader) *eventStream {
	s := &eventStream{lines: bufio.NewScanner(io.LimitReader(body, maxAnswerBytes))}
	s.lines.Buffer(nil, maxLineBytes)
	s.lines.Split(s.splitLine)
	return s
}

// next returns the data of the next event that has any. It returns false at the end of the stream, which
// drops an event that is not ended.
func (s *eventStream) next() (string, bool) {
	var data []string
	for s.lines.Scan() {
		line := s.lines.Text()
		if line == "" && len(data) > 0 {
			return strings.Join(data, "\n"), true
		}
		if value, ok := strings.CutPrefix(line, "data:"); ok {
			data = append(data, strings.TrimPrefix(value, " "))
		}
	}
	return "", false
}

// err returns the error that ended the stream, or nil if that was its end.
func (s *eventStream) err() error {
	return s.lines.Err()
}

// splitLine is a bufio.SplitFunc for lines that end with a line feed, a carriage return, or both. It
// drops a line that is not ended.
func (s *eventStream) splitLine(data []byte, _ bool) (advance int, token []byte, err error) {
	if s.afterCarriageReturn && len(data) > 0 {
		s.afterCarriageReturn = false
		if data[0] == '\n' {
			advance, data = 1, data[1:]
		}
	}
	end := bytes.IndexAny(data, "\r\n")
	if end < 0 {
		return advance, nil, nil
	}
	s.afterCarriageReturn = data[end] == '\r'
	return advance + end + 1, data[:end], nil
}
