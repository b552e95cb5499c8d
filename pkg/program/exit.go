package program

import (
	"fmt"
	"io"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1 // the program failed
	ExitUsage   = 2 // the command line or the program's settings are invalid
)

// ReportError writes an error, prefixed with the program's name, and returns the exit code.
func ReportError(w io.Writer, name string, err error, code int) int {
	fmt.Fprintf(w, "%s: %v\n", name, err)
	return code
}
