package quarantine_test

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

var _ = Describe("Digest", func() {
	request := quarantine.Identity{
		Caller: "desk", Method: "POST", Host: "spec.test", Target: "/write/x?page=1", Body: []byte("body"),
	}

	It("is the same for the same request", func() {
		again := request
		again.Body = []byte(strings.Clone("body"))
		Expect(again.Digest()).To(Equal(request.Digest()))
	})

	DescribeTable("differs by", func(change func(*quarantine.Identity)) {
		other := request
		change(&other)
		Expect(other.Digest()).NotTo(Equal(request.Digest()))
	},
		Entry("caller", func(i *quarantine.Identity) { i.Caller = "clerk" }),
		Entry("method", func(i *quarantine.Identity) { i.Method = "PUT" }),
		Entry("host", func(i *quarantine.Identity) { i.Host = "other.test" }),
		Entry("path", func(i *quarantine.Identity) { i.Target = "/write/y?page=1" }),
		Entry("query", func(i *quarantine.Identity) { i.Target = "/write/x?page=2" }),
		Entry("body", func(i *quarantine.Identity) { i.Body = nil }),
		// Without the lengths of the fields, a caller could construct two requests with
		// the same digest.
		Entry("boundary between two fields", func(i *quarantine.Identity) {
			i.Target, i.Body = "/write/x?page=1b", []byte("ody")
		}),
	)

	It("is the same after it is formatted and parsed", func() {
		text, err := request.Digest().MarshalText()
		Expect(err).NotTo(HaveOccurred())
		var parsed quarantine.Digest
		Expect(parsed.UnmarshalText(text)).To(Succeed())
		Expect(parsed).To(Equal(request.Digest()))
		Expect(parsed.UnmarshalText(text[1:])).NotTo(Succeed())
		Expect(string(text)).To(HavePrefix(parsed.Short()))
	})
})
