package outcome_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOutcome(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "outcome")
}
