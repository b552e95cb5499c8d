package tomlfile

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
	"github.com/cockroachdb/errors"
)

// Problem is an error in a TOML text.
type Problem struct {
	Line int // from 1
	Key  string
	Text string
	// Fatal means that decoding stopped at this problem and the target must not be used.
	Fatal bool
}

// typeErrorPattern extracts line, key and message from the TOML library's text for a value of a wrong
// type. The library provides them in no other form.
var typeErrorPattern = regexp.MustCompile(`line (\d+) \(last key "([^"]*)"\): (.*)`)

// Decode decodes text into the struct that target points to. It returns either all unknown keys, or the
// single encoding, syntax or type error that stopped decoding.
func Decode(text string, target any) []Problem {
	if !utf8.ValidString(text) {
		return []Problem{{Line: firstInvalidLine(text), Text: "the text is not UTF-8", Fatal: true}}
	}
	meta, err := toml.Decode(text, target)
	if err != nil {
		return []Problem{problemFromError(err)}
	}
	var problems []Problem
	known := knownKeys(reflect.TypeOf(target))
	for _, key := range meta.Undecoded() {
		problems = append(problems, Problem{
			Line: LineOf(text, key.String()),
			Key:  key.String(),
			Text: "unknown key" + suggestion(key[len(key)-1], known),
		})
	}
	return problems
}

func problemFromError(err error) Problem {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Problem{Line: parse.Position.Line, Key: parse.LastKey, Text: parse.Message, Fatal: true}
	}
	if m := typeErrorPattern.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return Problem{Line: line, Key: m[2], Text: m[3], Fatal: true}
	}
	return Problem{Line: 1, Text: err.Error(), Fatal: true}
}

func firstInvalidLine(text string) int {
	for i, line := range strings.Split(text, "\n") {
		if !utf8.ValidString(line) {
			return i + 1
		}
	}
	return 1
}

// LineOf returns the line, counted from 1, that sets a dotted key in a TOML text. For a table it is the line
// of the table's header. If the text doesn't set the key, LineOf returns the line of the innermost table
// around it that the text has, or else 1.
func LineOf(text, dotted string) int {
	table := ""
	for i, raw := range strings.Split(text, "\n") {
		line := strings.TrimSpace(raw)
		if strings.HasPrefix(line, "[") {
			table = strings.Trim(strings.SplitN(line, "#", 2)[0], "[] \t")
			if table == dotted {
				return i + 1
			}
			continue
		}
		name, _, found := strings.Cut(line, "=")
		if found && joinKey(table, strings.TrimSpace(name)) == dotted {
			return i + 1
		}
	}
	if dot := strings.LastIndex(dotted, "."); dot > 0 {
		return LineOf(text, dotted[:dot])
	}
	return 1
}

func joinKey(table, name string) string {
	if table == "" {
		return name
	}
	return table + "." + name
}

// knownKeys collects the TOML keys of a struct type and of all types nested in it.
func knownKeys(t reflect.Type) []string {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		return knownKeys(t.Elem())
	case reflect.Struct:
	default:
		return nil
	}
	var keys []string
	for i := range t.NumField() {
		field := t.Field(i)
		if tag := field.Tag.Get("toml"); tag != "" {
			keys = append(keys, tag)
			keys = append(keys, knownKeys(field.Type)...)
		}
	}
	return keys
}

// suggestion returns a hint with the known key most similar to key, or "" if none is similar enough.
func suggestion(key string, known []string) string {
	best, bestDistance := "", len(key)/2+1
	for _, k := range known {
		if d := editDistance(key, k); d < bestDistance {
			best, bestDistance = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf(", did you mean %q?", best)
}

// editDistance returns the Levenshtein distance of two strings.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(b)]
}
