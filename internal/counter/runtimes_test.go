package counter_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/counter"
)

// Instances that see a few requests of a model would report run times that contradict the owner's.
var _ = It("reports the run times of its own models, once for each change", func() {
	all := instanceAddresses(2)
	owned := map[string]time.Duration{}
	var instances []counter.Instance
	for _, self := range all {
		instance := counter.NewInstance(counter.NewUpstreamPool("here", lease), self, all)
		for i := range 20 {
			instance.ObserveRunTime("pool", fmt.Sprint("m", i), time.Second)
		}
		for model, runTime := range instance.ReportedRunTimes(start) {
			Expect(owned).NotTo(HaveKey(model))
			owned[model] = runTime
		}
		Expect(instance.ReportedRunTimes(start)).To(BeEmpty())
		instances = append(instances, instance)
	}
	Expect(owned).To(HaveLen(20))
	Expect(owned).To(HaveEach(time.Second))
	for _, instance := range instances {
		instance.ObserveRunTime("pool", "m0", 17*time.Second)
	}
	Expect(len(instances[0].ReportedRunTimes(start)) + len(instances[1].ReportedRunTimes(start))).To(Equal(1))
})
