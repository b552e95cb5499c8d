// Package bench measures foldarch and writes the figures to bench/figures.txt, one "name value unit" per
// line. Where possible, speed is given as the ratio to a baseline of the same run. The baselines are
// implemented in these files.
package bench

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
)

// figures holds the lines measured in this run, by name.
var figures = map[string]string{}

func recordFigure(b *testing.B, name string, value float64, unit string) {
	b.Helper()
	text := fmt.Sprintf("%.4g", value)
	figures[name] = fmt.Sprintf("%s %s %s", name, text, unit)
	b.Logf("%s %s %s", name, text, unit)
}

func TestMain(m *testing.M) {
	code := m.Run()
	if err := writeFigures(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// writeFigures writes figures.txt. It replaces the lines that were measured in this run and keeps the others.
func writeFigures() error {
	if len(figures) == 0 {
		return nil
	}
	old, err := os.ReadFile("figures.txt")
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	for _, line := range strings.Split(string(old), "\n") {
		name, _, found := strings.Cut(line, " ")
		if _, measured := figures[name]; found && !measured {
			figures[name] = line
		}
	}
	lines := make([]string, 0, len(figures))
	for _, line := range figures {
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return os.WriteFile("figures.txt", []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// quantile sorts the values and returns their q-quantile.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}
