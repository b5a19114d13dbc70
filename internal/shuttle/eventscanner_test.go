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

var _ = DescribeTable("EventScanner counts the events that a reader is given, and finds their IDs",
	func(stream string, dispatched int, hasID bool) {
		var whole, bytewise shuttle.EventScanner
		whole.Scan([]byte(stream))
		for i := range len(stream) {
			bytewise.Scan([]byte(stream[i : i+1]))
		}
		for _, scanner := range []shuttle.EventScanner{whole, bytewise} {
			Expect(scanner.Dispatched()).To(Equal(dispatched))
			Expect(scanner.HasID()).To(Equal(hasID))
		}
	},
	Entry("nothing", "", 0, false),
	Entry("two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, true),
	Entry("an event without a name", "data: a\n\n", 1, false),
	Entry("several lines of data", "data: a\ndata: b\ndata\n\n", 1, false),
	Entry("an event without data", "id: 1\nretry: 10\n\n", 0, true),
	Entry("a field before the name", "weights: 3\nid:7\ndata:a\n\n", 1, true),
	Entry("an event that has not ended", "data: a\n\nid: 2\ndata: b\n", 1, true),
	Entry("an ID that has not ended", "data: a\n\nid: 2", 1, false),
	Entry("comments and blank lines", ": data\n\n\n:id\ndata: a\n: id: 1\n\n\n", 1, false),
	Entry("carriage returns", "id: 1\rdata: a\r\rid: 2\r\ndata: b\r\n\r\n", 2, true),
	Entry("names that only begin or end alike", "idea: 1\ndatabase: a\n\nmy data: b\nvalid: 1\n\n", 0, false),
)
