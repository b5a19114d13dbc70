package gazette_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGazette(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gazette")
}
