package settings

import (
	"fmt"
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"github.com/cockroachdb/errors"
)

// SelectorKind is the worker property that a Selector compares.
type SelectorKind string

// Selector kinds, as they are written in place rules.
const (
	ByRegion SelectorKind = "region"
	ByHall   SelectorKind = "hall"
	ByRack   SelectorKind = "rack"
	ByLabel  SelectorKind = "label"
)

// Selector matches workers by one property; its text form is "kind:value".
type Selector struct {
	Kind  SelectorKind
	Value string
}

// String returns the form "kind:value".
func (s Selector) String() string {
	return string(s.Kind) + ":" + s.Value
}

func parseSelector(text string) (Selector, error) {
	kind, value, found := strings.Cut(text, ":")
	switch SelectorKind(kind) {
	case ByRegion, ByHall, ByRack, ByLabel:
		if found && value != "" {
			return Selector{SelectorKind(kind), value}, nil
		}
	}
	return Selector{}, errors.Newf("%q is not of the form region:NAME, hall:NAME, rack:NAME or label:NAME", text)
}

// Site is the location and the labels of a worker, as far as place rules use them.
type Site struct {
	Region string
	Hall   cell.Hall
	Rack   string
	Labels []string
}

func (s Selector) matches(site Site) bool {
	switch s.Kind {
	case ByRegion:
		return s.Value == site.Region
	case ByHall:
		return s.Value == string(site.Hall)
	case ByRack:
		return s.Value == site.Rack
	default:
		return slices.Contains(site.Labels, s.Value)
	}
}

// isHallWide reports whether the selector matches either all sites of a hall or none of them.
func (s Selector) isHallWide() bool {
	return s.Kind == ByRegion || s.Kind == ByHall
}

// Clause is the place rule of one level. A site satisfies it if it matches at least one selector of
// Allow (or Allow is empty) and none of Forbid.
type Clause struct {
	Level  string // file that contains the rule
	Allow  []Selector
	Forbid []Selector
	Final  bool // lower levels can't replace the clause
}

// Place is the place rule of a workload: a site must satisfy every clause.
type Place struct {
	Clauses []Clause
}

// Allows reports whether a task may run at a site and, if not, which clause rejects the site.
func (p Place) Allows(site Site) (bool, string) {
	for _, c := range p.Clauses {
		if reason := c.rejection(site, false); reason != "" {
			return false, reason
		}
	}
	return true, ""
}

// AllowsHall reports whether a worker of a hall could satisfy the rule, and if not, which clause rejects
// the hall. Selectors by rack or label are assumed to be satisfied by some worker.
func (p Place) AllowsHall(h cell.HallLayout) (bool, string) {
	site := Site{Region: h.Region, Hall: h.Name}
	for _, c := range p.Clauses {
		if reason := c.rejection(site, true); reason != "" {
			return false, reason
		}
	}
	return true, ""
}

// rejection returns why the clause rejects a site, or "" if it doesn't. With hallOnly, the site is a
// whole hall, and selectors by rack or label can't lead to a rejection.
func (c Clause) rejection(site Site, hallOnly bool) string {
	for _, s := range c.Forbid {
		if s.matches(site) && (s.isHallWide() || !hallOnly) {
			return fmt.Sprintf("%s forbids %s", c.Level, s)
		}
	}
	if len(c.Allow) == 0 {
		return ""
	}
	for _, s := range c.Allow {
		if s.matches(site) || (hallOnly && !s.isHallWide()) {
			return ""
		}
	}
	return fmt.Sprintf("%s allows only %s", c.Level, joinSelectors(c.Allow))
}

// withClause returns the place rule that applies after a lower level adds its clause: final clauses of
// higher levels are kept, the others are replaced.
func (p Place) withClause(c Clause) Place {
	var kept []Clause
	for _, upper := range p.Clauses {
		if upper.Final {
			kept = append(kept, upper)
		}
	}
	return Place{Clauses: append(kept, c)}
}

// String returns the clauses in the form "allow a, b; forbid c", joined by "and".
func (p Place) String() string {
	if len(p.Clauses) == 0 {
		return "anywhere"
	}
	parts := make([]string, 0, len(p.Clauses))
	for _, c := range p.Clauses {
		parts = append(parts, c.String())
	}
	return strings.Join(parts, " and ")
}

// String returns the clause without its level.
func (c Clause) String() string {
	text := "allow anywhere"
	if len(c.Allow) > 0 {
		text = "allow " + joinSelectors(c.Allow)
	}
	if len(c.Forbid) > 0 {
		text += "; forbid " + joinSelectors(c.Forbid)
	}
	if c.Final {
		text += " (final)"
	}
	return text
}

func joinSelectors(list []Selector) string {
	texts := make([]string, 0, len(list))
	for _, s := range list {
		texts = append(texts, s.String())
	}
	return strings.Join(texts, ", ")
}
