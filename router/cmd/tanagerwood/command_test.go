package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/catalogue"
	"tanagerwood.dev/api/openai"
	"tanagerwood.dev/api/platform"
	standin "tanagerwood.dev/lab/standin/platform"
	"tanagerwood.dev/router/internal/adapter/platformhttp"
	"tanagerwood.dev/router/internal/domain/config"
	"tanagerwood.dev/router/internal/fault"
	"tanagerwood.dev/router/internal/port"
)

func TestCommands(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command line")
}

// catalogueJSON is a valid catalogue with one customer and one key.
var catalogueJSON = `{"owner":"o","customers":[{"name":"kedai","owner":"o","rateTokensPerSecond":10,"burstTokens":10,
"keys":[{"name":"spring","sha256":"` + strings.Repeat("1", 64) + `"}]}]}`

// interleavingPlatform calls afterGet once after a read, to simulate a concurrent change by another operator.
type interleavingPlatform struct {
	port.Platform
	afterGet func()
}

func (b *interleavingPlatform) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	o, err := b.Platform.Get(ctx, kind, name)
	if step := b.afterGet; step != nil {
		b.afterGet = nil
		step()
	}
	return o, err
}

var _ = Describe("commands that change the catalogue", func() {
	var (
		ctx    = context.Background()
		one    = 1
		yes    = true
		server *standin.Server
		url    string
		client port.Platform
		file   string
		out    *bytes.Buffer
	)

	BeforeEach(func() {
		server = standin.New(standin.Options{})
		web := httptest.NewServer(server)
		DeferCleanup(web.Close)
		url = web.URL
		client = platformhttp.New(platformhttp.Options{BaseURL: url, Timeout: 5 * time.Second})
		file = filepath.Join(GinkgoT().TempDir(), "catalogue.json")
		out = &bytes.Buffer{}
	})

	present := func() (platform.Object, catalogue.Catalogue) {
		GinkgoHelper()
		o, err := client.Get(ctx, platform.KindCatalogue, platform.SingletonName)
		Expect(err).NotTo(HaveOccurred())
		c, problems := catalogue.Check(o.Value)
		Expect(problems).To(BeEmpty())
		return o, c
	}
	create := func() uint64 {
		GinkgoHelper()
		v, err := client.Create(ctx, platform.KindCatalogue, platform.SingletonName, []byte(catalogueJSON))
		Expect(err).NotTo(HaveOccurred())
		return v
	}
	get := func() error {
		return (&getFlags{platformFlags: platformFlags{url: url}, catalogue: file}).run(ctx, out, nil)
	}
	apply := func() error {
		return (&applyFlags{platformFlags: platformFlags{url: url}, catalogue: file}).run(ctx, out, nil)
	}
	edit := func(old, new string) {
		GinkgoHelper()
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(ContainSubstring(old))
		Expect(os.WriteFile(file, []byte(strings.Replace(string(data), old, new, 1)), 0o600)).To(Succeed())
	}
	key := func(verb, name string) error {
		return (&keyFlags{platformFlags: platformFlags{url: url}, customer: "kedai", key: name}).run(ctx, out, []string{verb})
	}
	writes := func() int64 { return server.Calls().Kinds[platform.KindCatalogue].Writes }
	expectExit := func(err error, code subcommands.ExitStatus) {
		GinkgoHelper()
		Expect(exitCode(err)).To(Equal(code), fmt.Sprint(err))
	}

	It("gets, shows the changes, applies, and keeps the file's version up to date", func() {
		create()
		Expect(get()).To(Succeed())
		Expect(get()).To(MatchError(ContainSubstring("-force")))
		Expect(apply()).To(Succeed())
		Expect(out.String()).To(ContainSubstring("no changes"))
		edit(`"burstTokens": 10`, `"burstTokens": 20`)
		Expect(apply()).To(Succeed())
		Expect(out.String()).To(ContainSubstring("~ customers[kedai].burstTokens: 10 -> 20\napplied as version 2"))
		edit(`"owner": "o",`, `"owner": "p",`)
		Expect(apply()).To(Succeed())
		_, c := present()
		Expect(c.Owner).To(Equal("p"))
	})

	// Guards against an apply that overwrites another operator's change.
	It("refuses an apply after another operator's change and names the newer version", func() {
		v := create()
		Expect(get()).To(Succeed())
		newer, err := client.Replace(ctx, platform.KindCatalogue, platform.SingletonName, v, []byte(strings.Replace(catalogueJSON, "spring", "summer", 1)))
		Expect(err).NotTo(HaveOccurred())
		edit(`"burstTokens": 10`, `"burstTokens": 20`)
		err = apply()
		expectExit(err, exitConflict)
		Expect(err.Error()).To(ContainSubstring(fmt.Sprintf("version %d", newer)))
		_, err = writeRevision(ctx, client, v, []byte(catalogueJSON)) // another write precedes this one, after the read
		expectExit(err, exitConflict)
		Expect(err.Error()).To(ContainSubstring(fmt.Sprintf("version %d", newer)))
		o, _ := present()
		Expect(o.Version).To(Equal(newer))
	})

	It("refuses an invalid catalogue and a file of unknown version before it reaches the platform", func() {
		Expect(os.WriteFile(file, []byte(`{"owner":"","x":1}`), 0o600)).To(Succeed())
		expectExit(apply(), exitProblems)
		Expect(os.WriteFile(file, []byte(catalogueJSON), 0o600)).To(Succeed())
		Expect(apply()).To(MatchError(ContainSubstring("tanagerwood get")))
		Expect(server.Calls().Total).To(BeZero())
	})

	// Guards against an apply that is reported as failed although it took effect, and against a second write.
	It("reads the catalogue back after a lost reply", func() {
		create()
		Expect(get()).To(Succeed())
		edit(`"burstTokens": 10`, `"burstTokens": 20`)
		server.SetFaults(standin.Faults{LoseReplies: &one})
		Expect(apply()).To(Succeed())
		Expect(writes()).To(BeEquivalentTo(2))
		server.SetFaults(standin.Faults{Outage: &yes})
		_, err := writeRevision(ctx, client, 2, []byte(catalogueJSON))
		expectExit(err, exitUnknown)
		expectExit(get(), exitProblems) // the file exists
		expectExit(key("grant", "autumn"), exitUnreachable)
	})

	It("grants a key whose digest alone is stored, once, also if the reply is lost", func() {
		create()
		server.SetFaults(standin.Faults{LoseReplies: &one})
		Expect(key("grant", "autumn")).To(Succeed())
		Expect(writes()).To(BeEquivalentTo(2), "the write whose reply was lost must not be repeated")
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		plaintextKey := lines[len(lines)-1]
		Expect(len(plaintextKey)).To(BeNumerically(">", 40))
		o, c := present()
		Expect(string(o.Value)).NotTo(ContainSubstring(plaintextKey))
		Expect(c.Customers[0].Keys).To(HaveLen(2))
		customer, ok := config.New(1, c).CustomerByKey(config.DigestKey(plaintextKey))
		Expect(ok).To(BeTrue())
		Expect(customer.Name).To(Equal("kedai"))
		expectExit(key("grant", "autumn"), exitProblems)
	})

	It("withdraws a key by name, also if the reply is lost, and says if there is none", func() {
		create()
		server.SetFaults(standin.Faults{LoseReplies: &one})
		Expect(key("withdraw", "spring")).To(Succeed())
		_, c := present()
		Expect(c.Customers[0].Keys).To(BeEmpty())
		err := key("withdraw", "spring")
		expectExit(err, exitProblems)
		Expect(fault.Is(err, fault.NotFound)).To(BeTrue())
	})

	// Guards against a withdrawal that is lost to another operator's apply, and against an apply that brings the key back.
	It("keeps a withdrawal during a concurrent apply", func() {
		create()
		Expect(get()).To(Succeed())
		edit(`"burstTokens": 10`, `"burstTokens": 20`)
		racing := &interleavingPlatform{Platform: client, afterGet: func() { Expect(apply()).To(Succeed()) }}
		version, err := editCatalogue(ctx, racing, func(c *catalogue.Catalogue, maybeApplied bool) error {
			return removeKey(c, "kedai", "spring", maybeApplied)
		})
		Expect(err).NotTo(HaveOccurred())
		o, c := present()
		Expect(o.Version).To(Equal(version))
		Expect(c.Customers[0].Keys).To(BeEmpty())
		Expect(c.Customers[0].BurstTokens).To(BeEquivalentTo(20))
		edit(`"burstTokens": 20`, `"burstTokens": 30`) // the file still has the key
		expectExit(apply(), exitConflict)
	})

	It("withdraws a key in spite of temporarily stale reads", func() {
		create()
		Expect(key("grant", "autumn")).To(Succeed())
		server.SetFaults(standin.Faults{StaleWrites: &one})
		none := 0
		ending := &interleavingPlatform{Platform: client}
		ending.afterGet = func() {
			ending.afterGet = func() { server.SetFaults(standin.Faults{StaleWrites: &none}) }
		}
		_, err := editCatalogue(ctx, ending, func(c *catalogue.Catalogue, maybeApplied bool) error {
			return removeKey(c, "kedai", "spring", maybeApplied)
		})
		Expect(err).NotTo(HaveOccurred())
		_, c := present()
		Expect(c.Customers[0].Keys).To(HaveLen(1))
		Expect(c.Customers[0].Keys[0].Name).To(Equal("autumn"), "the grant must not be lost to a stale read")
	})

	// Guards against a withdrawal that is written but never takes effect.
	It("refuses to change a revision that is not valid", func() {
		_, err := client.Create(ctx, platform.KindCatalogue, platform.SingletonName, []byte(`{"owner":""}`))
		Expect(err).NotTo(HaveOccurred())
		err = key("withdraw", "spring")
		expectExit(err, exitProblems)
		Expect(err.Error()).To(ContainSubstring("not come into force"))
		Expect(writes()).To(BeEquivalentTo(1))
	})

	It("tells from the status whether a revision came into force", func() {
		status := catalogue.Status{Revision: 7, Valid: true, ValidatedBy: "klang-1"}
		value, err := json.Marshal(status)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Create(ctx, platform.KindCatalogueStatus, platform.SingletonName, value)
		Expect(err).NotTo(HaveOccurred())
		Expect(waitForValidation(ctx, out, client, 7, time.Minute)).To(Succeed())
		Expect(waitForValidation(ctx, out, client, 8, time.Millisecond)).To(MatchError(ContainSubstring("no instance")))
		Expect((&statusFlags{platformFlags: platformFlags{url: url}}).run(ctx, out, nil)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("revision 7 is valid, judged by klang-1"))
	})
})

