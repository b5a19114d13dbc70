package desk_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDesk(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "desk")
}
