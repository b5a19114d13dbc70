package explain_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestExplain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "explain")
}
