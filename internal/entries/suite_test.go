package entries_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestEntries(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entries")
}
