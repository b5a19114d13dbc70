package upstreamapi_test

import (
	"encoding/json"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/upstreamapi"
)

const validEngine = `{"name":"engine-1","incarnation":7,"sequence":3,"address":"127.0.0.1:7701",
"kind":"engine","failure-domain":"kgn-a","fencing":"checked","capabilities":["orders","from-the-future"],
"accelerators":[{"name":"a0","memory-bytes":100,"used-bytes":60}],
"resident":[{"model":"letters","version":"v1","accelerators":["a0"],"memory-bytes":60,"adapters":["clerk"]},
{"model":"letters","version":"v2"}],
"under-way":[{"id":"o1","accelerators":["a0"],"memory-bytes":10}],
"load":{"running":1,"waiting":0},"a-key-from-the-future":1}`

const validEvents = `{"name":"engine-1","incarnation":7,"first":4,
"events":[{"kind":"stored","model":"letters","prefix":"p1","tokens":512},{"kind":"cleared"}]}`

const validOrder = `{"id":"o1","number":1,"fencing":2,"incarnation":7,"kind":"load-model","model":"letters",
"accelerators":["a0"],"memory-bytes":60}`

func lines(list finding.List) []string {
	var all []string
	for _, f := range list.All() {
		all = append(all, f.String())
	}
	return all
}

// withChanges returns message with the value of each key replaced. A nil value
// removes the key.
func withChanges(message string, changes map[string]any) []byte {
	var fields map[string]any
	ExpectWithOffset(1, json.Unmarshal([]byte(message), &fields)).To(Succeed())
	for key, value := range changes {
		if value == nil {
			delete(fields, key)
			continue
		}
		fields[key] = value
	}
	data, err := json.Marshal(fields)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return data
}

type changes = map[string]any

