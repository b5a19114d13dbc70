package routes_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/routes"
)

// tableOf returns a table of routes, each given as its prefix and services. A service after a minus has
// weight 0.
func tableOf(list ...[]string) *routes.Table {
	GinkgoHelper()
	var all []routes.Route
	for _, r := range list {
		route := routes.Route{Name: r[0], Prefix: r[0]}
		for _, service := range r[1:] {
			share := routes.Share{Service: service, Weight: 1}
			if service[0] == '-' {
				share = routes.Share{Service: service[1:]}
			}
			route.Shares = append(route.Shares, share)
		}
		all = append(all, route)
	}
	table, err := routes.New(draft(all...))
	Expect(err).NotTo(HaveOccurred())
	return table
}

var _ = Describe("The history of routes", func() {
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

	DescribeTable("has the services whose requests go elsewhere",
		func(former, successor []([]string), redirected, before string) {
			var history routes.History
			services := history.Replace(start, tableOf(former...), tableOf(successor...), time.Minute)
			Expect(fmt.Sprint(services)).To(Equal("map[" + redirected + "]"))
			known, ok := history.Services("Example.test", "/a/b/", start)
			Expect(ok).To(BeTrue())
			Expect(fmt.Sprint(known)).To(Equal("map[" + before + "]"))
		},
		Entry("of a route that moves", [][]string{{"/a/", "desk"}}, [][]string{{"/a/", "pool"}}, "desk:true", "desk:true"),
		Entry("of a route that is split", [][]string{{"/a/", "desk"}}, [][]string{{"/a/", "desk", "pool"}}, "desk:true", "desk:true"),
		Entry("of a share that ends", [][]string{{"/a/", "desk", "pool"}}, [][]string{{"/a/", "desk", "-pool"}}, "desk:true pool:true", "desk:true pool:true"),
		Entry("of a route that is removed", [][]string{{"/", "pool"}, {"/a/", "desk"}}, [][]string{{"/", "pool"}}, "desk:true", "desk:true"),
		Entry("of a part of a route", [][]string{{"/a/", "desk"}}, [][]string{{"/a/", "desk"}, {"/a/b/", "pool"}}, "desk:true", "desk:true"),
		Entry("of another path", [][]string{{"/a/", "desk"}, {"/c/", "pool"}}, [][]string{{"/a/", "desk"}}, "pool:true", ""),
		Entry("of none", [][]string{{"/a/", "desk", "-pool"}}, [][]string{{"/", "pool"}, {"/a/", "desk"}}, "", ""),
	)

	It("forgets tables after the retention", func() {
		var history routes.History
		old, other := tableOf([]string{"/", "desk"}), tableOf([]string{"/", "pool"})
		history.Replace(start, old, other, time.Minute)
		history.Replace(start.Add(time.Minute+1), other, old, time.Minute)
		services, ok := history.Services("example.test", "/", start)
		Expect(services).To(Equal(map[string]bool{"pool": true}))
		Expect(ok).To(BeTrue())
	})

	It("tells if it has forgotten earlier ones", func() {
		var history routes.History
		for n := range 20 {
			var before, after [][]string
			for route := range 1000 {
				prefix := fmt.Sprintf("/%d-%d/", n, route)
				before, after = append(before, []string{prefix, "desk"}), append(after, []string{prefix, "pool"})
			}
			history.Replace(start.Add(time.Duration(n)*time.Second), tableOf(before...), tableOf(after...), time.Minute)
		}
		_, ok := history.Services("example.test", "/", start)
		Expect(ok).To(BeFalse())
		known, ok := history.Services("example.test", "/19-7/", start.Add(19*time.Second))
		Expect(known).To(Equal(map[string]bool{"desk": true}))
		Expect(ok).To(BeTrue())
	})
})
