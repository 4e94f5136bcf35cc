package capacity_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/platform"
	"tanagerwood.dev/lab/internal/capacity"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "capacity")
}

var _ = Describe("Fit", func() {
	It("recovers the linear model from exact values at the grid's points", func() {
		plane := capacity.Slopes{Base: 3, PerRouter: 0.5, PerCustomer: 0.01, PerEndpoint: 0.2}
		values := make([]float64, 0)
		for _, p := range capacity.Grid() {
			values = append(values, plane.Predict(p))
		}
		fitted, err := capacity.Fit(capacity.Grid(), values)
		Expect(err).NotTo(HaveOccurred())
		Expect(fitted.PerRouter).To(BeNumerically("~", 0.5, 1e-6))
		Expect(fitted.PerEndpoint).To(BeNumerically("~", 0.2, 1e-6))
		Expect(fitted.MaxResidual).To(BeNumerically("<", 1e-6))
	})

	It("refuses points from which the slopes cannot be separated", func() {
		same := []capacity.Point{{Routers: 2, Customers: 5, Endpoints: 12}}
		_, err := capacity.Fit(append(same, same[0], same[0], same[0]), []float64{1, 1, 1, 1})
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Prepare", func() {
	It("writes a catalogue that routers accept and lists every process", func() {
		dir := GinkgoT().TempDir()
		p, err := capacity.ParsePoint("r4-c330-e60")
		Expect(err).NotTo(HaveOccurred())
		Expect(capacity.Prepare(p, dir, 40000)).To(Succeed())
		raw, err := os.ReadFile(filepath.Join(dir, "catalogue.json"))
		Expect(err).NotTo(HaveOccurred())
		_, problems := catalogue.Check(raw)
		Expect(problems).To(BeEmpty())
		raw, err = os.ReadFile(filepath.Join(dir, "instances.json"))
		Expect(err).NotTo(HaveOccurred())
		var list platform.InstanceList
		Expect(json.Unmarshal(raw, &list)).To(Succeed())
		Expect(list.Instances).To(HaveLen(64))
	})

	It("refuses points out of bounds", func() {
		for _, id := range []string{"r0-c1-e4", "r8-c1-e99999", "r8-c1", "r08-c1-e4", "r8-c1-e4x"} {
			_, err := capacity.ParsePoint(id)
			Expect(err).To(HaveOccurred(), id)
		}
	})
})
