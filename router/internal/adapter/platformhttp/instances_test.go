package platformhttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/router/internal/adapter/platformhttp"
)

var _ = Describe("the list of instances", func() {
	read := func(body string) ([]string, error) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		defer server.Close()
		list, err := platformhttp.New(platformhttp.Options{BaseURL: server.URL}).Instances(context.Background())
		var names []string
		for _, in := range list {
			names = append(names, in.Name)
		}
		return names, err
	}
	const good = `{"name":"e-1","role":"decode","url":"http://10.0.0.1:80","state":"live"}`
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)

	// Guards against an odd entry of another writer that hides all endpoints, or becomes one.
	DescribeTable("is read around", func(odd string) {
		Expect(read(`{"instances":[` + odd + `,` + good + `,` + odd + `]}`)).To(Equal([]string{"e-1"}))
	},
		Entry("an entry that is nested deeply", nested),
		Entry("a field that is nested deeply", `{"name":"e-2","role":`+nested+`}`),
		Entry("a number that is too large", `{"name":1e999}`),
		Entry("a port out of range", strings.NewReplacer("e-1", "e-2", ":80", ":99999").Replace(good)),
		Entry("an entry without a name", `{}`),
		Entry("an entry of another type", `"e-2"`),
		Entry("entries that take more memory than there is", `{"name":"e-2","labels":"`+strings.Repeat("x", 40<<20)+`"}`),
	)

	// Guards against endpoints that are missing from a list because its end was lost.
	It("is not read from a response that is cut off", func() {
		whole := `{"instances":[` + good + `,{"name":"e-2","labels":["a"]}]}`
		for end := range len(whole) {
			_, err := read(whole[:end])
			Expect(err).To(HaveOccurred(), whole[:end])
		}
		Expect(read(whole)).To(Equal([]string{"e-1", "e-2"}))
	})
})
