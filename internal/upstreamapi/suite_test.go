package upstreamapi_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestUpstreamAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "upstreamapi")
}
