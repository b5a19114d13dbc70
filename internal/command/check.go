package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/badge"
	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// maxPaths limits the number of paths of one check, since flaggy requires every
// positional value to be declared.
const maxPaths = 64

func newCheck() command {
	paths := make([]string, maxPaths)
	asJSON := false
	flags := newSubcommand("check", "checks settings files, token files and declaration folders; changes nothing",
		"lovagelift check examples/three/instance-a.toml examples/declarations/kingston")
	flags.AddPositionalValue(&paths[0], "path", 1, true, "a settings file, a token file or a folder of declarations; up to 64 of them")
	for i := 1; i < maxPaths; i++ {
		flags.AddPositionalValue(&paths[i], "path", i+1, false, "another one")
		flags.PositionalFlags[i].Hidden = true
	}
	flags.Bool(&asJSON, "", "json", "write the findings as JSON")
	run := func(_ context.Context, streams Streams) int {
		var c checker
		for _, path := range paths {
			if path != "" {
				c.check(path)
			}
		}
		c.compareSettings()
		return c.report(streams, asJSON)
	}
	return command{flags: flags, run: run}
}

// checker collects the findings of all paths.
type checker struct {
	findings   finding.List
	folders    int
	tokenFiles int
	settings   []loadedSettings
}

// loadedSettings is a settings file and its parsed content.
type loadedSettings struct {
	path     string
	settings settings.Settings
}

func (c *checker) check(path string) {
	info, err := os.Stat(path)
	if err != nil {
		c.addError(path, err)
		return
	}
	if info.IsDir() {
		c.folders++
		_, err = declaration.Read(os.DirFS(path), filepath.ToSlash(path))
		c.addError(path, err)
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		c.addError(path, err)
		return
	}
	if badge.IsTokenFile(data) {
		c.tokenFiles++
		_, err = badge.Parse(path, data)
		c.addError(path, err)
		return
	}
	s, err := settings.Parse(path, data)
	if err != nil {
		c.addError(path, err)
		return
	}
	c.settings = append(c.settings, loadedSettings{path: path, settings: s})
}

func (c *checker) addError(path string, err error) {
	if err == nil {
		return
	}
	var findings *finding.Error
	if !errors.As(err, &findings) {
		c.findings.Add(finding.Place{File: path}, err.Error(), "")
		return
	}
	for _, f := range findings.Findings {
		c.findings.Add(f.Place, f.Problem, f.Advice)
	}
}

func (c *checker) report(streams Streams, asJSON bool) int {
	if asJSON {
		writeJSON(streams.Out, checkOutput{Findings: findingsOutput(c.findings.All())})
	}
	if err := c.findings.Err(); err != nil {
		if !asJSON {
			fmt.Fprintln(streams.Err, err)
		}
		return ExitBadInput
	}
	if !asJSON {
		fmt.Fprintf(streams.Out, "good: %d settings files, %d token files, %d declaration folders\n", len(c.settings), c.tokenFiles, c.folders)
	}
	return ExitOK
}

// checkOutput is the output of check with --json.
type checkOutput struct {
	Findings []findingOutput `json:"findings"`
}

type findingOutput struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Column  int    `json:"column,omitempty"`
	Problem string `json:"problem"`
	Advice  string `json:"advice,omitempty"`
}

func findingsOutput(findings []finding.Finding) []findingOutput {
	output := make([]findingOutput, 0, len(findings))
	for _, f := range findings {
		output = append(output, findingOutput{
			File: f.Place.File, Line: f.Place.Line, Column: f.Place.Column, Problem: f.Problem, Advice: f.Advice,
		})
	}
	return output
}
