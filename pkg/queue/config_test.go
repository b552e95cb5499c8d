package queue

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestQueueIsFoundByHostAndLongestPrefix(t *testing.T) {
	g := NewWithT(t)
	c := NewConfig(1, []Queue{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil)
	q, rest, ok := c.Find("a.example", "/x/y/17")
	g.Expect(ok).To(BeTrue())
	g.Expect(q.Name).To(Equal("long"))
	g.Expect(rest).To(Equal("17"))
	q, _, _ = c.Find("b.example", "/x/y/17")
	g.Expect(q.Name).To(Equal("other"))
	_, _, ok = c.Find("a.example", "/z/17")
	g.Expect(ok).To(BeFalse())
	_, _, ok = c.Find("c.example", "/x/17")
	g.Expect(ok).To(BeFalse())
}
