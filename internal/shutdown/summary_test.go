package shutdown_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/shutdown"
)

var _ = It("Summary tells what became of the requests since the shutdown began", func() {
	now := time.Unix(1000, 0)
	plan := shutdown.New[string]()
	plan.CountWhole()
	Expect(plan.Summary()).To(BeZero())
	plan.Begin(now, now, 3, shutdown.Schedule{BegunEnd: time.Minute})
	plan.CountTaken(now.Add(time.Second))
	plan.CountWhole()
	plan.CountUnfinished()
	plan.CountRefused("too-late")
	plan.CountLeft()
	plan.CountEarlyEnd(now.Add(2*time.Second), outcome.CallerLeft)
	plan.CountEarlyEnd(now.Add(3*time.Second), outcome.InstanceStopped)
	plan.CountEarlyEnd(now.Add(4*time.Second), outcome.InstanceStopped)
	var out bytes.Buffer
	log := zerolog.New(&out)
	log.Info().Object("requests", plan.Summary()).Send()
	Expect(out.String()).To(MatchJSON(`{"level":"info","requests":{"open":3,"taken":1,"whole":1,"unfinished":1,"left":1,
		"refused":{"too-late":1},"ended-early":{"caller-left":1,"instance-stopped":2},"last-taken":1000,"first-cut":3000}}`))
})
