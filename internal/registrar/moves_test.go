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

// movesAt returns a client of an instance that previews so.
func movesAt(preview registrar.Preview) *registrar.Client {
	return client("", serve(registrar.New(registrar.Options{
		Register: newVoter().register(),
		House:    &fakeHouse{},
		Preview:  preview,
		Holder:   func(string) (string, bool) { return "kim", true },
		Now:      func() time.Time { return noon },
		Log:      zerolog.Nop(),
	})))
}

// setOf returns declarations whose one preset has that name.
func setOf(preset string) declaration.Set {
	set, err := declaration.Decode(declarations(preset))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return set
}

var _ = Describe("Placement moves", func() {
	It("are those of the declarations and the preset that were asked about", func(ctx context.Context) {
		want := registrar.Moves{Moves: []registrar.Move{{Engine: "e1", Kind: "load-model", Model: "letters", Reason: "floor"}}, Unmet: []string{"much"}}
		set := setOf("peak")
		client := movesAt(func(_ time.Time, got declaration.Set, preset declaration.Preset) (registrar.Moves, error) {
			Expect(got).To(Equal(set))
			Expect(preset.Name).To(Equal("peak"))
			return want, nil
		})
		Expect(client.Moves(ctx, set, "peak")).To(Equal(want))
		_, err := client.Moves(ctx, set, "quiet")
		Expect(err).To(MatchError(ContainSubstring("there is no preset quiet")))
	})

	It("are refused by an instance that knows no accounts", func(ctx context.Context) {
		client := movesAt(func(time.Time, declaration.Set, declaration.Preset) (registrar.Moves, error) {
			return registrar.Moves{}, registrar.ErrNoPlacement
		})
		_, err := client.Moves(ctx, setOf("peak"), "peak")
		Expect(err).To(MatchError(ContainSubstring("no voter")))
	})
})
