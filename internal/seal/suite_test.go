package seal_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSeal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "seal")
}
