package command

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"

	"github.com/lovagelift/lovagelift/internal/workspace"
)

// keyBytes is the number of random bytes of a key: too many to guess.
const keyBytes = 24

func newKey() command {
	asJSON := false
	flags := newSubcommand("key", "draws an API key for a workspace and prints it with its hash; stores neither", "lovagelift key")
	flags.Bool(&asJSON, "", "json", "write the key and its hash as JSON")
	run := func(_ context.Context, streams Streams) int {
		var random [keyBytes]byte
		rand.Read(random[:])
		output := newKeyOutput(base64.RawURLEncoding.EncodeToString(random[:]))
		if asJSON {
			writeJSON(streams.Out, output)
			return ExitOK
		}
		fmt.Fprintf(streams.Out, "key, for the caller:         %s\n", output.Key)
		fmt.Fprintf(streams.Out, "hash, for the declarations:  %s\n", output.Hash)
		return ExitOK
	}
	return command{flags: flags, run: run}
}

// keyOutput is the output of key with --json.
type keyOutput struct {
	Key  string `json:"key"`
	Hash string `json:"sha256"`
}

func newKeyOutput(key string) keyOutput {
	digest := workspace.Digest(key)
	return keyOutput{Key: key, Hash: hex.EncodeToString(digest[:])}
}
