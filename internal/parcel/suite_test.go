package parcel_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestParcel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "parcel")
}
