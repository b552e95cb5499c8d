package replay

import (
	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/placement"
	"foldarch.dev/foldarch/pkg/settings"
)

// resourceAmounts are CPU in thousandths of a processor, memory in MB, and accelerators.
type resourceAmounts [3]int64

func (a resourceAmounts) resources() cell.Resources {
	return cell.Resources{CPUMillis: a[0], MemoryMB: a[1], Accelerators: a[2]}
}

// putWorker is the event that adds or updates a worker.
type putWorker struct {
	ID       string          `json:"id"`
	Region   string          `json:"region"`
	Hall     string          `json:"hall"`
	Rack     string          `json:"rack"`
	Labels   []string        `json:"labels"`
	Capacity resourceAmounts `json:"capacity"`
}

// submitTask is the event that a task arrives.
type submitTask struct {
	ID                 string          `json:"id"`
	Workload           string          `json:"workload"`
	Team               string          `json:"team"`
	Class              string          `json:"class"`
	Policy             string          `json:"policy"`
	RequestedResources resourceAmounts `json:"need"`
	Deadline           int64           `json:"deadline"`
	AtMostOnce         bool            `json:"once"`
	Allow              []string        `json:"allow"` // labels of workers; so are those of Forbid
	Forbid             []string        `json:"forbid"`
}

// setQuota is the event that replaces all quotas with that of one team.
type setQuota struct {
	Team   string          `json:"team"`
	Amount resourceAmounts `json:"amount"`
}

// applyPlacementEvent applies an event of package placement. It returns known = false if e is another event.
func (p *replayer) applyPlacementEvent(e event, now clock.Time) (known bool, err error) {
	switch {
	case e.PutWorker != nil:
		w := e.PutWorker
		p.placer.PutWorker(placement.Worker{
			ID: w.ID, Capacity: w.Capacity.resources(),
			Site: settings.Site{Region: w.Region, Hall: cell.Hall(w.Hall), Rack: w.Rack, Labels: w.Labels},
		})
	case e.CloseWorker != "":
		p.placer.CloseWorker(e.CloseWorker, true)
	case e.RemoveWorker != "":
		for _, t := range p.placer.RemoveWorker(e.RemoveWorker) {
			p.printDecision(now, "task=%s decision=lost worker=%s", t.ID, e.RemoveWorker)
		}
	case e.Submit != nil:
		p.placer.Submit(e.Submit.task(), now)
	case e.End != "":
		p.placer.End(e.End)
	case e.SetQuota != nil:
		p.placer.SetQuotas(map[string]cell.Resources{e.SetQuota.Team: e.SetQuota.Amount.resources()})
	case e.Next > 0:
		p.printNextPlacements(e.Next, now)
	default:
		return false, nil
	}
	return true, nil
}

func (s submitTask) task() placement.Task {
	clause := settings.Clause{Level: "trace"}
	for _, label := range s.Allow {
		clause.Allow = append(clause.Allow, settings.Selector{Kind: settings.ByLabel, Value: label})
	}
	for _, label := range s.Forbid {
		clause.Forbid = append(clause.Forbid, settings.Selector{Kind: settings.ByLabel, Value: label})
	}
	return placement.Task{
		ID: s.ID, Workload: s.Workload, Team: s.Team, Class: settings.Class(s.Class), Policy: settings.Policy(s.Policy),
		Resources: s.RequestedResources.resources(), Deadline: clock.Time(s.Deadline), Repeatable: !s.AtMostOnce,
		Place: settings.Place{Clauses: []settings.Clause{clause}},
	}
}

// printNextPlacements takes at most maxDecisions decisions from the placer and prints them. If tasks are
// still waiting then, it prints their number.
func (p *replayer) printNextPlacements(maxDecisions int, now clock.Time) {
	for _, d := range p.placer.Next(now, maxDecisions) {
		if d.Kind == placement.Preempt {
			p.printDecision(now, "task=%s decision=preempt worker=%s for=%s", d.Task.ID, d.Worker, d.For)
			continue
		}
		p.printDecision(now, "task=%s decision=start worker=%s", d.Task.ID, d.Worker)
	}
	if u := p.placer.Usage(); u.Waiting > 0 {
		p.printDecision(now, "waiting=%d", u.Waiting)
	}
}
