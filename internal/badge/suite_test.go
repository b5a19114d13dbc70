package badge_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBadge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "badge")
}
