package chamber

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Quarantine returns what this replica knows of requests in quarantine.
func (v *Voter) Quarantine(now time.Time) quarantine.News {
	v.telling.Lock()
	defer v.telling.Unlock()
	news := v.bulletin.News(now, v.registry.Crashes())
	for _, change := range v.bulletin.Changes() {
		v.logQuarantine(change)
	}
	return news
}

// logQuarantine tells why a request is not sent any more, or that it may be again.
func (v *Voter) logQuarantine(change quarantine.Change) {
	if len(change.Crashes) == 0 {
		v.options.Log.Info().Stringer("digest", change.Digest).Msg("request out of quarantine")
		return
	}
	upstreams := make([]string, 0, len(change.Crashes))
	requests := make([]string, 0, len(change.Crashes))
	for _, crash := range change.Crashes {
		upstreams = append(upstreams, crash.Upstream)
		requests = append(requests, crash.Request)
	}
	v.options.Log.Warn().Stringer("digest", change.Digest).Strs("upstreams", upstreams).Strs("requests", requests).
		Msg("request in quarantine: upstreams end that run it")
}

// Crashes returns what this replica has recorded of requests that were at upstreams as
// those ended.
func (v *Voter) Crashes() quarantine.Records {
	return v.registry.Crashes()
}
