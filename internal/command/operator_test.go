package command_test

import (
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/command"
)

const kingston = "../../examples/declarations/kingston"

var _ = Describe("operators' commands", func() {
	var instance *fakeInstance
	var tokenFile string

	BeforeEach(func() {
		instance = newFakeInstance()
		tokenFile = writeTempFile("kim.token", validToken+"\n")
	})

	// runOperator runs an operators' command against the instance.
	runOperator := func(args ...string) (code int, out, errOut string) {
		return run(append(args, "--operator-address", instance.address, "--token-file", tokenFile)...)
	}

	// editedDeclarations returns the folder of a copy of the Kingston declarations
	// with one occurrence of old replaced.
	editedDeclarations := func(old, replacement string) string {
		folder := GinkgoT().TempDir()
		Expect(os.CopyFS(folder, os.DirFS(kingston))).To(Succeed())
		path := filepath.Join(folder, "presets.toml")
		data, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(old))
		Expect(os.WriteFile(path, []byte(strings.Replace(string(data), old, replacement, 1)), 0o600)).To(Succeed())
		return folder
	}

	It("plans and applies declarations, and changes nothing when repeated", func() {
		code, out, _ := runOperator("plan", kingston)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(HavePrefix("revision 0 is in force\nadd failure-domain kgn-a\n"))
		Expect(out).To(HaveSuffix("preset in force: \"\" → \"ordinary\"\nto bring it into force: lovagelift apply --expect 0 " + kingston + "\n"))
		code, out, _ = runOperator("apply", "--expect", "0", kingston)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("accepted as revision 1\n"))
		code, out, _ = runOperator("apply", "--expect", "0", kingston)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("in force already at revision 1\n"))
		code, out, _ = runOperator("plan", kingston)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("revision 1 is in force, preset ordinary\nnothing would change\n"))
	})

	It("shows the planned changes of each field without applying them", func() {
		runOperator("apply", "--expect", "0", kingston)
		folder := editedDeclarations("reserve-percent = 10", "reserve-percent = 12")
		code, out, _ := runOperator("plan", folder)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(ContainSubstring("\nchange preset ordinary\n    reserve-percent: \"10\" → \"12\"\nto bring"))
		code, out, _ = runOperator("plan", "--json", "--preset", "peak", folder)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(MatchJSON(`{"revision": 1, "fresh": true, "preset": "ordinary", "new-preset": "peak", "changes": [
			{"change": "change", "item": "preset ordinary", "fields": [{"name": "reserve-percent", "before": "10", "after": "12"}]}]}`))
		Expect(instance.cache.Latest().Revision).To(BeEquivalentTo(1))
	})

	It("rejects a change that would overwrite another operator's, with a distinct exit code", func() {
		// Two operators plan at revision 1 and the first one applies. The second
		// one's change must be rejected, and the error must name the first change.
		runOperator("apply", "--expect", "0", kingston)
		code, _, _ := runOperator("apply", "--expect", "1", editedDeclarations("reserve-percent = 10", "reserve-percent = 12"))
		Expect(code).To(Equal(command.ExitOK))
		code, out, errOut := runOperator("apply", "--expect", "1", editedDeclarations("reserve-percent = 10", "reserve-percent = 13"))
		Expect(code).To(Equal(command.ExitConflict))
		Expect(out).To(BeEmpty())
		Expect(errOut).To(ContainSubstring("revision 2 is in force\nrevision 2 by kim at "))
	})

	It("tells the first answer to a change that is resent after its answer was lost", func() {
		// The instance accepts the change and crashes before it responds, so the
		// outcome is unknown. Another operator's change follows. The repeated
		// command must neither apply the change again nor report it as rejected.
		runOperator("apply", "--expect", "0", kingston)
		folder := editedDeclarations("reserve-percent = 10", "reserve-percent = 12")
		instance.setLoseResponses(true)
		code, out, errOut := runOperator("apply", "--expect", "1", folder)
		Expect(code).To(Equal(command.ExitUnknown))
		Expect(out).To(BeEmpty())
		Expect(errOut).To(ContainSubstring("run the same command again"))
		instance.setLoseResponses(false)
		runOperator("apply", "--expect", "2", editedDeclarations("reserve-percent = 10", "reserve-percent = 14"))
		code, out, _ = runOperator("apply", "--expect", "1", "--json", folder)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(ContainSubstring("\"revision\": 2,\n  \"in-force\": 3,\n  \"changed\": true"))
		Expect(instance.cache.Latest().Revision).To(BeEquivalentTo(3))
		Expect(instance.cache.Latest().Declarations.InitialPreset().ReservePercent).To(Equal(14))
	})

	It("rejects invalid declarations without contacting an instance", func() {
		code, _, errOut := run("apply", "--expect", "0", "--token-file", tokenFile, "--operator-address", "127.0.0.1:1",
			editedDeclarations(`"status-answer"`, `"status-anser"`))
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(ContainSubstring(`presets.toml:11:15: model "status-anser" is not declared; write "status-answer"`))
	})

	It("requires a preset if the declarations lack the active one", func() {
		runOperator("apply", "--expect", "0", "--preset", "peak", kingston)
		folder := editedDeclarations(`name = "peak"`, `name = "busy"`)
		code, _, errOut := runOperator("apply", "--expect", "1", folder)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(Equal("preset: preset \"peak\" is not declared; the presets are busy, maintenance, ordinary\n"))
		code, out, _ := runOperator("apply", "--expect", "1", "--preset", "busy", folder)
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("accepted as revision 2\n"))
	})

	It("shows the presets and changes the active one", func() {
		runOperator("apply", "--expect", "0", kingston)
		code, out, _ := runOperator("preset")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("revision 1\nmaintenance\nordinary (in force)\npeak\n"))
		code, out, _ = runOperator("preset", "--expect", "1", "peak")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("accepted as revision 2\n"))
		code, out, _ = runOperator("preset", "--expect", "1", "peak")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("in force already at revision 2\n"))
		code, _, errOut := runOperator("preset", "--expect", "2", "paek")
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(ContainSubstring(`write "peak"`))
		code, out, _ = runOperator("preset", "--json")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(MatchJSON(`{"revision": 2, "fresh": true, "preset": "peak", "declared": ["maintenance", "ordinary", "peak"]}`))
	})

	It("requires the expected revision for a change", func() {
		for _, args := range [][]string{{"apply", kingston}, {"preset", "peak"}} {
			code, _, errOut := runOperator(args...)
			Expect(code).To(Equal(command.ExitBadInput))
			Expect(errOut).To(HavePrefix("--expect: the revision that the change was made for is missing"))
		}
		Expect(instance.cache.Latest().Revision).To(BeZero())
	})

	It("leaves the decision to the replicated state if the instance may be outdated", func() {
		// The instance lost its configuration lease at revision 1, with the preset
		// ordinary. The configuration that it reports may be outdated.
		runOperator("apply", "--expect", "0", kingston)
		instance.mu.Lock()
		instance.stale = true
		instance.mu.Unlock()
		code, out, _ := runOperator("preset", "--expect", "1", "ordinary")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal("accepted as revision 2\n"))
		_, out, _ = runOperator("plan", kingston)
		Expect(out).To(ContainSubstring("could not confirm that nothing newer is in force"))
	})

	It("shows the state of the instance", func() {
		runOperator("apply", "--expect", "0", kingston)
		code, out, _ := runOperator("status")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(Equal(`instance a in kgn-a, version 1: serving
revision 1, preset ordinary, leader b in term 5, 2 requests in progress

INSTANCE  ADDRESS         FAILURE DOMAIN  VOTER  STATE    REQUESTS  LAST HEARD
b         127.0.0.1:7610  kgn-b           true   serving  0         120ms ago

UPSTREAM  KIND    ADDRESS         FAILURE DOMAIN  STATE    RUNNING  WAITING  HOLDS
e1        engine  127.0.0.1:9000  kgn-a           leaving  4        0        base, base-kgn
`))
		code, out, _ = runOperator("status", "--json")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(ContainSubstring(`"failure-domain": "kgn-a"`))
	})

	It("drains the one instance that is named", func() {
		code, _, errOut := run("drain", "--token-file", tokenFile)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(ContainSubstring("drain stops one instance, and 0 are named"))
		instance.setLoseResponses(true)
		code, _, _ = runOperator("drain")
		Expect(code).To(Equal(command.ExitUnknown))
		instance.setLoseResponses(false)
		code, out, _ := runOperator("drain")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(HavePrefix("draining, 2 requests in progress"))
		Expect(instance.drained).To(BeTrue())
	})

	DescribeTable("reports invalid flags",
		func(want string, args ...string) {
			code, _, errOut := run(append([]string{"status"}, args...)...)
			Expect(code).To(Equal(command.ExitBadInput))
			Expect(errOut).To(ContainSubstring(want))
		},
		Entry("a token file without a token", "/dev/null is empty", "--token-file", "/dev/null"),
		Entry("a missing token file", "--token-file: open no-such-file", "--token-file", "no-such-file"),
		Entry("an invalid address", `--operator-address: "localhost:1" is no IP number and port`, "--operator-address", "localhost:1"),
		Entry("an invalid certificate file", "holds no certificate", "--ca", "operator_test.go"),
		Entry("a timeout of zero", "--timeout: 0s is no time to wait", "--timeout", "0s"),
	)

	It("fails without a valid token or a reachable instance", func() {
		code, _, errOut := run("status", "--operator-address", instance.address, "--token-file", writeTempFile("x", "another token"))
		Expect(code).To(Equal(command.ExitFailed))
		Expect(errOut).To(ContainSubstring("token is missing or wrong"))
		code, _, errOut = run("status", "--operator-address", instance.address)
		Expect(code).To(Equal(command.ExitFailed))
		Expect(errOut).To(ContainSubstring("token is missing or wrong"))
		code, _, errOut = run("status", "--operator-address", "127.0.0.1:1", "--token-file", tokenFile)
		Expect(code).To(Equal(command.ExitFailed))
		Expect(errOut).To(ContainSubstring("connection refused"))
	})
})
