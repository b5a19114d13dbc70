package clerk_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClerk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "clerk")
}
