package settings

import "foldarch.dev/foldarch/pkg/tomlfile"

// Reserved file names, and the suffix of all files that are read.
const (
	rootFile   = "cell.toml"
	groupFile  = "group.toml"
	fileSuffix = ".toml"
)

type cellDocument struct {
	Halls         []hallDocument          `toml:"hall"`
	Teams         map[string]teamDocument `toml:"team"`
	LargestWorker *resourcesDocument      `toml:"largest_worker"`
	Rules         rulesDocument           `toml:"rules"`
}

type hallDocument struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
	Shards int    `toml:"shards"`
}

type teamDocument struct {
	Quota *resourcesDocument `toml:"quota"`
}

type groupDocument struct {
	Rules rulesDocument `toml:"rules"`
}

type workloadDocument struct {
	Name      string        `toml:"name"`
	Kind      string        `toml:"kind"`
	Team      string        `toml:"team"`
	Instances int           `toml:"instances"`
	Slots     int           `toml:"slots"`
	Tasks     int           `toml:"tasks"`
	Rules     rulesDocument `toml:"rules"`
}

type rulesDocument struct {
	Class      *string            `toml:"class"`
	Policy     *string            `toml:"policy"`
	Repeatable *bool              `toml:"repeatable"`
	Window     *tomlfile.Duration `toml:"window"`
	TimeLimit  *tomlfile.Duration `toml:"time_limit"`
	Drain      *tomlfile.Duration `toml:"drain"`
	Retries    *int               `toml:"retries"`
	MaxBodyKB  *int64             `toml:"max_body_kb"`
	Queue      *int               `toml:"queue"`
	Place      *placeDocument     `toml:"place"`
	Resources  *resourcesDocument `toml:"resources"`
}

type placeDocument struct {
	Allow  []string `toml:"allow"`
	Forbid []string `toml:"forbid"`
	Final  bool     `toml:"final"`
}

type resourcesDocument struct {
	CPUMillis    int64 `toml:"cpu_millis"`
	MemoryMB     int64 `toml:"memory_mb"`
	Accelerators int64 `toml:"accelerators"`
}
