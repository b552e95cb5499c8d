package jobhost

import (
	"io"
	"net/http"

	"foldarch.dev/foldarch/pkg/dispatch"
)

// maxCustomersWithMetrics is how many customers have their own metrics. All others are summed up, so that
// the number of metrics is bounded.
const maxCustomersWithMetrics = 16

// serveCustomers lists the customers with their running and waiting work. A host that is not the owner
// answers 421 with the owner's record.
func (h *Host) serveCustomers(w http.ResponseWriter, _ *http.Request) {
	o := h.owner.Load()
	if o == nil {
		h.redirectToOwner(w)
		return
	}
	writeAnswer(w, o.Customers())
}

// redirectToOwner answers a request that only the owner can serve: with status 421 and the owner's
// record.
func (h *Host) redirectToOwner(w http.ResponseWriter) {
	h.election.mu.Lock()
	defer h.election.mu.Unlock()
	w.WriteHeader(http.StatusMisdirectedRequest)
	writeAnswer(w, h.election.ownerRecord)
}

// writeCustomers writes the metrics of the first maxCustomersWithMetrics rows, which are those with most
// running, and the sums of all others.
func writeCustomers(w io.Writer, rows []dispatch.CustomerStatus) {
	others := dispatch.CustomerStatus{Name: "others"}
	for n, r := range rows {
		if n < maxCustomersWithMetrics {
			writeCustomer(w, r)
			continue
		}
		others.Used = others.Used.Add(r.Used)
		others.Jobs += r.Jobs
		others.Waiting += r.Waiting
		others.AwaitQuota += r.AwaitQuota
		others.AdviceMs += r.AdviceMs
	}
	if len(rows) > maxCustomersWithMetrics {
		writeCustomer(w, others)
	}
}

func writeCustomer(w io.Writer, r dispatch.CustomerStatus) {
	prefix := "customer." + r.Name
	writeMetric(w, prefix+".used_cpu_millis", float64(r.Used.CPUMillis))
	writeMetric(w, prefix+".used_memory_mb", float64(r.Used.MemoryMB))
	writeMetric(w, prefix+".jobs", float64(r.Jobs))
	writeMetric(w, prefix+".tasks_waiting", float64(r.Waiting))
	writeMetric(w, prefix+".tasks_awaiting_quota", float64(r.AwaitQuota))
	writeMetric(w, prefix+".advice_ms", float64(r.AdviceMs))
}
