package counter

import (
	"time"

	"github.com/lovagelift/lovagelift/internal/coroner"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// FollowNews lets the instance apply news of the quarantine with ApplyNews, at the time that now returns.
func (i Instance) FollowNews(now func() time.Time) (stop func()) {
	i.proxy.crashes = coroner.New(coroner.Options{Now: now, Probation: true})
	return i.proxy.crashes.Close
}

// ApplyNews applies news of the quarantine.
func (i Instance) ApplyNews(news quarantine.News) {
	i.proxy.crashes.ApplyNews(news)
}
