package relay

import (
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

// Guards against sending the spec with every start of a step: 24 starts with a spec of 1 KB took 24
// KB, two thirds of what an owner sent on a link of 2 Mbit/s.
func TestStartsOfAStepCarryTheirSpecOnce(t *testing.T) {
	g := NewWithT(t)
	spec, other := strings.Repeat("s", 1000), strings.Repeat("t", 1000)
	var orders []*poolpb.Order
	for n := range 24 {
		orders = append(orders, &poolpb.Order{Number: int64(n), Kind: poolpb.Order_START, Spec: spec})
	}
	orders = append(orders, &poolpb.Order{Kind: poolpb.Order_HOLD}, &poolpb.Order{Kind: poolpb.Order_START, Spec: other})
	m := packOrders(orders)
	g.Expect(proto.Size(m)).To(BeNumerically("<", 3000))
	for n, o := range m.Orders {
		got, ok := specOf(m, o)
		g.Expect(ok).To(BeTrue())
		switch {
		case n < 24:
			g.Expect(got).To(Equal(spec))
		case n == 24:
			g.Expect(got).To(BeEmpty())
		default:
			g.Expect(got).To(Equal(other))
		}
	}
}

func TestSpecNumberOutsideTheMessage(t *testing.T) {
	g := NewWithT(t)
	for _, n := range []int64{-1, 2} {
		_, ok := specOf(&poolpb.Orders{Specs: []string{"s"}}, &poolpb.Order{SpecNumber: n})
		g.Expect(ok).To(BeFalse())
	}
	spec, ok := specOf(&poolpb.Orders{}, &poolpb.Order{Spec: "from an earlier version"})
	g.Expect(ok).To(BeTrue())
	g.Expect(spec).To(Equal("from an earlier version"))
}
