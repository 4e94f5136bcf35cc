package routetable_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tanagerwood.dev/api/routing"
	"tanagerwood.dev/router/internal/domain/routetable"
)

func TestRouteTable(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "route table")
}

var table = routetable.New(&routing.Config{
	Routes: []routing.Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "B.example", PathPrefix: "/x/"},
	},
	Services:  []routing.Service{{Name: "s"}},
	Customers: []routing.Customer{{Name: "c", Keys: []string{"k1", "k2"}}},
})

// Guards against requests that reach the service of another route.
var _ = DescribeTable("a route", func(host, path, name string) {
	route := table.Route(host, path)
	if name == "" {
		Expect(route).To(BeNil())
		return
	}
	Expect(route.Name).To(Equal(name))
},
	Entry("the longest prefix wins", "a.example", "/x/y/z", "long"),
	Entry("a shorter one takes the rest", "a.example", "/x/yy", "short"),
	Entry("hosts are distinguished", "b.example", "/x/y/z", "other"),
	Entry("hosts are case-insensitive", "A.EXAMPLE", "/x/", "short"),
	Entry("the port is not part of the host", "a.example:80", "/x/", "short"),
	Entry("an unknown host", "c.example", "/x/", ""),
	Entry("a prefix without its slash", "a.example", "/x", ""),
	Entry("dot segments are not resolved", "a.example", "/z/../x/", ""),
)

var _ = It("finds customers by any of their keys, and services by name", func() {
	Expect(table.CustomerByKey("k2").Name).To(Equal("c"))
	Expect(table.CustomerByKey("")).To(BeNil())
	Expect(table.Service("s")).NotTo(BeNil())
	Expect(table.Service("t")).To(BeNil())
})

// Guards against requests to a target whose weight is zero.
var _ = DescribeTable("a traffic split", func(point float64, service string) {
	r := &routing.Route{Targets: []routing.Target{{Service: "a", Weight: 3}, {Service: "off", Weight: 0}, {Service: "b", Weight: 1}}}
	Expect(routetable.PickTarget(r, point)).To(Equal(service))
},
	Entry("the first", 0.0, "a"), Entry("its end", 0.749, "a"), Entry("the last", 0.75, "b"), Entry("the end", 0.999, "b"),
)

var _ = It("picks nothing without weighted targets", func() {
	Expect(routetable.PickTarget(&routing.Route{}, 0)).To(BeEmpty())
	Expect(routetable.PickTarget(&routing.Route{Targets: []routing.Target{{Service: "a"}}}, 0)).To(BeEmpty())
})
