package jobstore

import (
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

func TestOddOwnerRecordIsRejected(t *testing.T) {
	for _, text := range []string{
		`[]`, `{"term":9223372036854775808}`, `{"term":1e400}`, `{"term":-1}`, `{"term":3,"named_from":4}`, `{"term":3,"unannounced_from":-1}`,
		`{"address":"10.0.0.1:70000"}`,
	} {
		_, err := DecodeOwnerRecord([]byte(text))
		NewWithT(t).Expect(err).To(HaveOccurred(), text)
	}
}
