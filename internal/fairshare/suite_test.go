package fairshare_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairshare(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairshare")
}
