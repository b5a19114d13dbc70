package stocking_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestStocking(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stocking")
}
