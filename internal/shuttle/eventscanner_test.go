package shuttle_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/shuttle"
)

var _ = DescribeTable("EventScanner tells whether a stream ends inside an event",
	func(stream string, inside bool) {
		var whole, bytewise shuttle.EventScanner
		whole.Scan([]byte(stream))
		for i := range len(stream) {
			bytewise.Scan([]byte(stream[i : i+1]))
		}
		Expect(whole.InsideEvent()).To(Equal(inside))
		Expect(bytewise.InsideEvent()).To(Equal(inside), "read byte by byte")
	},
	Entry("nothing", "", false),
	Entry("one event", "id: 1\ndata: a\n\n", false),
	Entry("in a field", "id: 1\ndata: a\n\nid: 2", true),
	Entry("in a value", "data: a\n\ndata: wor", true),
	Entry("after a line", "data: a\n\ndata: b\n", true),
	Entry("carriage returns", "data: a\r\rdata: b\r\r", false),
	Entry("after a carriage return", "data: a\r\rdata: b\r", true),
	Entry("both line ends", "data: a\r\n\r\n", false),
	Entry("after both line ends", "data: a\r\n", true),
	Entry("blank lines", "\n\ndata: a\n\n\n", false),
	Entry("comments", ": keep-alive\n\ndata: a\n\n: keep-alive", false),
	Entry("a comment in an event", "data: a\n: keep-alive\n", true),
)