var _ = Describe("Check", func() {
	It("accepts an announcement with unknown keys and capabilities", func() {
		a, findings := upstreamapi.DecodeAnnouncement([]byte(validEngine))
		Expect(lines(findings)).To(BeEmpty())
		Expect(a.Name).To(Equal("engine-1"))
		Expect(a.Has(upstreamapi.CapabilityOrders)).To(BeTrue())
		Expect(a.Has(upstreamapi.CapabilityCancel)).To(BeFalse())
	})

	It("reports all errors of an announcement at once", func() {
		_, findings := upstreamapi.DecodeAnnouncement([]byte(`{"address":"localhost:80","kind":"toaster"}`))
		Expect(lines(findings)).To(Equal([]string{
			`$.address: "localhost:80" is no IP number with a port; write it as 127.0.0.1:7701 or [::1]:7701`,
			`$.failure-domain: a name is missing; write one`,
			`$.incarnation: an incarnation is missing; write a number that grows with each start`,
			`$.kind: "toaster" is not known; write one of "engine", "service"`,
			`$.name: a name is missing; write one`,
			`$.sequence: a sequence is missing; count the announcements from 1`,
		}))
	})

	DescribeTable("reports an invalid announcement with the location of the error",
		func(change changes, expected string) {
			a, findings := upstreamapi.DecodeAnnouncement(withChanges(validEngine, change))
			Expect(lines(findings)).To(ContainElement(HavePrefix(expected)), "announcement %+v", a)
		},
		Entry("a name with a space", changes{"name": "engine 1"}, "$.name: the name"),
		Entry("a name that is too long", changes{"name": strings.Repeat("n", 257)}, "$.name: a name of 257 bytes"),
		Entry("an address without port", changes{"address": "127.0.0.1"}, "$.address"),
		Entry("port 0", changes{"address": "127.0.0.1:0"}, "$.address"),
		Entry("an unspecified address", changes{"address": "[::]:80"}, "$.address"),
		Entry("an unknown fencing", changes{"fencing": "maybe"}, "$.fencing"),
		Entry("an unknown role", changes{"role": "cook"}, "$.role"),
		Entry("an unknown authorization", changes{"order-authorization": "basic"}, "$.order-authorization"),
		Entry("services of an engine", changes{"services": []string{"pings"}}, "$.services"),
		Entry("a service upstream with models", changes{"kind": "service"}, "$.kind"),
		Entry("a service upstream without services", changes{"kind": "service"}, "$.services"),
		Entry("a service named twice", changes{"services": []string{"pings", "pings"}}, "$.services[1]"),
		Entry("an accelerator named twice", changes{"accelerators": []any{
			changes{"name": "a0", "memory-bytes": 1}, changes{"name": "a0", "memory-bytes": 1},
		}}, "$.accelerators[1].name"),
		Entry("an accelerator without memory", changes{"accelerators": []any{changes{"name": "a0"}}},
			"$.accelerators[0].memory-bytes"),
		Entry("negative used memory", changes{"accelerators": []any{changes{"name": "a0", "memory-bytes": 1, "used-bytes": -1}}},
			"$.accelerators[0].used-bytes"),
		Entry("a model named twice", changes{"resident": []any{changes{"model": "m"}, changes{"model": "m"}}}, "$.resident[1]"),
		Entry("a model on an unknown accelerator", changes{"resident": []any{
			changes{"model": "m", "accelerators": []string{"a9"}},
		}}, "$.resident[0].accelerators[0]"),
		Entry("a model with negative memory", changes{"resident": []any{changes{"model": "m", "memory-bytes": -1}}},
			"$.resident[0].memory-bytes"),
		Entry("an adapter named twice", changes{"resident": []any{
			changes{"model": "m", "adapters": []string{"a", "a"}},
		}}, "$.resident[0].adapters[1]"),
		Entry("an order in progress without id", changes{"under-way": []any{changes{}}}, "$.under-way[0].id"),
		Entry("negative role memory", changes{"role-memory-bytes": -1}, "$.role-memory-bytes"),
		Entry("a negative load", changes{"load": changes{"waiting": -1}}, "$.load.waiting"),
		Entry("a wrong type", changes{"incarnation": "seven"}, "$.incarnation: a string is of the wrong type"),
	)

	// An engine that reports more memory in use than it has still serves
	// requests, so the announcement is accepted. The memory ledger raises the
	// alarm.
	It("accepts a report of more memory in use than exists", func() {
		_, findings := upstreamapi.DecodeAnnouncement(withChanges(validEngine, changes{
			"resident": []any{changes{"model": "m", "accelerators": []string{"a0"}, "memory-bytes": 500}},
		}))
		Expect(lines(findings)).To(BeEmpty())
	})

	It("reports the line and column of a JSON syntax error", func() {
		_, findings := upstreamapi.DecodeAnnouncement([]byte("{\"name\":\"engine-1\",\n  \"kind\" engine}"))
		Expect(lines(findings)).To(ConsistOf(HavePrefix("body:2:10: broken JSON")))
	})

	It("accepts cache events and returns the next sequence number", func() {
		e, findings := upstreamapi.DecodeCacheEvents([]byte(validEvents))
		Expect(lines(findings)).To(BeEmpty())
		Expect(e.Next()).To(BeEquivalentTo(6))
	})

	DescribeTable("reports invalid cache events with the location of the error",
		func(change changes, expected string) {
			_, findings := upstreamapi.DecodeCacheEvents(withChanges(validEvents, change))
			Expect(lines(findings)).To(ContainElement(HavePrefix(expected)))
		},
		Entry("no name", changes{"name": nil}, "$.name"),
		Entry("no incarnation", changes{"incarnation": nil}, "$.incarnation"),
		Entry("no sequence number", changes{"first": nil}, "$.first"),
		Entry("a sequence number that overflows", changes{"first": uint64(18446744073709551615)}, "$.first"),
		Entry("a negative age", changes{"age": -1}, "$.age"),
		Entry("no events", changes{"events": []any{}}, "$.events"),
		Entry("an unknown kind", changes{"events": []any{changes{"kind": "lost"}}}, "$.events[0].kind"),
		Entry("no prefix", changes{"events": []any{changes{"kind": "evicted", "model": "m"}}}, "$.events[0].prefix"),
		Entry("negative tokens", changes{"events": []any{changes{"kind": "cleared", "tokens": -1}}}, "$.events[0].tokens"),
	)

	It("accepts an order", func() {
		o, findings := upstreamapi.DecodeOrder([]byte(validOrder))
		Expect(lines(findings)).To(BeEmpty())
		Expect(o.Kind).To(Equal(upstreamapi.OrderLoadModel))
	})

	DescribeTable("reports an invalid order with the location of the error",
		func(change changes, expected string) {
			_, findings := upstreamapi.DecodeOrder(withChanges(validOrder, change))
			Expect(lines(findings)).To(ContainElement(HavePrefix(expected)))
		},
		Entry("no id", changes{"id": nil}, "$.id"),
		Entry("no fencing number", changes{"fencing": nil}, "$: the number"),
		Entry("an unknown kind", changes{"kind": "explode"}, "$.kind"),
		Entry("no model", changes{"model": nil}, "$.model"),
		Entry("no memory", changes{"memory-bytes": nil}, "$.memory-bytes"),
		Entry("negative memory", changes{"memory-bytes": -1}, "$.memory-bytes"),
		Entry("an accelerator named twice", changes{"accelerators": []string{"a0", "a0"}}, "$.accelerators[1]"),
		Entry("no adapter", changes{"kind": "load-adapter"}, "$.adapter"),
		Entry("no role", changes{"kind": "change-role"}, "$.role"),
		Entry("the same version", changes{"kind": "change-version"}, "$.version"),
	)

	It("validates a load report", func() {
		Expect(lines(upstreamapi.LoadReport{Name: "e", Incarnation: 1, Sequence: 1}.Check())).To(BeEmpty())
		_, findings := upstreamapi.DecodeLoadReport([]byte(`{"load":{"running":-1}}`))
		Expect(lines(findings)).To(ConsistOf(HavePrefix("$.name"), HavePrefix("$.incarnation"),
			HavePrefix("$.sequence"), HavePrefix("$.load.running")))
	})

	It("validates a leave message", func() {
		leave, findings := upstreamapi.DecodeLeave([]byte(`{"name":"engine-1","incarnation":7}`))
		Expect(lines(findings)).To(BeEmpty())
		Expect(leave).To(Equal(upstreamapi.Leave{Name: "engine-1", Incarnation: 7}))
		_, findings = upstreamapi.DecodeLeave([]byte(`{}`))
		Expect(lines(findings)).To(ConsistOf(HavePrefix("$.name"), HavePrefix("$.incarnation")))
	})

	It("identifies final order states and request states that prove a request did not run", func() {
		Expect(upstreamapi.OrderRunning.Terminal()).To(BeFalse())
		Expect(upstreamapi.OrderUnknown.Terminal()).To(BeFalse())
		Expect(upstreamapi.OrderRefusedExpired.Terminal()).To(BeTrue())
		Expect(upstreamapi.RequestNeverSeen.NotRun()).To(BeFalse())
		Expect(upstreamapi.RequestBarred.NotRun()).To(BeTrue())
	})
})
