package jobstore

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against the number of a segment whose tasks have numbers that overflow.
func TestOddProgressKeysNameNoSegment(t *testing.T) {
	for _, number := range []string{"9223372036854775807", "9223372036854775808", "18014398509481984", "-1", "x", "", "1/2"} {
		_, _, err := ParseProgressKey(ProgressPrefix + "00000000000000a1/" + number)
		NewWithT(t).Expect(err).To(MatchError(ContainSubstring("00000000000000a1/"+number)), number)
	}
}

func TestOddSoleOwnerIsRejected(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "0", "-7", "7 ", "07.0", "1e3", "9223372036854775808", "null", "{}", "\xff", strings.Repeat("[", 200_000)} {
		_, err := DecodeSoleOwner([]byte(text))
		g.Expect(err).To(HaveOccurred(), "%.20q", text)
		g.Expect(len(err.Error())).To(BeNumerically("<", 300))
	}
	g.Expect(DecodeSoleOwner(EncodeSoleOwner(7))).To(Equal(int64(7)))
}

func TestOddOwnerRecordIsRejected(t *testing.T) {
	for _, text := range []string{
		`[]`, `{"term":9223372036854775808}`, `{"term":1e400}`, `{"term":-1}`, `{"term":3,"named_from":4}`, `{"term":3,"unannounced_from":-1}`,
		`{"address":"10.0.0.1:70000"}`,
	} {
		_, err := DecodeOwnerRecord([]byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}
