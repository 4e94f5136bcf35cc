package settings_test

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/router/internal/settings"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func validVariables() map[string]string {
	return map[string]string{
		"TANAGERWOOD_INSTANCE":       "klang-1",
		"TANAGERWOOD_DOMAIN":         "Klang",
		"TANAGERWOOD_REGION":         "my-west",
		"TANAGERWOOD_PEER_URL":       "http://10.0.0.5:8081",
		"TANAGERWOOD_SEEDS":          "http://10.0.0.6:8081, http://10.0.0.7:8081",
		"TANAGERWOOD_PLATFORM_URL":   "http://10.0.0.1:7000",
		"TANAGERWOOD_PLATFORM_TOKEN": "platform-token-0001",
		"TANAGERWOOD_PEER_TOKEN":     "peer-token-00000001",
	}
}

var _ = Describe("settings", func() {
	It("accepts a complete set and applies its overrides to the catalogue's policy", func() {
		variables := validVariables()
		variables["TANAGERWOOD_POLICY_SCHEDULING"] = "random"
		s, problems := settings.FromEnv(variables)
		Expect(problems).To(BeEmpty())
		Expect(s.Seeds).To(Equal([]string{"http://10.0.0.6:8081", "http://10.0.0.7:8081"}))
		Expect(s.DrainTimeout).To(Equal(15 * time.Minute))
		Expect(s.ApplyPolicyOverrides(catalogue.Policy{Scheduling: "reserve", RetryBudgetPercent: 7})).
			To(Equal(catalogue.Policy{Scheduling: "random", RetryBudgetPercent: 7}))
	})

	// Guards against validation that stops at the first problem, and against messages that disclose tokens.
	It("reports all problems at once, with the flag, the variable and a remedy", func() {
		variables := validVariables()
		for name, value := range map[string]string{
			"TANAGERWOOD_INSTANCE":                    "klang.1",
			"TANAGERWOOD_DOMAIN":                      "",
			"TANAGERWOOD_PEER_URL":                    "http://0.0.0.0:8081",
			"TANAGERWOOD_SEEDS":                       "10.0.0.6:8081",
			"TANAGERWOOD_PEER_LISTEN":                 "127.0.0.1:8080",
			"TANAGERWOOD_OPERATOR_LISTEN":             "8082",
			"TANAGERWOOD_PEER_TOKEN":                  "clear-secret",
			"TANAGERWOOD_DRAIN_NOTICE":                "soon",
			"TANAGERWOOD_DRAIN_TIMEOUT":               "-1s",
			"TANAGERWOOD_EVENT_CAPACITY":              "many",
			"TANAGERWOOD_LOG_LEVEL":                   "loud",
			"TANAGERWOOD_POLICY_SCHEDULING":           "best",
			"TANAGERWOOD_POLICY_RETRY_BUDGET_PERCENT": "101",
			"TANAGERWOOD_PLATFROM_URL":                "http://x",
		} {
			variables[name] = value
		}
		_, problems := settings.FromEnv(variables)
		for _, name := range []string{
			"INSTANCE", "DOMAIN", "PEER_URL", "SEEDS", "PEER_LISTEN", "OPERATOR_LISTEN", "PEER_TOKEN", "DRAIN_NOTICE", "DRAIN_TIMEOUT",
			"EVENT_CAPACITY", "LOG_LEVEL", "POLICY_SCHEDULING", "POLICY_RETRY_BUDGET_PERCENT", "PLATFROM_URL",
		} {
			Expect(problems).To(ContainElement(SatisfyAll(
				HaveField("Path", ContainSubstring("TANAGERWOOD_"+name)), HaveField("Remedy", Not(BeEmpty())))), name)
		}
		Expect(problems.Error()).To(SatisfyAll(ContainSubstring(`"soon" cannot be read`), ContainSubstring(`"many" cannot be read`)))
		Expect(problems.Error()).NotTo(ContainSubstring("clear-secret"))
	})

	It("reads flags before the environment", func() {
		Expect(os.Setenv("TANAGERWOOD_DOMAIN", "Ipoh")).To(Succeed())
		DeferCleanup(os.Unsetenv, "TANAGERWOOD_DOMAIN")
		fs := flag.NewFlagSet("serve", flag.ContinueOnError)
		s := settings.RegisterFlags(fs)
		Expect(settings.Parse(fs, []string{"-region", "my-west"})).To(Succeed())
		Expect(s.Domain).To(Equal("Ipoh"))
		Expect(settings.Parse(fs, []string{"-domain", "Klang"})).To(Succeed())
		Expect(s.Domain).To(Equal("Klang"))
	})

	// Guards against a drain timeout that aborts the longest answer of the catalogue (G11).
	It("warns if a planned stop may cut the catalogue's longest work", func() {
		c := catalogue.Catalogue{
			Classes: []catalogue.Class{{Name: "batch", MaxQueueWaitMS: 600_000, FirstTokenMS: 10_000, TokenIntervalMS: 100}},
			Models:  []catalogue.Model{{Name: "m", Class: "batch", MaxOutputTokens: 3000}},
			Routes:  []catalogue.Route{{TimeoutMS: 30_000}},
		}
		Expect(settings.LongestRequestDuration(c)).To(Equal(910 * time.Second))
		s := &settings.Settings{DrainTimeout: 15 * time.Minute}
		Expect(s.DrainWarning(c)).To(ContainSubstring("TANAGERWOOD_DRAIN_TIMEOUT"))
		s.DrainTimeout = 910 * time.Second
		Expect(s.DrainWarning(c)).To(BeEmpty())
	})
})
