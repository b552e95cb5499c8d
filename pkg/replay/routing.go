package replay

import (
	"time"

	"foldarch.dev/foldarch/pkg/clock"
	"foldarch.dev/foldarch/pkg/routing"
	"github.com/cockroachdb/errors"
)

// putService is the event that adds or updates a service.
type putService struct {
	Name  string `json:"name"`
	Queue int    `json:"queue"`
}

// putEndpoint is the event that adds or updates an endpoint of a service.
type putEndpoint struct {
	Service   string `json:"service"`
	ID        string `json:"id"`
	Slots     int    `json:"slots"`
	Inherited bool   `json:"inherited"`
}

// updateOrphans is the event that an endpoint reports how many requests at most it runs for which the router
// has no waiting caller; see routing.Router.UpdateOrphans.
type updateOrphans struct {
	ID         string `json:"id"`
	MaxOrphans int    `json:"most"`
}

// routeRequest is the event that a request arrives.
type routeRequest struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Caller   string `json:"caller"`
	Class    int    `json:"class"`
	Deadline int64  `json:"deadline"`
}

// releaseRequest is the event that a request which was sent to an endpoint ends.
type releaseRequest struct {
	ID      string `json:"id"`
	Outcome string `json:"outcome"`
	TookMs  int64  `json:"took"`
}

// outcomesByName maps the Outcome of a releaseRequest.
var outcomesByName = map[string]routing.Outcome{
	"served": routing.Served, "failed": routing.Failed, "lost": routing.NoAnswer,
	"refused": routing.Refused, "unreached": routing.Unreached, "unsent": routing.Unsent,
}

// applyRoutingEvent applies an event of package routing. It returns known = false if e is another event.
func (p *replayer) applyRoutingEvent(e event, now clock.Time) (known bool, err error) {
	switch {
	case e.PutService != nil:
		p.router.PutService(e.PutService.Name, routing.Service{QueueLimit: e.PutService.Queue})
	case e.PutEndpoint != nil:
		p.router.PutEndpoint(e.PutEndpoint.Service, e.PutEndpoint.ID, e.PutEndpoint.Slots, e.PutEndpoint.Inherited)
		p.printRoutingDecisions(now, p.router.DispatchAll(now)...)
	case e.MarkLeaving != "":
		p.router.MarkLeaving(e.MarkLeaving)
	case e.UpdateOrphans != nil:
		p.printRoutingDecisions(now, p.router.UpdateOrphans(e.UpdateOrphans.ID, e.UpdateOrphans.MaxOrphans, now)...)
	case e.Arrive != nil:
		p.routeRequest(*e.Arrive, now)
	case e.Release != nil:
		return true, p.releaseRequest(*e.Release, now)
	case e.Expire:
		p.printRoutingDecisions(now, p.router.Expire(now)...)
	default:
		return false, nil
	}
	return true, nil
}

func (p *replayer) routeRequest(a routeRequest, now clock.Time) {
	r := &request{id: a.ID}
	r.request = routing.Request{
		Service: a.Service, Caller: a.Caller, Class: routing.Class(a.Class), Deadline: clock.Time(a.Deadline), Tag: r,
	}
	p.requests[a.ID] = r
	p.printRoutingDecisions(now, p.router.Route(&r.request, now))
}

func (p *replayer) releaseRequest(r releaseRequest, now clock.Time) error {
	sent, ok := p.requests[r.ID]
	outcome, known := outcomesByName[r.Outcome]
	if !ok || sent.endpoint == nil || !known {
		return errors.Newf("release of %q with outcome %q", r.ID, r.Outcome)
	}
	took := time.Duration(r.TookMs) * time.Millisecond
	p.printRoutingDecisions(now, p.router.Release(sent.endpoint, outcome, took, now)...)
	return nil
}

// printRoutingDecisions prints decisions, and stores the endpoint of each request that was sent.
func (p *replayer) printRoutingDecisions(now clock.Time, decisions ...routing.Decision) {
	for _, d := range decisions {
		if d.Evicted != nil {
			p.printDecision(now, "request=%s decision=queue_full for=%s", d.Evicted.Tag.(*request).id, d.Request.Tag.(*request).id)
		}
		r := d.Request.Tag.(*request)
		switch {
		case d.Kind == routing.Send:
			r.endpoint = d.Endpoint
			p.printDecision(now, "request=%s decision=send endpoint=%s", r.id, d.Endpoint.ID)
		case d.RetryAfter > 0:
			p.printDecision(now, "request=%s decision=%s retry_after_ms=%d", r.id, d.Kind, d.RetryAfter.Milliseconds())
		default:
			p.printDecision(now, "request=%s decision=%s", r.id, d.Kind)
		}
	}
}
