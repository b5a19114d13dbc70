package standin

import "github.com/lovagelift/lovagelift/internal/upstreamapi"

// requestLogLimit is the maximum number of requests in the log.
const requestLogLimit = 4096

// requestLog stores the outcome of recent requests. It is not safe for
// concurrent use.
type requestLog struct {
	entries map[string]logEntry
	// ids are in arrival order.
	ids []string
}

// logEntry is the run of a request, or its state if it has no run.
type logEntry struct {
	run   *run
	state upstreamapi.RequestState
}

// Add stores a request and removes the oldest one beyond the limit.
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

// Find returns RequestNeverSeen as the state of an unknown request.
func (l *requestLog) Find(id string) logEntry {
	entry, known := l.entries[id]
	if !known {
		return logEntry{state: upstreamapi.RequestNeverSeen}
	}
	return entry
}

func (e logEntry) Status(id string) upstreamapi.RequestStatus {
	if e.run != nil {
		return e.run.Status()
	}
	return upstreamapi.RequestStatus{ID: id, State: e.state}
}