var _ = Describe("check", func() {
	It("prints the problems of both files and never a token", func() {
		dir := GinkgoT().TempDir()
		c := &checkFlags{catalogue: filepath.Join(dir, "c.json"), settings: filepath.Join(dir, "s.env")}
		Expect(os.WriteFile(c.catalogue, []byte(`{"owner":"","x":1,"y":2}`), 0o600)).To(Succeed())
		Expect(os.WriteFile(c.settings, []byte("# comment\nTANAGERWOOD_PEER_TOKEN clear-secret\nTANAGERWOOD_LOG_LEVEL=loud\n"), 0o600)).To(Succeed())
		err := c.run(context.Background(), &bytes.Buffer{}, nil)
		Expect(exitCode(err)).To(Equal(exitProblems))
		Expect(err.Error()).To(SatisfyAll(ContainSubstring("x: unknown"), ContainSubstring("y: unknown"),
			ContainSubstring("line 2"), ContainSubstring("LOG_LEVEL"), Not(ContainSubstring("clear-secret"))))
	})

	It("maps errors to the documented exit codes", func() {
		down := fault.New(fault.PlatformUnavailable, "")
		Expect(exitCode(nil)).To(BeEquivalentTo(0))
		Expect(exitCode(fmt.Errorf("x"))).To(BeEquivalentTo(1))
		Expect(exitCode(fmt.Errorf("%w: x", errUsage))).To(BeEquivalentTo(2))
		Expect(exitCode(fault.New(fault.Conflict, ""))).To(BeEquivalentTo(3))
		Expect(exitCode(down)).To(BeEquivalentTo(4))
		Expect(exitCode(down.WithOutcome(openai.Unknown))).To(BeEquivalentTo(5))
	})
})
