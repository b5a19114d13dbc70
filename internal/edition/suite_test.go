package edition_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEdition(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edition")
}
