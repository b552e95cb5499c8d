package settings

import (
	"time"

	"foldarch.dev/foldarch/pkg/tomlfile"
)

// applyRules overrides the rules of w, inherited from higher levels, with those of a lower level. level
// is the file that contains them.
func (b *builder) applyRules(w *Workload, level string, rules rulesDocument) {
	setIfPresent(w, level, "rules.class", rules.Class, func(v string) { w.Class = Class(v) })
	setIfPresent(w, level, "rules.policy", rules.Policy, func(v string) { w.Policy = Policy(v) })
	setIfPresent(w, level, "rules.repeatable", rules.Repeatable, func(v bool) { w.Repeatable = v })
	setIfPresent(w, level, "rules.window", rules.Window, func(v tomlfile.Duration) { w.Window = time.Duration(v) })
	setIfPresent(w, level, "rules.time_limit", rules.TimeLimit, func(v tomlfile.Duration) { w.TimeLimit = time.Duration(v) })
	setIfPresent(w, level, "rules.drain", rules.Drain, func(v tomlfile.Duration) { w.Drain = time.Duration(v) })
	setIfPresent(w, level, "rules.retries", rules.Retries, func(v int) { w.Retries = v })
	setIfPresent(w, level, "rules.max_body_kb", rules.MaxBodyKB, func(v int64) { w.MaxBody = v << 10 })
	setIfPresent(w, level, "rules.queue", rules.Queue, func(v int) { w.Queue = v })
	setIfPresent(w, level, "rules.resources", rules.Resources, func(v resourcesDocument) { w.Resources = v.resources() })
	setIfPresent(w, level, "rules.place", rules.Place, func(v placeDocument) { b.applyPlaceRule(w, level, v) })
}

// setIfPresent sets a rule and records its source file, unless value is nil.
func setIfPresent[T any](w *Workload, level, key string, value *T, set func(T)) {
	if value == nil {
		return
	}
	set(*value)
	w.SourceFiles[key] = level
}

func (b *builder) applyPlaceRule(w *Workload, level string, doc placeDocument) {
	clause := Clause{Level: level, Final: doc.Final}
	clause.Allow = b.parseSelectors(level, "rules.place.allow", doc.Allow)
	clause.Forbid = b.parseSelectors(level, "rules.place.forbid", doc.Forbid)
	b.checkNarrowing(*w, clause)
	w.Place = w.Place.withClause(clause)
}

func (b *builder) parseSelectors(level, key string, texts []string) []Selector {
	var list []Selector
	for _, text := range texts {
		s, err := parseSelector(text)
		if err != nil {
			b.addFaultOnce(level, key, err.Error())
			continue
		}
		if s.isHallWide() && !b.inLayout(s) {
			b.addFaultOnce(level, key, "the cell has no "+string(s.Kind)+" "+s.Value)
		}
		list = append(list, s)
	}
	return list
}

// inLayout reports whether any hall of the cell matches a selector by region or hall.
func (b *builder) inLayout(s Selector) bool {
	for _, h := range b.tree.Layout.Halls {
		if s.matches(Site{Region: h.Region, Hall: h.Name}) {
			return true
		}
	}
	return false
}

// addFaultOnce adds a fault unless it is already listed. A rule inherited by many workloads is checked for
// each of them but should be reported once.
func (b *builder) addFaultOnce(file, key, text string) {
	for _, f := range b.faults {
		if f.File == file && f.Key == key && f.Text == text {
			return
		}
	}
	b.addFault(file, key, text)
}
