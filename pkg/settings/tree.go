package settings

import (
	"maps"
	"path"
	"slices"
	"strings"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/tomlfile"
)

// Tree is a complete, valid set of settings.
type Tree struct {
	Layout        cell.Layout
	Quotas        map[string]cell.Resources // by team
	LargestWorker cell.Resources
	Workloads     map[string]Workload
}

// Sorted lists the workloads ordered by name.
func (t *Tree) Sorted() []Workload {
	list := make([]Workload, 0, len(t.Workloads))
	for _, name := range slices.Sorted(maps.Keys(t.Workloads)) {
		list = append(list, t.Workloads[name])
	}
	return list
}

// Parse builds the tree from its documents, which are keyed by their paths with slashes. It returns all
// faults it finds; if there are any, the tree is nil.
func Parse(docs map[string]string) (*Tree, []Fault) {
	b := &builder{docs: docs, groups: map[string]groupDocument{}, tree: &Tree{
		Quotas:    map[string]cell.Resources{},
		Workloads: map[string]Workload{},
	}}
	if b.readRoot() {
		b.readGroups()
		b.readWorkloads()
		b.checkQuotas()
	}
	if len(b.faults) > 0 {
		sortFaults(b.faults)
		return nil, b.faults
	}
	return b.tree, nil
}

// builder holds the intermediate results of Parse.
type builder struct {
	docs   map[string]string
	root   cellDocument
	groups map[string]groupDocument // by directory
	tree   *Tree
	faults []Fault
}

func (b *builder) addFault(file, key, text string) {
	line := tomlfile.LineOf(b.docs[file], key)
	b.faults = append(b.faults, Fault{File: file, Line: line, Key: key, Text: text})
}

// decode reports whether the document could be decoded; unknown keys are faults but don't prevent that.
// Callers skip the checks that depend on a document that could not be decoded.
func (b *builder) decode(file string, target any) bool {
	decoded := true
	for _, p := range tomlfile.Decode(b.docs[file], target) {
		b.faults = append(b.faults, Fault{File: file, Line: p.Line, Key: p.Key, Text: p.Text})
		decoded = decoded && !p.Fatal
	}
	return decoded
}

func (b *builder) readRoot() bool {
	if _, ok := b.docs[rootFile]; !ok {
		b.faults = append(b.faults, Fault{File: rootFile, Line: 1, Text: "the root document is missing"})
		return false
	}
	if !b.decode(rootFile, &b.root) {
		return false
	}
	b.readHalls()
	for team, doc := range b.root.Teams {
		if doc.Quota != nil {
			b.tree.Quotas[team] = doc.Quota.resources()
		}
	}
	if b.root.LargestWorker != nil {
		b.tree.LargestWorker = b.root.LargestWorker.resources()
	}
	return true
}

func (b *builder) readHalls() {
	if len(b.root.Halls) == 0 {
		b.addFault(rootFile, "hall", "a cell needs at least one hall")
	}
	seen := map[string]bool{}
	for _, h := range b.root.Halls {
		switch {
		case h.Name == "" || strings.Contains(h.Name, "/"):
			b.addFault(rootFile, "hall", "a hall needs a name without a slash")
		case seen[h.Name]:
			b.addFault(rootFile, "hall", "two halls are named "+h.Name)
		case h.Region == "":
			b.addFault(rootFile, "hall", "hall "+h.Name+" needs a region")
		case h.Shards < 0:
			b.addFault(rootFile, "hall", "hall "+h.Name+": shards is below 1")
		}
		seen[h.Name] = true
		b.tree.Layout.Halls = append(b.tree.Layout.Halls,
			cell.HallLayout{Name: cell.Hall(h.Name), Region: h.Region, Shards: max(h.Shards, 1)})
	}
}

func (b *builder) readGroups() {
	for _, file := range b.sortedFiles() {
		if path.Base(file) != groupFile {
			continue
		}
		var doc groupDocument
		if b.decode(file, &doc) {
			b.groups[path.Dir(file)] = doc
		}
	}
}

func (b *builder) readWorkloads() {
	for _, file := range b.sortedFiles() {
		if file == rootFile || path.Base(file) == groupFile {
			continue
		}
		b.readWorkload(file)
	}
}

func (b *builder) readWorkload(file string) {
	var doc workloadDocument
	if !b.decode(file, &doc) {
		return
	}
	w := b.newWorkload(file, doc)
	if other, ok := b.tree.Workloads[w.Name]; ok {
		b.addFault(file, "name", "the workload "+w.Name+" is claimed by "+other.File+" too")
		return
	}
	b.applyRules(&w, rootFile, b.root.Rules)
	for _, dir := range ancestors(path.Dir(file)) {
		if group, ok := b.groups[dir]; ok {
			b.applyRules(&w, path.Join(dir, groupFile), group.Rules)
		}
	}
	b.applyRules(&w, file, doc.Rules)
	b.checkWorkload(w)
	b.tree.Workloads[w.Name] = w
}

func (b *builder) newWorkload(file string, doc workloadDocument) Workload {
	w := Workload{
		Name: doc.Name, File: file, Kind: Kind(doc.Kind), Team: doc.Team,
		Instances: doc.Instances, Slots: doc.Slots, Tasks: doc.Tasks,
		Policy: PolicySpread, Class: ClassService,
		Repeatable: true, Window: DefaultWindow, TimeLimit: DefaultTimeLimit, Drain: DefaultDrain,
		MaxBody: DefaultMaxBodyKB << 10, Queue: DefaultQueue,
		SourceFiles: map[string]string{},
	}
	if w.Kind == KindBatch {
		w.Policy, w.Class = PolicyPack, ClassBatch
	}
	if w.Name == "" {
		w.Name = strings.TrimSuffix(path.Base(file), fileSuffix)
	}
	if w.Slots == 0 {
		w.Slots = DefaultSlots
	}
	if w.Tasks == 0 {
		w.Tasks = 1
	}
	return w
}

func (b *builder) sortedFiles() []string {
	return slices.Sorted(maps.Keys(b.docs))
}

// ancestors lists a directory and its parents except the root, topmost first: "a/b" gives "a", "a/b".
func ancestors(dir string) []string {
	if dir == "." || dir == "/" {
		return nil
	}
	return append(ancestors(path.Dir(dir)), dir)
}

func (r *resourcesDocument) resources() cell.Resources {
	return cell.Resources{CPUMillis: r.CPUMillis, MemoryMB: r.MemoryMB, Accelerators: r.Accelerators}
}
