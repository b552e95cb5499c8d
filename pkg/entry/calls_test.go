package entry

import (
	"net/http"
	"os"
	"testing"
	"testing/iotest"

	"foldarch.dev/foldarch/pkg/clientlimit"
	"foldarch.dev/foldarch/pkg/result"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
)

// Guards against refusals that do not say that nothing has run, or not when to come back.
func TestUnreadBodiesAreRefusedForNow(t *testing.T) {
	for name, cause := range map[string]error{"no memory": clientlimit.ErrBusy, "too slow": os.ErrDeadlineExceeded} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := readBody(iotest.ErrReader(errors.Wrap(cause, "read")))
			p := result.NewProblem(err)
			g.Expect(p.Code).To(Equal(result.Overloaded))
			g.Expect(p.Status).To(Equal(http.StatusTooManyRequests))
			g.Expect(p.Ran).To(Equal(result.RanNo))
			g.Expect(p.RetryAfterMs).To(BeNumerically(">", 0))
		})
	}
}

// Guards against limits that are taken for errors of the system.
func TestLargeAndBrokenBodiesAreRefusedForGood(t *testing.T) {
	g := NewWithT(t)
	_, err := readBody(iotest.ErrReader(&http.MaxBytesError{Limit: 1}))
	g.Expect(result.From(err).Code).To(Equal(result.BodyTooLarge))
	_, err = readBody(iotest.ErrReader(errors.New("broken")))
	g.Expect(result.From(err).Code).To(Equal(result.Malformed))
}
