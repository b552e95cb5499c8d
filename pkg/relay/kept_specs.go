package relay

import "foldarch.dev/foldarch/pkg/poolrpc/poolpb"

// KeptSpecBytes is how many bytes of specs a relay keeps of the orders that it has received on a stream. The tasks of
// a job start one after the other, as workers have room, and specs are most of the bytes of starts.
const KeptSpecBytes = 1 << 20

// keptSpecs are the specs of the latest orders of a stream, numbered from 1 on. Both ends of the stream keep the same
// ones, so that later orders name them by number. It is not safe for concurrent use.
type keptSpecs struct {
	maxBytes int // of all specs together
	bytes    int
	texts    map[int64]string
	numbers  map[string]int64 // of texts; used by the sender only
	oldest   int64            // number of the oldest spec that is kept
	next     int64            // number of the next spec
}

func newKeptSpecs(maxBytes int) *keptSpecs {
	return &keptSpecs{maxBytes: maxBytes, texts: map[int64]string{}, numbers: map[string]int64{}, oldest: 1, next: 1}
}

func (k *keptSpecs) add(spec string) {
	k.texts[k.next] = spec
	k.numbers[spec] = k.next
	k.bytes += len(spec)
	k.next++
}

// pack puts orders into one message with the specs that the receiver does not have. The caller then calls evict if
// the message is sent, and otherwise withdraw.
func (k *keptSpecs) pack(orders []*poolpb.Order) *poolpb.Orders {
	out := &poolpb.Orders{Orders: orders, FirstSpec: k.next}
	for _, o := range orders {
		if o.Spec == "" {
			continue
		}
		if k.numbers[o.Spec] == 0 {
			k.add(o.Spec)
			out.Specs = append(out.Specs, o.Spec)
		}
		o.Spec, o.SpecNumber = "", k.numbers[o.Spec]
	}
	return out
}

// withdraw forgets the specs of a message that was not sent.
func (k *keptSpecs) withdraw(m *poolpb.Orders) {
	for k.next > m.FirstSpec {
		k.next--
		k.remove(k.next)
	}
}

// unpack sets the specs of the orders of a received message. Orders whose spec is not known are returned apart, also
// all that name a spec by number if the sender counts otherwise.
func (k *keptSpecs) unpack(m *poolpb.Orders) (orders, unknown []*poolpb.Order) {
	inStep := m.FirstSpec == 0 || m.FirstSpec == k.next
	if m.FirstSpec != 0 && inStep {
		for _, spec := range m.Specs {
			k.add(spec)
		}
	}
	for _, o := range m.Orders {
		spec, ok := k.specOf(m, o)
		ok = ok && (inStep || o.SpecNumber == 0)
		if !ok {
			unknown = append(unknown, o)
			continue
		}
		o.Spec = spec
		orders = append(orders, o)
	}
	k.evict()
	return orders, unknown
}

// specOf returns the spec of an order in a received message. The numbers of an owner that keeps no specs are those
// within the message.
func (k *keptSpecs) specOf(m *poolpb.Orders, o *poolpb.Order) (spec string, ok bool) {
	if m.FirstSpec == 0 || o.SpecNumber == 0 {
		return specOf(m, o)
	}
	spec, ok = k.texts[o.SpecNumber]
	return spec, ok
}

// evict forgets the oldest specs beyond maxBytes.
func (k *keptSpecs) evict() {
	for k.bytes > k.maxBytes && k.oldest < k.next {
		k.remove(k.oldest)
		k.oldest++
	}
}

func (k *keptSpecs) remove(number int64) {
	spec := k.texts[number]
	delete(k.texts, number)
	delete(k.numbers, spec)
	k.bytes -= len(spec)
}
