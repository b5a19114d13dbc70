package shuttle_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestShuttle(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "shuttle")
}
