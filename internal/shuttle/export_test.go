package shuttle

// StreamWithin is Stream with another time for a caller to take in a piece.
var StreamWithin = stream
