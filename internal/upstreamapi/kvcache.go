package upstreamapi

import "time"

// KVExport requests an export of the KV cache of a request or of a prefix.
type KVExport struct {
	// RequestID is set unless Prefix is.
	RequestID string `json:"request-id,omitempty"`
	Prefix    string `json:"prefix,omitempty"`
	Model     string `json:"model"`
}

// KVExported is the response to a KVExport.
type KVExported struct {
	// Token identifies the export. The system passes it to the importing engine
	// unread.
	Token  string `json:"token"`
	Tokens int    `json:"tokens"`
	Bytes  int64  `json:"bytes"`
	// KeptFor is how long the export can be imported, in nanoseconds.
	KeptFor time.Duration `json:"kept-for"`
}

// KVImport requests an import of KV cache that another engine exported.
type KVImport struct {
	Token string `json:"token"`
	// From is the address of the exporting engine.
	From string `json:"from"`
}

// KVImported is the response to a KVImport.
type KVImported struct {
	// Tokens is the number of prompt tokens now in the KV cache.
	Tokens int `json:"tokens"`
}
