package tomlfile

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is a time.Duration that is written in TOML as a string with a unit, such as "90s".
type Duration time.Duration

// UnmarshalText parses a duration, which must be above zero and have a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Newf("%q is not a duration such as \"500ms\", \"90s\" or \"2h\"", text)
	}
	if v <= 0 {
		return errors.Newf("%q is not above zero", text)
	}
	*d = Duration(v)
	return nil
}
