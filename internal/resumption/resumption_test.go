package resumption_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/resumption"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var _ = Describe("A constraint", func() {
	It("allows the version that began the stream and no other", func() {
		bound := resumption.BoundTo("v1")
		Expect(bound.Allows("v1")).To(BeTrue())
		Expect(bound.Allows("v1.1")).To(BeFalse())
		Expect(bound.Allows("")).To(BeFalse())
		Expect(resumption.BoundTo("").Allows("v1")).To(BeFalse())
	})

	It("that is zero allows all versions", func() {
		Expect(resumption.Constraint{}.Allows("v1")).To(BeTrue())
		Expect(resumption.Constraint{}.Allows("")).To(BeTrue())
	})
})

var _ = Describe("The origins of streams", func() {
	stream, origin := resumption.StreamOf("r1"), resumption.Origin{Service: "pool", SoftwareVersion: "v1"}

	It("are kept until the streams can't be resumed any more", func() {
		var origins resumption.Origins
		origins.Record(start, stream, origin, start.Add(15*time.Second))
		found, known := origins.Find(start.Add(14*time.Second), stream)
		Expect(known).To(BeTrue())
		Expect(found).To(Equal(origin))
		_, known = origins.Find(start.Add(15*time.Second), stream)
		Expect(known).To(BeFalse())
	})

	// Callers may state any time, and the origins of their streams must not fill the memory.
	It("are removed after the longest retention at the latest", func() {
		var origins resumption.Origins
		origins.Record(start, stream, origin, start.Add(1e6*time.Hour))
		later := start.Add(resumption.MaxRetention)
		origins.Record(later, resumption.StreamOf("r2"), origin, later.Add(time.Second))
		Expect(origins.Len()).To(Equal(1))
	})

	// A burst of callers that state a long time must not fill the memory either.
	It("are bounded in number", func() {
		var origins resumption.Origins
		for n := range resumption.MaxStreams + 10 {
			origins.Record(start, resumption.StreamID(n), origin, start.Add(time.Minute))
		}
		Expect(origins.Len()).To(Equal(resumption.MaxStreams))
		origins.Record(start.Add(time.Minute), stream, origin, start.Add(2*time.Minute))
		Expect(origins.Len()).To(Equal(1))
	})

	It("expire sooner once the streams are complete", func() {
		var origins resumption.Origins
		origins.Record(start, stream, origin, start.Add(15*time.Second))
		origins.Shorten(stream, start.Add(20*time.Second))
		origins.Shorten(stream, start.Add(5*time.Second))
		origins.Shorten(resumption.StreamOf("r2"), start)
		_, known := origins.Find(start.Add(5*time.Second), stream)
		Expect(known).To(BeFalse())
	})

	It("are listed without the expired and the reported ones", func() {
		var origins resumption.Origins
		origins.Record(start, stream, origin, start.Add(15*time.Second))
		origins.Record(start, resumption.StreamOf("r2"), origin, start.Add(time.Second))
		origins.Record(start, resumption.StreamOf("r3"), origin, start.Add(15*time.Second))
		origins.MarkReported(resumption.StreamOf("r3"))
		origins.Shorten(resumption.StreamOf("r3"), start.Add(10*time.Second))
		var records []resumption.Record
		for record := range origins.Unreported(start.Add(5 * time.Second)) {
			records = append(records, record)
		}
		Expect(records).To(ConsistOf(resumption.Record{Stream: stream, Origin: origin, Remaining: 10 * time.Second}))
	})
})

var _ = Describe("The software versions of a service", func() {
	It("are several while each was in use recently", func() {
		var versions resumption.Versions
		Expect(versions.Observe("pool", "v1", start)).To(BeFalse())
		Expect(versions.Observe("pool", "v2", start.Add(30*time.Second))).To(BeTrue())
		Expect(versions.Observe("pool", "v2", start.Add(time.Minute))).To(BeFalse())
		Expect(versions.Observe("desk", "v3", start)).To(BeFalse())
		Expect(versions.Several("pool", start)).To(BeTrue())
		Expect(versions.Several("pool", start.Add(time.Second))).To(BeFalse())
		Expect(versions.Several("desk", start)).To(BeFalse())
	})

	It("are one if no other was in use recently", func() {
		var versions resumption.Versions
		_, ok := versions.Only(start, "pool")
		Expect(ok).To(BeFalse(), "nothing is known")
		versions.Observe("pool", "v1", start)
		versions.Observe("pool", "v2", start.Add(time.Minute))
		_, ok = versions.Only(start, "pool")
		Expect(ok).To(BeFalse())
		only, ok := versions.Only(start.Add(time.Second), "pool")
		Expect(ok).To(BeTrue())
		Expect(only).To(Equal("v2"))
		Expect(versions.HasOther("v2", start.Add(time.Second), "pool")).To(BeFalse())
		Expect(versions.HasOther("v2", start, "pool")).To(BeTrue())
	})

	// Foreign announcements may name any services.
	It("are forgotten with services that no upstream has any more", func() {
		var versions resumption.Versions
		versions.Observe("pool", "v1", start)
		versions.Observe("desk", "v1", start.Add(resumption.MaxRetention+time.Second))
		_, ok := versions.Only(start, "pool")
		Expect(ok).To(BeFalse())
	})

	It("are forgotten after the longest retention", func() {
		var versions resumption.Versions
		versions.Observe("pool", "v1", start)
		later := start.Add(resumption.MaxRetention + time.Second)
		Expect(versions.Observe("pool", "v2", later)).To(BeFalse())
		Expect(versions.Several("pool", start)).To(BeFalse())
	})
})
