package fairqueue_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestFairQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fairqueue")
}
