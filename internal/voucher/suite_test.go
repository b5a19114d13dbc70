package voucher_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestVoucher(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "voucher")
}
