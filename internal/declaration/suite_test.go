package declaration_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDeclaration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "declaration")
}
