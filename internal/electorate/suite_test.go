package electorate_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestElectorate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "electorate")
}
