package routes_test

import (
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/routes"
)

// draft returns a draft of the given routes, with defaults for the fields that are not set.
func draft(list ...routes.Route) routes.Draft {
	for i := range list {
		list[i].Host = "example.test"
		if list[i].Timeout == 0 {
			list[i].Timeout = time.Second
		}
		if list[i].Kind == 0 {
			list[i].Kind = routes.Idempotent
		}
		if list[i].Shares == nil {
			list[i].Shares = []routes.Share{{Service: "desk", Weight: 1}}
		}
	}
	return routes.Draft{Version: 1, Routes: list, Services: []routes.Service{{Name: "desk"}, {Name: "pool"}}}
}

var _ = Describe("Table", func() {
	DescribeTable("matches the route of the host with the longest prefix",
		func(host, path, name string) {
			table, err := routes.New(draft(
				routes.Route{Name: "all", Prefix: "/"},
				routes.Route{Name: "drafts", Prefix: "/drafts/"},
				routes.Route{Name: "bulk", Prefix: "/drafts/bulk/"},
			))
			Expect(err).NotTo(HaveOccurred())
			route := table.Match(host, path)
			if name == "" {
				Expect(route).To(BeNil())
				return
			}
			Expect(route.Name).To(Equal(name))
		},
		Entry("the longest", "example.test", "/drafts/bulk/7", "bulk"),
		Entry("a shorter one", "example.test", "/drafts/7", "drafts"),
		Entry("whole path segments only", "example.test", "/draftsman", "all"),
		Entry("any case of the host", "Example.Test", "/drafts/", "drafts"),
		Entry("another host", "other.test", "/drafts/", ""),
	)

	DescribeTable("mixes urgency if it has batch routes beside interactive ones",
		func(mixes bool, objectives ...time.Duration) {
			var list []routes.Route
			for i, objective := range objectives {
				list = append(list, routes.Route{Name: "r", Prefix: "/" + string(rune('a'+i)) + "/", Objective: objective})
			}
			table, err := routes.New(draft(list...))
			Expect(err).NotTo(HaveOccurred())
			Expect(table.MixesUrgency()).To(Equal(mixes))
		},
		Entry("no objectives", false, 0*time.Second),
		Entry("interactive only", false, time.Second, 9999*time.Millisecond),
		Entry("batch only", false, 10*time.Second, time.Minute),
		Entry("batch beside none", false, 10*time.Second, 0*time.Second),
		Entry("both", true, 10*time.Second, 500*time.Millisecond),
	)

	It("splits requests by weight", func() {
		route := routes.Route{Shares: []routes.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		Expect(route.Service(0)).To(Equal("a"))
		Expect(route.Service(0.89)).To(Equal("a"))
		Expect(route.Service(0.91)).To(Equal("b"))
		Expect(route.Service(0.9999)).To(Equal("b"))
	})

	DescribeTable("reports whether a request may run more than once",
		func(route routes.Route, repeatable bool) {
			Expect(route.Repeatable()).To(Equal(repeatable))
		},
		Entry("idempotent", routes.Route{Kind: routes.Idempotent}, true),
		Entry("not idempotent", routes.Route{Kind: routes.NonIdempotent, Resumable: true}, false),
		Entry("stream", routes.Route{Kind: routes.Stream}, false),
		Entry("resumable stream", routes.Route{Kind: routes.Stream, Resumable: true}, true),
	)

	DescribeTable("finds a model of an engine by its name",
		func(engine routes.Engine, name string, megabytes float64, found bool) {
			table, err := routes.New(routes.Draft{Services: []routes.Service{{Name: "pool", Engine: &engine}}})
			Expect(err).NotTo(HaveOccurred())
			model, known := table.Service("pool").Engine.Model(name)
			Expect(model.Megabytes).To(Equal(megabytes))
			Expect(known).To(Equal(found))
		},
		Entry("the first of this name", routes.Engine{Models: []routes.Model{{Name: "a"}, {Name: "b", Megabytes: 2}, {Name: "b", Megabytes: 3}}}, "b", 2.0, true),
		Entry("of another", routes.Engine{Models: []routes.Model{{Name: "a", Megabytes: 1}}}, "b", 0.0, false),
		Entry("without models", routes.Engine{}, "b", 0.0, false),
	)

	It("reports all faults of a draft at once", func() {
		_, err := routes.New(draft(
			routes.Route{Name: "one", Prefix: "/a/"},
			routes.Route{Name: "two", Prefix: "/a/"},
			routes.Route{Name: "three", Prefix: "/c/", Timeout: -1},
			routes.Route{Name: "four", Prefix: "/d/", Shares: []routes.Share{{Service: "nobody", Weight: 1}}},
			routes.Route{Name: "five", Prefix: "/e/", Shares: []routes.Share{{Service: "desk"}, {Service: "pool"}}},
			routes.Route{Name: "six", Prefix: "f"},
			routes.Route{Name: "seven", Prefix: "/g/", Kind: 99},
		))
		var found *finding.Error
		Expect(errors.As(err, &found)).To(BeTrue())
		for _, fault := range []string{
			"it has the host and prefix of route one", "its timeout is not above 0", `"nobody", which is no service`,
			"its weights add up to 0", "does not begin and end with a slash", "its kind is not known",
		} {
			Expect(err.Error()).To(ContainSubstring(fault))
		}
	})
})
