package shuttle

// EventScanner follows an event stream to find out where it ends. The zero value is at the beginning
// of a stream.
type EventScanner struct {
	// insideLine is true after a byte of a line other than its end, and insideEvent until the blank
	// line that ends the event. Comments belong to no event. hasEvent is true once an event has begun.
	insideLine  bool
	insideEvent bool
	hasEvent    bool
	// hasEnded is true once a line has ended outside events: that of a comment, or the blank one of an
	// event.
	hasEnded bool
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
			s.insideEvent = s.insideEvent && s.insideLine
			s.insideLine = false
			s.hasEnded = s.hasEnded || !s.insideEvent
		case !s.insideLine:
			s.insideLine = true
			s.insideEvent = s.insideEvent || character != ':'
			s.hasEvent = s.hasEvent || s.insideEvent
		}
		s.afterCarriageReturn = character == '\r'
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
