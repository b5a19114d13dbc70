// Package badge tells who shows a bearer token (authentication). It knows only
// the hashes of tokens, so that a file that leaks gives nobody access.
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

// Book is the holders of tokens. It is immutable and safe for concurrent use.
// The zero value knows nobody.
type Book struct {
	holders []holder
}

// tokenKey is the key of the tables that list tokens.
const tokenKey = "token"

// holder is one who may act. Names and hashes differ within a Book.
type holder struct {
	name string
	hash [sha256.Size]byte
}

// Load returns the Book in the TOML file path.
func Load(path string) (Book, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Book{}, errors.Wrap(err, "badge: reading the file")
	}
	return Parse(path, data)
}

// Parse returns the Book in data, which is TOML: for each token a table [[token]]
// with the name of its holder and sha256, the hash in hexadecimal. If it is wrong,
// Parse returns a *finding.Error with every finding, whose places name file.
//
// A plain SHA-256 is enough for tokens that a machine drew: there is no
// dictionary to try. docs/operators/settings.md says how to draw one.
func Parse(file string, data []byte) (Book, error) {
	var list finding.List
	root, ok := form.Open(file, data, &list)
	if !ok {
		return Book{}, list.Err()
	}
	var book Book
	names := map[string]finding.Place{}
	hashes := map[[sha256.Size]byte]finding.Place{}
	for _, table := range root.Tables(tokenKey) {
		h := readHolder(table, names, hashes)
		book.holders = append(book.holders, h)
	}
	root.Done()
	if len(book.holders) == 0 {
		list.Add(finding.Place{File: file}, "no token is listed, so nobody could act",
			`write [[token]] with name = "..." and sha256 = "..."`)
	}
	if err := list.Err(); err != nil {
		return Book{}, err
	}
	return book, nil
}

// IsBook tells whether data is TOML that lists tokens, rightly or wrongly.
func IsBook(data []byte) bool {
	var ignored finding.List
	root, ok := form.Open("", data, &ignored)
	return ok && root.Has(tokenKey)
}

func readHolder(table *form.Reader, names map[string]finding.Place, hashes map[[sha256.Size]byte]finding.Place) holder {
	table.Require("name", `"kim"`)
	table.Require("sha256", `"..."`)
	h := holder{name: table.Text("name", "")}
	text := table.Text("sha256", "")
	table.Done()
	hash, err := hex.DecodeString(text)
	switch {
	case text == "":
	case err != nil || len(hash) != sha256.Size:
		// The text is left out: it may be the token itself.
		table.Add("sha256", "sha256 must be 64 hexadecimal digits", "write the output of sha256sum for the token without a line end")
	default:
		copy(h.hash[:], hash)
		if first, taken := hashes[h.hash]; taken {
			table.Add("sha256", "the token is listed already, at "+first.String(), "draw another token")
		}
		hashes[h.hash] = table.Place("sha256")
	}
	if first, taken := names[h.name]; taken && h.name != "" {
		table.Add("name", "the holder is listed already, at "+first.String(), "write another name")
	}
	names[h.name] = table.Place("name")
	return h
}

// Holder returns the name of the holder of token. If nobody holds it, Holder
// returns false. The time that Holder takes does not depend on the tokens.
func (b Book) Holder(token string) (string, bool) {
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range b.holders {
		same := subtle.ConstantTimeCompare(hash[:], b.holders[i].hash[:])
		found = subtle.ConstantTimeSelect(same, i, found)
	}
	if found < 0 {
		return "", false
	}
	return b.holders[found].name, true
}
