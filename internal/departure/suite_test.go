package departure_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDeparture(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "departure")
}
