// Package matrix checks the fault matrix, docs/FAULTS.md: each test that it
// cites must exist under exactly that name and be run by `go test ./...`.
package matrix

import (
	"path/filepath"
	"regexp"
	"strings"

	"github.com/lovagelift/lovagelift/internal/finding"
)

// Steps are the steps that each fault may hit, as the headings of the page
// name them.
var Steps = []string{
	"Announcing", "Entry lookup", "Request", "Claim", "Order",
	"Configuration change", "Preset change", "Planned stop", "Restart",
	"Voter replacement",
}

// Faults are the faults of the brief, as the first column of each table names
// them.
var Faults = []string{
	"Demand shifts", "Order lost", "Order late", "Process dies", "Partition",
	"Operators race", "Change resent", "Second loss after a repair",
	"Restart after hundreds of changes", "Silent connection", "The same twice",
}

// Pairs are the faults that matter most when they come together, as the
// section of that name lists them.
var Pairs = []string{
	"Partition and operators' race", "Repair and second loss",
	"Preset change and lost orders", "Drain and silent connection",
	"Leader change and late order",
}

// PairsHeading heads the section of Pairs.
const PairsHeading = "Pairs"

const (
	// Open marks a row that no test shows. A reason must follow it.
	Open = "not yet covered:"
	// Void marks a row whose fault can't hit its step. A reason must follow it.
	Void = "does not apply:"
)

// A citation is a package below internal, a colon and the full name of a test.
var citation = regexp.MustCompile("`([a-z]+): ([^`]+)`")

// Check returns what is wrong with a page: a step, a fault or a pair that is
// missing or stands twice, a row that neither cites a test nor gives a reason,
// and a citation of a test that does not exist or is not always run. The
// packages are the folders below root.
func Check(file string, page string, root string) finding.List {
	c := checker{file: file, root: root, specs: map[string]Specs{}}
	c.read(page)
	for _, step := range Steps {
		c.section(step, Faults)
	}
	c.section(PairsHeading, Pairs)
	return c.findings
}

// row is one line of a table: its place and what stands after the first cell.
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

// read takes the rows of each section, and checks all citations, also those
// outside of tables.
func (c *checker) read(page string) {
	c.rows = map[string]map[string]row{}
	heading, number := "", 0
	for line := range strings.SplitSeq(page, "\n") {
		number++
		for _, cited := range citation.FindAllStringSubmatch(line, -1) {
			c.citation(number, cited[1], cited[2])
		}
		if title, found := strings.CutPrefix(line, "## "); found {
			heading = strings.TrimSpace(title)
			if c.rows[heading] != nil {
				c.report(number, "the section \""+heading+"\" stands twice")
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
			c.report(number, "\""+fault+"\" stands twice in its section")
		}
		c.rows[heading][fault] = row{line: number, text: cells[2]}
	}
}

func (c *checker) section(heading string, faults []string) {
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
		c.reason(fault, row)
	}
}

func (c *checker) reason(fault string, row row) {
	for _, mark := range []string{Open, Void} {
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

func (c *checker) citation(line int, folder string, test string) {
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
