package badge_test

import (
	"crypto/sha256"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/badge"
)

func tokenTable(name, token string) string {
	return fmt.Sprintf("[[token]]\nname = %q\nsha256 = \"%x\"\n", name, sha256.Sum256([]byte(token)))
}

var _ = Describe("Tokens", func() {
	It("returns the holder of each token, and none for other tokens", func() {
		tokens, err := badge.Parse("t.toml", []byte(tokenTable("kim", "first token")+tokenTable("ada", "second token")))
		Expect(err).NotTo(HaveOccurred())
		for token, want := range map[string]string{
			"first token": "kim", "second token": "ada", "": "", "First token": "", "first token\n": "",
			fmt.Sprintf("%x", sha256.Sum256([]byte("first token"))): "",
		} {
			name, ok := tokens.Holder(token)
			Expect(name).To(Equal(want), token)
			Expect(ok).To(Equal(want != ""), token)
		}
		_, ok := badge.Tokens{}.Holder("")
		Expect(ok).To(BeFalse())
	})

	It("reports all findings and never prints what may be a token", func() {
		_, err := badge.Parse("t.toml", []byte(tokenTable("kim", "x")+tokenTable("kim", "x")+
			"[[token]]\nname = \"ada\"\nsha256 = \"the-token-itself\"\n[[token]]\nname = \"eve\"\ntoken = \"secret\"\n"))
		Expect(strings.Split(err.Error(), "\n")).To(Equal([]string{
			"t.toml:5:8: the holder is listed already, at t.toml:2:8; write another name",
			"t.toml:6:10: the token is listed already, at t.toml:3:10; draw another token",
			"t.toml:9:10: sha256 must be 64 hexadecimal digits; write the output of sha256sum for the token without a line end",
			`t.toml:10:3: key "sha256" is missing in token; write sha256 = "..."`,
			`t.toml:12:1: unknown key "token" in token; the keys here are name, sha256`,
		}))
	})

	It("rejects a file without tokens", func() {
		_, err := badge.Parse("t.toml", nil)
		Expect(err).To(MatchError(HavePrefix("t.toml: no token is listed")))
	})
})
