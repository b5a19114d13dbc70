package docket_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDocket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "docket")
}
