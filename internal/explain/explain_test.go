package explain_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/explain"
)

const logText = `
{"level":"info","instance":"entry-2","time":"2026-12-02T08:00:03.000Z","request":"r7","upstream":"e1","send":1,"status":0,"took":40,"verdict":"may-have-run","message":"EOF"}
   2.0910 core-1 {"level":"info","instance":"core-1","time":"2026-12-02T08:00:02.500Z","engine":"e1","order":"unload","message":"order to an engine"}
{"level":"info","instance":"entry-2","time":"2026-12-02T08:00:03.001Z","request":"r7","status":502,"reason":"the upstream's answer was lost","message":"request not served"}
{"level":"info","instance":"entry-1","time":"2026-12-02T08:00:02.900Z","request":"r8","message":"answered"}
{"level":"warn","instance":"entry-2","time":"2026-12-02T08:00:01.000Z","control":"core-1","message":"control instance does not answer; going on with what is known"}
{"level":"info","instance":"entry-1","time":"2026-12-02T08:00:02.000Z","message":"draining"}
{"level":"info","instance":"entry-2","time":"2026-12-02T07:00:00.000Z","message":"started"}
{"level":"info","instance":"entry-2","time":"2026-12-02T08:0
no line of ours
`

var _ = Describe("Log", func() {
	historyOf := func(id string) explain.History {
		GinkgoHelper()
		var l explain.Log
		Expect(l.Read(strings.NewReader(logText))).To(Succeed())
		return l.History(id)
	}

	It("returns the lines of a request sorted by time", func() {
		lines := historyOf("r7").Lines
		Expect(lines).To(HaveLen(2))
		Expect(lines[0].String()).To(Equal(
			"08:00:03.000 entry-2            EOF send=1 status=0 took=40 upstream=e1 verdict=may-have-run"))
		Expect(lines[1].Fields["reason"]).To(Equal("the upstream's answer was lost"))
	})

	It("returns related lines from about the same time", func() {
		var messages []string
		for _, line := range historyOf("r7").RelatedLines {
			messages = append(messages, line.Message)
		}
		Expect(messages).To(Equal([]string{
			"control instance does not answer; going on with what is known", "order to an engine",
		}))
	})

	// A caller is refused because no engine has loaded its model. The leader's lines about
	// this model explain the refusal, but it logs eight lines per second about other models.
	It("returns lines about the request's model and excludes other models", func() {
		var l explain.Log
		Expect(l.Read(strings.NewReader(`
{"instance":"core-1","time":"2026-12-02T08:00:01.000Z","engine":"e1","model":"m","unload":true,"message":"placement move"}
{"instance":"core-1","time":"2026-12-02T08:00:01.100Z","engine":"e2","model":"other","message":"placement move"}
{"instance":"entry-1","time":"2026-12-02T08:00:01.200Z","model":"other","message":"not loaded"}
{"instance":"entry-1","time":"2026-12-02T08:00:02.000Z","request":"r1","model":"m","message":"request not served"}
`))).To(Succeed())
		related := l.History("r1").RelatedLines
		Expect(related).To(HaveLen(1))
		Expect(related[0].Fields["engine"]).To(Equal("e1"))
	})

	// A quarantined request is refused by an instance that has not received it before. The
	// cause is in the lines of attempts under other ids at other instances.
	It("returns lines of the other attempts that caused the quarantine of a request", func() {
		var l explain.Log
		Expect(l.Read(strings.NewReader(`
{"instance":"entry-1","time":"2026-12-02T08:00:01.000Z","request":"r1","digest":"aa11","upstream":"e1","message":"the upstream ended while it had the request"}
{"instance":"entry-1","time":"2026-12-02T08:00:01.001Z","request":"r9","digest":"bb22","upstream":"e1","message":"the upstream ended while it had the request"}
{"instance":"entry-2","time":"2026-12-02T08:00:02.000Z","request":"r2","digest":"aa11","upstream":"e2","message":"answered"}
{"instance":"core-1","time":"2026-12-02T08:00:03.000Z","digest":"aa11cc","upstreams":["e1"],"message":"request in quarantine: upstreams end that run it"}
{"instance":"entry-3","time":"2026-12-02T08:00:04.000Z","request":"r3","digest":"aa11cc","message":"request not served"}
`))).To(Succeed())
		lines := l.History("r3").QuarantineLines
		Expect(lines).To(HaveLen(2))
		Expect(lines[0].Fields["request"]).To(Equal("r1"))
		Expect(lines[1].Instance).To(Equal("core-1"))
	})

	// No attempt with a part that crashes upstreams is like another.
	It("returns the lines of other requests with the part for which a request was refused", func() {
		var l explain.Log
		Expect(l.Read(strings.NewReader(`
{"instance":"entry-1","time":"2026-12-02T08:00:01.000Z","request":"r1","digest":"aa11","parts":["dd77","ee88"],"upstream":"e1","message":"the upstream ended while it had the request"}
{"instance":"entry-1","time":"2026-12-02T08:00:01.001Z","request":"r9","digest":"bb22","parts":["ff99"],"upstream":"e1","message":"the upstream ended while it had the request"}
{"instance":"core-1","time":"2026-12-02T08:00:03.000Z","digest":"dd77cc","parts":["dd77"],"upstreams":["e1"],"message":"part of prompts in quarantine: upstreams end that answer on it"}
{"instance":"entry-3","time":"2026-12-02T08:00:04.000Z","request":"r3","digest":"cc33","parts":["dd77"],"message":"request not served"}
`))).To(Succeed())
		lines := l.History("r3").QuarantineLines
		Expect(lines).To(HaveLen(2))
		Expect(lines[0].Fields["request"]).To(Equal("r1"))
		Expect(lines[1].Instance).To(Equal("core-1"))
	})

	It("counts lines that cannot be parsed", func() {
		history := historyOf("r7")
		Expect(history.LineCount).To(Equal(9))
		Expect(history.UnparsedCount).To(Equal(2))
	})

	It("returns no lines for an unknown request", func() {
		Expect(historyOf("r9").Lines).To(BeEmpty())
		Expect(historyOf("r9").RelatedLines).To(BeEmpty())
	})
})
