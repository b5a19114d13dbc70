package standin

import "github.com/lovagelift/lovagelift/internal/upstreamapi"

// requestLogLimit is the number of requests that are remembered.
const requestLogLimit = 4096

// requestLog remembers what became of the newest requests. It is not safe for
// concurrent use.
type requestLog struct {
	entries map[string]logEntry
	// ids are in the order of arrival.
	ids []string
}

// logEntry holds the run of a request, or the state of one that has none.
type logEntry struct {
	run   *run
	state upstreamapi.RequestState
}

// Add remembers a request, and forgets the oldest beyond the limit.
func (l *requestLog) Add(id string, entry logEntry) {
	if l.entries == nil {
		l.entries = map[string]logEntry{}
	}
	if _, known := l.entries[id]; !known {
		l.ids = append(l.ids, id)
	}
	l.entries[id] = entry
	if len(l.ids) > requestLogLimit {
		delete(l.entries, l.ids[0])
		l.ids = l.ids[1:]
	}
}

// Find returns what is known of a request.
func (l *requestLog) Find(id string) logEntry {
	entry, known := l.entries[id]
	if !known {
		return logEntry{state: upstreamapi.RequestNeverSeen}
	}
	return entry
}

// Status returns the status of the request.
func (e logEntry) Status(id string) upstreamapi.RequestStatus {
	if e.run != nil {
		return e.run.Status()
	}
	return upstreamapi.RequestStatus{ID: id, State: e.state}
}
