package transport_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// specTimeout ends a spec whose request hangs.
const specTimeout = 20 * time.Second

func TestTransport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "transport")
}
