package report_test

import (
	"bytes"
	"regexp"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/lab/internal/experiment"
	"tanagerwood.dev/lab/internal/report"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "report")
}

func group(scenario, policy string, load, wasted float64) experiment.Group {
	m := experiment.Measures{experiment.MeasureWastedPrefill: wasted, experiment.MeasureGoodput: 10}
	return experiment.Group{Deployment: "asahan", Scenario: scenario, Policy: policy, Load: load, Seeds: []uint64{1, 2}, Median: m, Min: m, Max: m}
}

var _ = Describe("Write", func() {
	It("renders a page without external resources, with goal results and missing cells", func() {
		var b bytes.Buffer
		Expect(report.Write(&b, []experiment.Summary{{
			Groups: []experiment.Group{
				group("peak-0.9", "reserve", 0.9, 0.005), group("peak-0.9", "random", 0.9, 0.5), group("peak-1.5", "reserve", 1.5, 0.2),
			},
			Missing: []string{"asahan.steady.reserve.s1"},
		}})).To(Succeed())
		html := b.String()
		Expect(regexp.MustCompile(`(?:src|href)="`).FindString(html)).To(BeEmpty())
		Expect(html).To(ContainSubstring("<svg"))
		Expect(html).To(MatchRegexp(`wasted prefill ≤ 1% at 0.9.*>0.50%<.*>yes<`))
		Expect(html).To(MatchRegexp(`wasted prefill ≤ 3% at 1.5.*>20.00%<.*>no<`))
		Expect(html).To(ContainSubstring("asahan.steady.reserve.s1"))
		Expect(html).To(ContainSubstring("not measured"))
	})
})
