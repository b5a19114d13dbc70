package demand_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Demand")
}
