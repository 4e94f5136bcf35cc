package experiment_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/lab/internal/experiment"
	"tanagerwood.dev/lab/internal/load"
)

func TestExperiment(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "experiment")
}

const valid = `{"deployment":"asahan","policies":["reserve","random"],"seeds":[1,2,3],"scenarios":[
 {"name":"peak-1.0","load":1,"ratedLoad":1.6,"durationMs":20000,"warmupMs":2000},
 {"name":"domain-lost","load":0.9,"ratedLoad":1.6,"durationMs":20000,"faults":[
  {"atMs":5000,"action":"kill","target":"domain:ipoh"},
  {"atMs":6000,"action":"post","target":"decode-1","path":"/faults","body":{"slow": 2}}]}]}`

var _ = Describe("Plan", func() {
	It("lists each policy, scenario and seed once, policies of a scenario one after the other", func() {
		f, err := experiment.Parse([]byte(valid))
		Expect(err).NotTo(HaveOccurred())
		cells := f.Plan()
		Expect(cells).To(HaveLen(12))
		Expect(cells[0].ID).To(Equal("asahan.peak-1.0.reserve.s1"))
		Expect(cells[1].ID).To(Equal("asahan.peak-1.0.random.s1"))
		Expect(f.Cell(cells[7].ID)).To(Equal(cells[7]))
	})
})

var _ = Describe("Prepare", func() {
	It("lays out the deployment and writes a fault for each process of a lost domain", func() {
		f, err := experiment.Parse([]byte(valid))
		Expect(err).NotTo(HaveOccurred())
		cell, err := f.Cell("asahan.domain-lost.reserve.s2")
		Expect(err).NotTo(HaveOccurred())
		dir := GinkgoT().TempDir()
		Expect(experiment.Prepare(cell, dir, 30000)).To(Succeed())
		processes := lines(dir, "processes.txt")
		Expect(processes).To(HaveLen(1 + 9 + 4 + 8))
		Expect(lines(dir, "faults.txt")).To(ConsistOf("5000 kill prefill-2", "5000 kill decode-1", "5000 kill service-2",
			"5000 kill router-2", "5000 kill router-6", MatchRegexp(`^6000 post decode-1 http://127.0.0.1:\d+/faults {"slow":2}$`)))
		raw, err := os.ReadFile(filepath.Join(dir, "catalogue.json"))
		Expect(err).NotTo(HaveOccurred())
		_, problems := catalogue.Check(raw)
		Expect(problems).To(BeEmpty(), "routers refuse a catalogue with problems")
		scenario, err := load.ReadScenario(filepath.Join(dir, "scenario.json"))
		Expect(err).NotTo(HaveOccurred())
		Expect(scenario.Seed).To(Equal(uint64(2)))
	})

	It("offers output tokens at the requested fraction of the decode capacity", func() {
		f, _ := experiment.Parse([]byte(valid))
		cell, _ := f.Cell("asahan.peak-1.0.reserve.s1")
		d, err := experiment.DeploymentByName("asahan")
		Expect(err).NotTo(HaveOccurred())
		traffic := d.Traffic(cell)
		traffic.DurationMS = 600_000
		plan, err := load.Plan(traffic, load.NewCatalogueIndex(d.Catalogue(cell)))
		Expect(err).NotTo(HaveOccurred())
		output := int64(0)
		for _, a := range plan {
			output += a.OutputTokens
		}
		Expect(float64(output) / 600).To(BeNumerically("~", d.Capacity(), 0.05*d.Capacity()))
	})
})

func lines(dir, name string) []string {
	raw, err := os.ReadFile(filepath.Join(dir, name))
	Expect(err).NotTo(HaveOccurred())
	return strings.Split(strings.TrimSpace(string(raw)), "\n")
}

var _ = Describe("Aggregate", func() {
	result := func(scenario, policy string, seed uint64, fraction, goodput float64) load.Result {
		r := load.Result{Scenario: scenario, Policy: policy, Seed: seed, LoadFraction: fraction}
		r.Overall.GoodPerSecond = goodput
		return r
	}

	It("takes medians over seeds and compares them with the best baseline and with load 1.0", func() {
		s, err := experiment.Aggregate("asahan", []load.Result{
			result("peak-1.0", "reserve", 1, 1, 20), result("peak-1.0", "reserve", 2, 1, 90), result("peak-1.0", "reserve", 3, 1, 21),
			result("peak-1.5", "reserve", 1, 1.5, 18), result("peak-1.5", "random", 1, 1.5, 9), result("peak-1.5", "least-loaded", 1, 1.5, 12),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Groups).To(HaveLen(4))
		Expect(s.Groups[0].Median[experiment.MeasureGoodput]).To(Equal(21.0))
		Expect(s.Groups[0].Max[experiment.MeasureGoodput]).To(Equal(90.0))
		Expect(s.Groups[1].GoodputOverBestBaseline).To(Equal(1.5))
		Expect(s.Groups[1].BestBaseline).To(Equal("least-loaded"))
		Expect(s.Groups[1].GoodputOverLoad1).To(BeNumerically("~", 18.0/21, 1e-9))
	})

	It("lists the cells without a result", func() {
		f, _ := experiment.Parse([]byte(valid))
		s, err := experiment.AggregateDir(f, GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Missing).To(HaveLen(12))
	})
})

var _ = DescribeTable("Parse refuses values that would run without bounds or break the script's lines",
	func(old, replacement string) {
		_, err := experiment.Parse([]byte(strings.Replace(valid, old, replacement, 1)))
		Expect(err).To(HaveOccurred())
	},
	Entry("unknown deployment", `"asahan"`, `"other"`),
	Entry("space in a name", `"peak-1.0"`, `"peak 1.0"`),
	Entry("path in a policy", `"random"`, `"../random"`),
	Entry("negative load", `"load":1`, `"load":-1`),
	Entry("endless run", `"durationMs":20000`, `"durationMs":20000000`),
	Entry("fault after the end", `"atMs":5000`, `"atMs":50000`),
	Entry("unknown action", `"kill"`, `"explode"`),
	Entry("newline in a target", `"domain:ipoh"`, `"domain:ipoh\nx"`),
	Entry("unknown field", `"seeds"`, `"seed"`),
)

// FuzzParse guards against files that pass the check and then make an unbounded plan or ids that leave the directory.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"deployment":"bombas","policies":["reserve"],"seeds":[1],"scenarios":[{"name":"..","load":1,"ratedLoad":1,"durationMs":1}]}`))
	f.Add([]byte(`{"deployment":"bombas","policies":["a/b"],"seeds":[1],"scenarios":[{"name":"x","load":1e999,"ratedLoad":1,"durationMs":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		file, err := experiment.Parse(raw)
		if err != nil {
			return
		}
		cells := file.Plan()
		if len(cells) == 0 || len(cells) > 5000 {
			t.Fatalf("plan of %d cells", len(cells))
		}
		for _, c := range cells {
			if filepath.Base(c.ID) != c.ID || strings.ContainsAny(c.ID, " \n\t") {
				t.Fatalf("unsafe id %q", c.ID)
			}
		}
	})
}
