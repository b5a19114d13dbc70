package shuttle

// Names of the fields of an event that an EventScanner looks for.
const (
	idField   = "id"
	dataField = "data"
)

// EventScanner follows an event stream to find out where it ends and what it has brought. The zero value
// is at the beginning of a stream.
type EventScanner struct {
	// insideLine is true after a byte of a line other than its end, and insideEvent until the blank
	// line that ends the event. Comments belong to no event. hasEvent is true once an event has begun.
	insideLine  bool
	insideEvent bool
	hasEvent    bool
	// hasEnded is true once a line has ended outside events: that of a comment, or the blank one of an
	// event.
	hasEnded bool
	// field is the beginning of the name of the current line's field, up to one byte more than the longest
	// one looked for. fieldEnded is true from the colon on.
	field       [len(dataField) + 1]byte
	fieldLength int
	fieldEnded  bool
	// hasData is true once the current event has data. dispatched is the number of whole events with
	// data, and hasID is true once a field has named the ID of an event.
	hasData    bool
	dispatched int
	hasID      bool
	// afterCarriageReturn is true if the last byte was a carriage return, which ends a line alone or
	// together with a line feed.
	afterCarriageReturn bool
}

// Scan advances the scanner by a piece of the stream.
func (s *EventScanner) Scan(piece []byte) {
	for _, character := range piece {
		switch {
		case character == '\n' && s.afterCarriageReturn:
		case character == '\n' || character == '\r':
			s.endLine()
		default:
			s.insideEvent = s.insideEvent || !s.insideLine && character != ':'
			s.insideLine = true
			s.hasEvent = s.hasEvent || s.insideEvent
			s.scanField(character)
		}
		s.afterCarriageReturn = character == '\r'
	}
}

// scanField advances the scanner by a byte of a line.
func (s *EventScanner) scanField(character byte) {
	s.fieldEnded = s.fieldEnded || character == ':'
	if !s.fieldEnded && s.fieldLength < len(s.field) {
		s.field[s.fieldLength] = character
		s.fieldLength++
	}
}

// endLine advances the scanner by the end of a line.
func (s *EventScanner) endLine() {
	field := string(s.field[:s.fieldLength])
	s.hasID = s.hasID || field == idField
	s.hasData = s.hasData || field == dataField
	s.fieldLength, s.fieldEnded = 0, false
	s.insideEvent = s.insideEvent && s.insideLine
	s.insideLine = false
	s.hasEnded = s.hasEnded || !s.insideEvent
	if !s.insideEvent && s.hasData {
		s.dispatched++
		s.hasData = false
	}
}

// InsideEvent reports whether the stream has ended inside an event if it ends here.
func (s *EventScanner) InsideEvent() bool {
	return s.insideEvent
}

// HasEvent reports whether an event has begun.
func (s *EventScanner) HasEvent() bool {
	return s.hasEvent
}

// Dispatched returns the number of whole events that a reader of the stream is given, which are those with
// data.
func (s *EventScanner) Dispatched() int {
	return s.dispatched
}

// HasID reports whether a field has named the ID of an event, at which the stream can be resumed.
func (s *EventScanner) HasID() bool {
	return s.hasID
}
