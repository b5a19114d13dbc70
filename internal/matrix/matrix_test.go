package matrix_test

import (
	"os"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/matrix"
)

const (
	page     = "../../docs/FAULTS.md"
	packages = ".."
)

var _ = Describe("docs/FAULTS.md", func() {
	It("cites tests that exist and are always run, for each fault at each step", func() {
		text, err := os.ReadFile(page)
		Expect(err).NotTo(HaveOccurred())
		findings := matrix.Check("docs/FAULTS.md", string(text), packages)
		Expect(findings.Err()).NotTo(HaveOccurred())
	})

	// The cited tests are run if the only test command covers all packages and specs, and no ginkgo
	// container is focused (ginkgo fails a suite with a focused one). .ci/run takes the command
	// from README.md and adds the race detector.
	It("cites only tests that the test command runs", func() {
		readme, err := os.ReadFile("../../README.md")
		Expect(err).NotTo(HaveOccurred())
		commands := regexp.MustCompile("(?m)^go test .*$").FindAllString(string(readme), -1)
		Expect(commands).To(Equal([]string{"go test ./..."}))
		script, err := os.ReadFile("../../.ci/run")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(script)).To(ContainSubstring(`
test_command="$(grep -m1 -E '^go test ' README.md)"
test_command="${test_command/#go test/go test -race}"
echo "$test_command"
eval "$test_command"
`))
	})
})

// completePage returns a page that has a row for every fault at every step, each of which cites the
// given test.
func completePage(test string) string {
	var text strings.Builder
	writeSection := func(heading string, faults []string) {
		text.WriteString("\n## " + heading + "\n\n")
		for _, fault := range faults {
			text.WriteString("| " + fault + " | outcome | mechanism | `retry: " + test + "` |\n")
		}
	}
	for _, step := range matrix.Steps {
		writeSection(step, matrix.Faults)
	}
	writeSection(matrix.PairsHeading, matrix.FaultPairs)
	return text.String()
}

const (
	existingSpec  = "Budget is separate for each service"
	existingTable = "Budget denies another attempt"
)

var _ = Describe("Check", func() {
	It("accepts a complete page", func() {
		for _, test := range []string{existingSpec, existingTable, existingTable + " after the answer has begun", "TestRetry"} {
			findings := matrix.Check("page", completePage(test), packages)
			Expect(findings.Err()).NotTo(HaveOccurred())
		}
	})

	DescribeTable("rejects names that are not exact",
		func(test string) {
			findings := matrix.Check("page", completePage(test), packages)
			Expect(findings.Len()).To(Equal(len(matrix.Steps)*len(matrix.Faults) + len(matrix.FaultPairs)))
			Expect(findings.Err()).To(MatchError(ContainSubstring("has no test that is always run")))
		},
		Entry("misspelt", "Budget is separate for each services"),
		Entry("cut", "Budget is separate for each"),
		Entry("without its container", "is separate for each service"),
		Entry("with other capitals", "budget is separate for each service"),
		Entry("of a container", "Budget"),
	)

	DescribeTable("reports missing parts",
		func(old, replacement, problem string) {
			text := strings.Replace(completePage(existingSpec), old, replacement, 1)
			findings := matrix.Check("page", text, packages)
			Expect(findings.Err()).To(MatchError(ContainSubstring(problem)))
		},
		Entry("a step", "## Claim\n", "## Claims\n", `the section "Claim" is missing`),
		Entry("the pairs", "## Pairs\n", "## Others\n", `the section "Pairs" is missing`),
		Entry("a fault", "| Partition |", "| Other |", `has no row "Partition"`),
		Entry("a citation", "`retry: "+existingSpec+"`", "none", "cites no test and gives no reason"),
		Entry("a reason", "`retry: "+existingSpec+"`", matrix.NotCovered, "without a reason"),
		Entry("a row of its own", "| Partition |", "| Order late |", `"Order late" stands twice`),
	)

	It("accepts a reason instead of a test", func() {
		for _, mark := range []string{matrix.NotCovered, matrix.NotApplicable} {
			text := strings.Replace(completePage(existingSpec), "`retry: "+existingSpec+"`", mark+" because", 1)
			findings := matrix.Check("page", text, packages)
			Expect(findings.Err()).NotTo(HaveOccurred())
		}
	})
})

var _ = Describe("SpecsOf", func() {
	It("excludes pending, skipped, build-constrained and empty specs", func() {
		folder := GinkgoT().TempDir()
		write := func(name, text string) {
			Expect(os.WriteFile(folder+"/"+name, []byte(text), 0o600)).To(Succeed())
		}
		write("a_test.go", `package a
var _ = Describe("container", func() {
	It("runs", func() {})
	PIt("is pending", func() {})
	It("is pending by decorator", Pending, func() {})
	It("is skipped", func() { Skip("why") })
	Context("inside", func() { When("deeper", func() { It("runs", func() {}) }) })
	Context("skipped", func() { BeforeEach(func() { Skip("why") }); It("does not run", func() {}) })
	PContext("pending", func() { It("does not run", func() {}) })
	DescribeTable("empty", func() {})
	DescribeTable("table", func() {}, Entry("entry"), Entry("other", 1), PEntry("pending", 1))
})
func TestRuns(t *testing.T) {}
func TestSkipped(t *testing.T) { t.Skip() }
`)
		write("b_test.go", "//go:build never\n\npackage a\n\nfunc TestConstrained(t *testing.T) {}\n")
		specs, err := matrix.SpecsOf(folder)
		Expect(err).NotTo(HaveOccurred())
		Expect(specs).To(Equal(matrix.Specs{
			"container runs": true, "container inside deeper runs": true, "container table": true,
			"container table entry": true, "container table other": true, "TestRuns": true,
		}))
	})

	It("returns an error for a file that can't be parsed", func() {
		folder := GinkgoT().TempDir()
		Expect(os.WriteFile(folder+"/a_test.go", []byte("no Go"), 0o600)).To(Succeed())
		_, err := matrix.SpecsOf(folder)
		Expect(err).To(MatchError(ContainSubstring("matrix: parse")))
	})
})
