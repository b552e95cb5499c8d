// Package trace holds recorded traffic: who asked for what, and when. Two traces are
// bundled, a morning of Hanbit's (score ticks, recaps, stat sheets) and a day of the
// Association's (fits, screens, publications). Both were written by Generate from a seed;
// a test keeps the files and the generator together.
//
// # Usage
//
//	events, err := trace.Bundled(trace.Hanbit)
//	events = trace.Generate(trace.Association, 7) // another day
package trace
