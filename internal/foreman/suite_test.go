package foreman_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestForeman(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "foreman")
}
