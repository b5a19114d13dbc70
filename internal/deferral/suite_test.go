package deferral_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDeferral(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "deferral")
}
