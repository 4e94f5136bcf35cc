package reservation_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReservation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reservation")
}
