package command_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/command"
)

var _ = Describe("serve", func() {
	It("starts nothing with invalid settings, lists every finding and exits with 2", func() {
		path := writeTempFile("a.toml", "name = 1\nupstream-address = \"127.0.0.1:7600\"\nheartbeat = \"1s\"\n")
		code, out, errOut := run("serve", path)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(out).To(BeEmpty())
		for _, want := range []string{
			path + `: key "failure-domain" is missing`,
			path + `:1:8: "name" must be a text`,
			path + ":2:20: upstream-address and caller-address are on one address",
			path + `:3:1: unknown key "heartbeat"`,
		} {
			Expect(errOut).To(ContainSubstring(want))
		}
	})
})
