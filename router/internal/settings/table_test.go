package settings_test

import (
	"flag"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/settings"
)

var _ = Describe("the settings file of a node", func() {
	parse := func(content string) (*settings.Node, error) {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
		fs := flag.NewFlagSet("node", flag.ContinueOnError)
		n := settings.RegisterNodeFlags(fs)
		return n, settings.ParseNode(fs, []string{"-settings", file})
	}

	// Guards against a table that the parser of the file refuses, which would keep the process from starting.
	It("may hold a table of regions", func() {
		n, err := parse(`{"instance":"a","regions":{"klang":"north","ipoh":"south","odd":7},"memory-mb":134,"evacuate-within":"5000ms"}`)
		Expect(err).NotTo(HaveOccurred())
		Expect(n.Regions).To(Equal(map[string]string{"klang": "north", "ipoh": "south"}))
		Expect(n.MemoryMB).To(Equal(134))
		Expect(n.EvacuationLimit).To(Equal(5 * time.Second))
	})

	It("reports values that are not valid", func() {
		for _, content := range []string{`{"regions":"north"}`, `{"regions":[]`, `[]`, `{"unknown":{}}`} {
			_, err := parse(content)
			Expect(err).To(HaveOccurred(), content)
		}
	})
})
