package coroner_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCoroner(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "coroner")
}
