package command_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/command"
	"github.com/lovagelift/lovagelift/internal/quarantine"
)

var _ = Describe("quarantine", func() {
	var instance *fakeInstance
	digest := quarantine.Identity{Method: "POST", Target: "/v1/completions", Body: []byte("crash")}.Digest()

	BeforeEach(func(ctx SpecContext) {
		instance = newFakeInstance()
		for n := range 3 {
			Expect(instance.record(ctx, quarantine.Update{Now: time.Now(), Reports: []quarantine.Report{{
				Lifetime: quarantine.Lifetime{Upstream: fmt.Sprint("engine-", n)},
				Suspects: []quarantine.Suspect{{Digest: digest, Request: fmt.Sprint("r-", n)}},
			}}})).To(Succeed())
		}
	})

	runOperator := func(args ...string) (code int, out, errOut string) {
		tokenFile := writeTempFile("kim.token", validToken+"\n")
		return run(append(args, "--operator-address", instance.address, "--token-file", tokenFile)...)
	}

	It("lists requests with the upstreams that crashed on them", func() {
		code, out, _ := runOperator("quarantine")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(HavePrefix("quarantined " + digest.String() + "\n"))
		Expect(out).To(ContainSubstring("upstream engine-2 ended under request r-2\n"))
		code, out, _ = runOperator("quarantine", "--json")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(ContainSubstring(`"state": "quarantined"`))
	})

	It("releases the given requests, and may be repeated", func() {
		for range 2 {
			code, out, _ := runOperator("quarantine", "--lift", digest.String())
			Expect(code).To(Equal(command.ExitOK))
			Expect(out).To(Equal("no request is in quarantine or suspected\n"))
		}
	})

	It("releases nothing if a digest is invalid", func() {
		code, _, errOut := runOperator("quarantine", "--lift", digest.String(), "--lift", "5f")
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(ContainSubstring(`--lift: quarantine: "5f" is no digest`))
		_, out, _ := runOperator("quarantine")
		Expect(out).To(HavePrefix("quarantined"))
	})

	It("reports an unknown outcome if the response is lost", func() {
		instance.setLoseResponses(true)
		code, _, _ := runOperator("quarantine", "--lift", digest.String())
		Expect(code).To(Equal(command.ExitUnknown))
	})
})
