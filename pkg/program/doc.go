// Package program holds what all foldarch programs share: exit codes and error output.
//
// # Usage
//
//	return program.ReportError(os.Stderr, "foldarch-entry", err, program.ExitUsage)
package program
