package backoffice_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/backoffice"
	"github.com/lovagelift/lovagelift/internal/resumption"
	"github.com/lovagelift/lovagelift/internal/routes"
)

var _ = DescribeTable("The last copies at each version are kept for as long as streams may be resumed",
	func(resumable bool, service string, kept time.Duration, versions ...string) {
		table, err := routes.New(routes.Draft{
			Version: 1, Services: []routes.Service{{Name: "pool"}, {Name: "desk"}},
			Routes: []routes.Route{{
				Name: "r", Host: "h", Prefix: "/", Kind: routes.Stream, Resumable: resumable, Timeout: 20 * time.Second, MaxAttempts: 1,
				Shares: []routes.Share{{Service: "pool", Weight: 1}},
			}},
		})
		Expect(err).NotTo(HaveOccurred())
		var update resumption.RecordsUpdate
		for _, version := range versions {
			for _, of := range []string{"pool", "desk"} {
				update.Added = append(update.Added, resumption.ServiceVersion{Service: of, Version: version})
			}
		}
		Expect(backoffice.KeptTimeout(table, resumption.Records{}.With(update), service)).To(Equal(kept))
	},
	Entry("of several versions", true, "pool", 20*time.Second, "v1", "v2"),
	Entry("but not of the only one", true, "pool", time.Duration(0), "v1"),
	Entry("nor of a service whose streams are not resumed", true, "desk", time.Duration(0), "v1", "v2"),
	Entry("nor if no streams are", false, "pool", time.Duration(0), "v1", "v2"),
)
