// Package matrix is the consistency check of the fault matrix, docs/FAULTS.md: each test that the
// page cites must exist under exactly that name and be run by `go test ./...`.
package matrix

import (
	"path/filepath"
	"regexp"
	"strings"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// Steps are the steps at which each fault can occur, as in the headings of the page.
var Steps = []string{
	"Announcing", "Entry lookup", "Request", "Claim", "Order",
	"Configuration change", "Preset change", "Planned stop", "Restart",
	"Voter replacement",
}

// Faults are the required faults, as in the first column of each table.
var Faults = []string{
	"Demand shifts", "Order lost", "Order late", "Process dies", "Partition",
	"Operators race", "Change resent", "Second loss after a repair",
	"Restart after hundreds of changes", "Silent connection", "The same twice",
}

// FaultPairs are the most important combinations of faults, as in the section PairsHeading.
var FaultPairs = []string{
	"Partition and operators' race", "Repair and second loss",
	"Preset change and lost orders", "Drain and silent connection",
	"Leader change and late order",
}

// PairsHeading is the heading of the section of FaultPairs.
const PairsHeading = "Pairs"

const (
	// NotCovered marks a row without a test. A reason must follow it.
	NotCovered = "not yet covered:"
	// NotApplicable marks a row whose fault can't occur at its step. A reason must follow it.
	NotApplicable = "does not apply:"
)

// citation matches the name of a package below internal, a colon and the full name of a test.
var citation = regexp.MustCompile("`([a-z]+): ([^`]+)`")

// Check returns the errors of a page: a step, a fault or a pair that is missing or duplicated, a
// row that neither cites a test nor gives a reason, and a citation of a test that does not exist or
// is not always run. The packages are the folders below root.
func Check(file string, page string, root string) finding.List {
	c := checker{file: file, root: root, specs: map[string]Specs{}}
	c.parse(page)
	for _, step := range Steps {
		c.checkSection(step, Faults)
	}
	c.checkSection(PairsHeading, FaultPairs)
	return c.findings
}

// row is a line of a table: its number and the text after the first cell.
type row struct {
	line int
	text string
}

type checker struct {
	file     string
	root     string
	specs    map[string]Specs
	rows     map[string]map[string]row
	findings finding.List
}

// parse collects the rows of each section and checks all citations, including those outside of
// tables.
func (c *checker) parse(page string) {
	c.rows = map[string]map[string]row{}
	heading, lineNumber := "", 0
	for line := range strings.SplitSeq(page, "\n") {
		lineNumber++
		for _, match := range citation.FindAllStringSubmatch(line, -1) {
			c.checkCitation(lineNumber, match[1], match[2])
		}
		if title, found := strings.CutPrefix(line, "## "); found {
			heading = strings.TrimSpace(title)
			if c.rows[heading] != nil {
				c.report(lineNumber, "the section \""+heading+"\" stands twice")
			}
			c.rows[heading] = map[string]row{}
			continue
		}
		cells := strings.SplitN(line, "|", 3)
		if heading == "" || len(cells) < 3 {
			continue
		}
		fault := strings.TrimSpace(cells[1])
		if _, twice := c.rows[heading][fault]; twice {
			c.report(lineNumber, "\""+fault+"\" stands twice in its section")
		}
		c.rows[heading][fault] = row{line: lineNumber, text: cells[2]}
	}
}

func (c *checker) checkSection(heading string, faults []string) {
	rows, found := c.rows[heading]
	if !found {
		c.report(0, "the section \""+heading+"\" is missing")
		return
	}
	for _, fault := range faults {
		row, found := rows[fault]
		if !found {
			c.report(0, "the section \""+heading+"\" has no row \""+fault+"\"")
			continue
		}
		c.checkCoverage(fault, row)
	}
}

func (c *checker) checkCoverage(fault string, row row) {
	for _, mark := range []string{NotCovered, NotApplicable} {
		_, reason, marked := strings.Cut(row.text, mark)
		if marked && strings.Trim(reason, " |.") == "" {
			c.report(row.line, "\""+fault+"\" is marked \""+mark+"\" without a reason")
		}
		if marked {
			return
		}
	}
	if !citation.MatchString(row.text) {
		c.report(row.line, "\""+fault+"\" cites no test and gives no reason")
	}
}

func (c *checker) checkCitation(line int, folder string, test string) {
	specs, read := c.specs[folder]
	if !read {
		var err error
		specs, err = SpecsOf(filepath.Join(c.root, folder))
		if err != nil {
			c.report(line, err.Error())
		}
		c.specs[folder] = specs
	}
	if !specs[test] {
		c.report(line, "the package "+folder+" has no test that is always run with the name \""+test+"\"")
	}
}

func (c *checker) report(line int, problem string) {
	c.findings.Add(finding.Place{File: c.file, Line: line}, problem, "")
}
