package registrar_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/registrar"
)

// clientWithPreview returns a client of an instance that serves preview.
func clientWithPreview(preview registrar.Preview) *registrar.Client {
	return client("", serve(registrar.New(registrar.Options{
		ConfigStore:     newVoter().configStore(),
		Instance:        &fakeInstance{},
		Preview:         preview,
		OperatorByToken: func(string) (string, bool) { return "kim", true },
		Now:             func() time.Time { return testTime },
		Log:             zerolog.Nop(),
	})))
}

// decodedDeclarations returns declarations with a single preset of that name.
func decodedDeclarations(preset string) declaration.Set {
	set, err := declaration.Decode(declarations(preset))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return set
}

var _ = Describe("Placement moves", func() {
	It("are computed for the requested declarations and preset", func(ctx context.Context) {
		want := registrar.Moves{Moves: []registrar.Move{{Engine: "e1", Kind: "load-model", Model: "letters", Reason: "floor"}}, Unmet: []string{"much"}}
		set := decodedDeclarations("peak")
		client := clientWithPreview(func(_ time.Time, got declaration.Set, preset declaration.Preset) (registrar.Moves, error) {
			Expect(got).To(Equal(set))
			Expect(preset.Name).To(Equal("peak"))
			return want, nil
		})
		Expect(client.Moves(ctx, set, "peak")).To(Equal(want))
		_, err := client.Moves(ctx, set, "quiet")
		Expect(err).To(MatchError(ContainSubstring("there is no preset quiet")))
	})

	It("are refused by an instance without memory accounting of engines", func(ctx context.Context) {
		client := clientWithPreview(func(time.Time, declaration.Set, declaration.Preset) (registrar.Moves, error) {
			return registrar.Moves{}, registrar.ErrNotVoter
		})
		_, err := client.Moves(ctx, decodedDeclarations("peak"), "peak")
		Expect(err).To(MatchError(ContainSubstring("no voter")))
	})
})
