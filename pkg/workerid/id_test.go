package workerid

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestIDHasNameAndStartTime(t *testing.T) {
	for _, c := range []struct {
		id        ID
		name      string
		startedAt int64
	}{
		{New("i-058fd8d354", 1767225600000), "i-058fd8d354", 1767225600000},
		{New("i-058fd8d354", 0), "i-058fd8d354", 0},
		{"i-058fd8d354", "i-058fd8d354", 0}, // as previous releases stored it
		{"mail@host", "mail@host", 0},
		{"", "", 0},
	} {
		g := NewWithT(t)
		g.Expect(c.id.Name()).To(Equal(c.name))
		g.Expect(c.id.StartedAt()).To(Equal(c.startedAt))
	}
}
