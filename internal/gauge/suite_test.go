package gauge_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestGauge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gauge")
}
