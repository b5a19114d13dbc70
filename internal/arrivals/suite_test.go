package arrivals_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestArrivals(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "arrivals")
}
