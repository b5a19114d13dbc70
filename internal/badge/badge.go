// Package badge is the authentication by bearer tokens. It stores only the hashes of tokens, so
// that a leaked file gives nobody access.
package badge

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

// Tokens is the list of token holders. It is immutable and safe for concurrent use. The zero value
// has no holders.
type Tokens struct {
	holders []holder
}

// tokenKey is the key of the TOML tables that list tokens.
const tokenKey = "token"

// holder is a user or program with a token. Names and hashes are unique within Tokens.
type holder struct {
	name string
	hash [sha256.Size]byte
}

// Load reads Tokens from the TOML file path.
func Load(path string) (Tokens, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Tokens{}, errors.Wrap(err, "badge: reading the file")
	}
	return Parse(path, data)
}

// Parse returns the Tokens of data, which is TOML: for each token a table [[token]] with the name of
// its holder and sha256, the hash in hexadecimal. If data is invalid, Parse returns a
// *finding.Error with every finding, whose places name file.
//
// A plain SHA-256 is sufficient for randomly generated tokens, which no dictionary contains.
// docs/operators/settings.md describes how to generate one.
func Parse(file string, data []byte) (Tokens, error) {
	var findings finding.List
	root, ok := form.Open(file, data, &findings)
	if !ok {
		return Tokens{}, findings.Err()
	}
	var tokens Tokens
	namePlaces := map[string]finding.Place{}
	hashPlaces := map[[sha256.Size]byte]finding.Place{}
	for _, table := range root.Tables(tokenKey) {
		parsed := readHolder(table, namePlaces, hashPlaces)
		tokens.holders = append(tokens.holders, parsed)
	}
	root.ReportUnknownKeys()
	if len(tokens.holders) == 0 {
		findings.Add(finding.Place{File: file}, "no token is listed, so nobody could act",
			`write [[token]] with name = "..." and sha256 = "..."`)
	}
	if err := findings.Err(); err != nil {
		return Tokens{}, err
	}
	return tokens, nil
}

// IsTokenFile reports whether data is TOML that lists tokens, even if the list is invalid.
func IsTokenFile(data []byte) bool {
	var ignored finding.List
	root, ok := form.Open("", data, &ignored)
	return ok && root.Has(tokenKey)
}

func readHolder(table *form.Reader, namePlaces map[string]finding.Place, hashPlaces map[[sha256.Size]byte]finding.Place) holder {
	table.Require("name", `"kim"`)
	table.Require("sha256", `"..."`)
	h := holder{name: table.Text("name", "")}
	hexHash := table.Text("sha256", "")
	table.ReportUnknownKeys()
	hash, err := hex.DecodeString(hexHash)
	switch {
	case hexHash == "":
	case err != nil || len(hash) != sha256.Size:
		// The message does not contain the value, which may be the token itself.
		table.Add("sha256", "sha256 must be 64 hexadecimal digits", "write the output of sha256sum for the token without a line end")
	default:
		copy(h.hash[:], hash)
		if first, taken := hashPlaces[h.hash]; taken {
			table.Add("sha256", "the token is listed already, at "+first.String(), "draw another token")
		}
		hashPlaces[h.hash] = table.Place("sha256")
	}
	if first, taken := namePlaces[h.name]; taken && h.name != "" {
		table.Add("name", "the holder is listed already, at "+first.String(), "write another name")
	}
	namePlaces[h.name] = table.Place("name")
	return h
}

// Holder returns the name of the holder of token, or false if there is none. Its running time does
// not depend on the tokens.
func (t Tokens) Holder(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	index := -1
	for i := range t.holders {
		match := subtle.ConstantTimeCompare(hash[:], t.holders[i].hash[:])
		index = subtle.ConstantTimeSelect(match, i, index)
	}
	if index < 0 {
		return "", false
	}
	return t.holders[index].name, true
}
