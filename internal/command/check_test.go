package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/command"
)

// run runs a command and returns its exit code, standard output and standard error.
func run(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = command.Run(context.Background(), args, command.Streams{Out: &stdout, Err: &stderr})
	return code, stdout.String(), stderr.String()
}

func exampleFiles(pattern string) []string {
	paths, err := filepath.Glob("../../examples/" + pattern)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, paths).NotTo(BeEmpty())
	return paths
}

// writeTempFile writes a file into a new temporary folder and returns its path.
func writeTempFile(name, text string) string {
	path := filepath.Join(GinkgoT().TempDir(), name)
	ExpectWithOffset(1, os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

var _ = Describe("check", func() {
	It("passes on all examples", func() {
		paths := append(exampleFiles("three/*.toml"), exampleFiles("declarations/*")...)
		code, out, errOut := run(append([]string{"check"}, paths...)...)
		Expect(errOut).To(BeEmpty())
		Expect(out).To(Equal("good: 3 settings files, 1 token files, 2 declaration folders\n"))
		Expect(code).To(Equal(command.ExitOK))
	})

	It("reports all findings of all paths and exits with 2", func() {
		bad := writeTempFile("bad.toml", "name = 1\n")
		folder := filepath.Dir(writeTempFile("decl.toml", "[[preset]]\nname = \"x\"\n"))
		tokens := writeTempFile("tokens.toml", "[[token]]\nname = \"kim\"\nsha256 = \"x\"\n")
		code, out, errOut := run("check", bad, folder, tokens, "no-such-file.toml")
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(out).To(BeEmpty())
		lines := strings.Split(strings.TrimSpace(errOut), "\n")
		Expect(lines).To(ConsistOf(
			HavePrefix(bad+": key \"failure-domain\" is missing"),
			HavePrefix(bad+": no instance is a voter"),
			HavePrefix(bad+":1:8: \"name\" must be a text"),
			HavePrefix(tokens+":3:10: sha256 must be 64 hexadecimal digits"),
			HavePrefix(folder+"/decl.toml:1:3: no preset is the first"),
			HavePrefix("no-such-file.toml: stat no-such-file.toml: no such file"),
		))
	})

	It("writes the findings as JSON for scripts", func() {
		bad := writeTempFile("bad.toml", "x = \n")
		code, out, errOut := run("check", "--json", bad)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(BeEmpty())
		Expect(out).To(MatchJSON(`{"findings": [{"file": "` + bad + `", "line": 1, "column": 5, ` +
			`"problem": "broken TOML: toml: unexpected character U+000A at start of value"}]}`))
	})

	It("finds contradictions between the settings of instances", func() {
		data, err := os.ReadFile(exampleFiles("three/instance-b.toml")[0])
		Expect(err).NotTo(HaveOccurred())
		contradicting := strings.NewReplacer("voter = true\ndata-folder", "voter = false\ndata-folder", `failure-domain = "kgn-b"`, `failure-domain = "kgn-x"`,
			"127.0.0.1:7613", "127.0.0.1:7614").Replace(string(data)) + "[timing]\nheartbeat = \"50ms\"\n"
		a, b := exampleFiles("three/instance-a.toml")[0], writeTempFile("instance-b.toml", contradicting)
		code, _, errOut := run("check", a, b)
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(strings.Split(strings.TrimSpace(errOut), "\n")).To(ConsistOf(
			ContainSubstring(`instance "b" has the inner-address 127.0.0.1:7613 here, and its own settings in `+b),
			ContainSubstring(`instance "b" has the failure-domain kgn-b here`),
			ContainSubstring(`instance "b" has voter = true here`),
			ContainSubstring("the timing differs from that in"),
		))
	})

	It("finds two settings files of the same instance", func() {
		a := exampleFiles("three/instance-a.toml")[0]
		data, err := os.ReadFile(a)
		Expect(err).NotTo(HaveOccurred())
		code, _, errOut := run("check", a, writeTempFile("copy.toml", string(data)))
		Expect(code).To(Equal(command.ExitBadInput))
		Expect(errOut).To(ContainSubstring(`instance "a" has settings in `))
	})
})

var _ = Describe("version", func() {
	It("prints the version for people and for scripts", func() {
		code, out, _ := run("version")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(HavePrefix("lovagelift development, go"))
		code, out, _ = run("version", "--json")
		Expect(code).To(Equal(command.ExitOK))
		Expect(out).To(ContainSubstring(`"version": "development"`))
	})
})
