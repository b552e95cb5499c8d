package relay

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
)

func startOrders(specs ...string) []*poolpb.Order {
	var out []*poolpb.Order
	for n, s := range specs {
		out = append(out, &poolpb.Order{Number: int64(n), Kind: poolpb.Order_START, Spec: s})
	}
	return out
}

// Guards against an owner whose link is filled by specs that its relays have already, since tasks of one job start one after the other.
func TestStartsInLaterMessagesDoNotCarryTheirSpecAgain(t *testing.T) {
	g := NewWithT(t)
	client := NewClient(testTimeout, KeptSpecBytes)
	spec := strings.Repeat("s", 1000)
	sent := 0
	for range 24 {
		g.Expect(client.sendMessage(startOrders(spec), func(m *poolpb.OwnerMessage) bool {
			sent += proto.Size(m)
			return true
		})).To(BeTrue())
	}
	g.Expect(sent).To(BeNumerically("<", 2000))
}

func TestRelayThatKeepsNoSpecsGetsThemInEachMessage(t *testing.T) {
	g := NewWithT(t)
	client := NewClient(testTimeout, 0)
	for range 2 {
		g.Expect(client.sendMessage(startOrders("s"), func(m *poolpb.OwnerMessage) bool {
			g.Expect(m.GetOrders().FirstSpec).To(BeZero())
			g.Expect(m.GetOrders().Specs).To(Equal([]string{"s"}))
			return true
		})).To(BeTrue())
	}
}

// Guards against two ends of a stream that keep different specs, so that a task starts with that of another job.
func TestBothEndsOfAStreamKnowTheSameSpecs(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 0))
		const maxBytes = 2000
		sender, receiver := newKeptSpecs(maxBytes), newKeptSpecs(maxBytes)
		for range 300 {
			var specs []string
			for range 1 + r.IntN(8) {
				n := r.IntN(40)
				specs = append(specs, fmt.Sprintf("spec %d %s", n, strings.Repeat("x", n*20)))
			}
			m := sender.pack(startOrders(specs...))
			if r.IntN(5) == 0 {
				sender.withdraw(m)
				continue
			}
			sender.evict()
			copied := proto.Clone(m).(*poolpb.Orders)
			orders, unknown := receiver.unpack(copied)
			g.Expect(unknown).To(BeEmpty())
			for n, o := range orders {
				g.Expect(o.Spec).To(Equal(specs[n]))
			}
			g.Expect(receiver.texts).To(Equal(sender.texts))
			g.Expect(receiver.bytes).To(Equal(sender.bytes))
			g.Expect(receiver.bytes).To(BeNumerically("<=", maxBytes))
		}
	}
}

func TestOrderWithAnUnknownSpecIsNotCarriedOut(t *testing.T) {
	g := NewWithT(t)
	k := newKeptSpecs(KeptSpecBytes)
	known, unknown := k.unpack(&poolpb.Orders{FirstSpec: 1, Specs: []string{"s"}, Orders: []*poolpb.Order{{SpecNumber: 1}, {SpecNumber: 2}, {Kind: poolpb.Order_HOLD}}})
	g.Expect(known).To(HaveLen(2))
	g.Expect(known[0].Spec).To(Equal("s"))
	g.Expect(unknown).To(HaveLen(1))
	known, unknown = k.unpack(&poolpb.Orders{FirstSpec: 9, Specs: []string{"t"}, Orders: []*poolpb.Order{{SpecNumber: 9}}})
	g.Expect(known).To(BeEmpty(), "a message before it is missing")
	g.Expect(unknown).To(HaveLen(1))
	known, unknown = k.unpack(&poolpb.Orders{FirstSpec: 1, Specs: []string{"t"}, Orders: []*poolpb.Order{{SpecNumber: 1}}})
	g.Expect(known).To(BeEmpty(), "number 1 is that of another spec here")
	g.Expect(unknown).To(HaveLen(1))
}
