package upstreamapi

import "time"

// KVExport asks an engine to export the KV cache of a request or of a prefix.
type KVExport struct {
	// RequestID names the request, unless Prefix names a prefix.
	RequestID string `json:"request-id,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	Model     string `json:"model"`
}

// KVExported names an export.
type KVExported struct {
	// Token is opaque to the system, which hands it to the importing engine.
	Token  string `json:"token"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
	// KeptFor is how long the export can be imported, in nanoseconds.
	KeptFor time.Duration `json:"kept-for"`
}

// KVImport asks an engine to import what another exported.
type KVImport struct {
	Token string `json:"token"`
	// From is the address of the engine that exported it.
	From string `json:"from"`
}

// KVImported answers a KVImport.
type KVImported struct {
	// Tokens is the number of prompt tokens that are now in the KV cache.
	Tokens int `json:"tokens"`
}
