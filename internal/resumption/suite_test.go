package resumption_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestResumption(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "resumption")
}
