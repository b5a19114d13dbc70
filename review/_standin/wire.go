package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// The names of the provider's protocol stand in files of their own: no Go code outside the folder of
// the adapter has them.
//
//go:embed wire.json *.tmpl
var wireFiles embed.FS

// wire holds the names of headers, paths and the like.
var wire = readWire()

// wireNames are the entries of wire.json.
type wireNames struct {
	SettingsVariable, RequestID, Deadline, Model, TokenCounts, PromptParts, NotRun, Stamp, Expected string
	ReadyPath, ResolvePath, ManifestPath, ReportPath, OrderPath, InstancesPath                      string
	ColdLeft                                                                                        string
}

func readWire() wireNames {
	text, err := wireFiles.ReadFile("wire.json")
	if err != nil {
		panic(err)
	}
	var names wireNames
	if err := json.Unmarshal(text, &names); err != nil {
		panic(err)
	}
	return names
}

// render returns the text of a template.
func render(name string, data any) string {
	var text strings.Builder
	if err := template.Must(template.ParseFS(wireFiles, name)).Execute(&text, data); err != nil {
		panic(err)
	}
	return text.String()
}
