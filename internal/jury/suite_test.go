package jury_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestJury(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "jury")
}
