package cli

import (
	"fmt"
	"io"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dispatch"
)

// JobCustomersCommand lists the customers with what they have running and waiting.
type JobCustomersCommand struct {
	hostFlag
	JSON bool `help:"Print JSON."`
}

// Help gives an example.
func (JobCustomersCommand) Help() string {
	return "Those that have most running come first. A quota of - is no limit.\n\nExample:\n\n  foldarch job customers --host 10.1.0.13:9100"
}

// Run asks the host, and the owner if that is another one.
func (c JobCustomersCommand) Run(e *env) error {
	body, err := c.askOwner("/customers")
	if err != nil {
		return err
	}
	return printAnswer(e, body, c.JSON, printCustomers)
}

func printCustomers(w io.Writer, rows []dispatch.CustomerStatus) {
	fmt.Fprintf(w, "%-20s %8s %7s %18s %20s %6s %8s %10s %9s\n", "CUSTOMER", "WEIGHT", "SHARE", "CORES OF QUOTA", "MEMORY MB OF QUOTA", "JOBS", "WAITING", "FOR QUOTA", "ADVICE S")
	for _, r := range rows {
		fmt.Fprintf(w, "%-20.20s %8g %6.1f%% %18s %20s %6d %8d %10d %9.1f\n", r.Name, r.Weight, 100*r.Share,
			ofQuota(r.Used.CPUMillis/cell.MillisPerCPU, r.Quota.CPUMillis/cell.MillisPerCPU), ofQuota(r.Used.MemoryMB, r.Quota.MemoryMB),
			r.Jobs, r.Waiting, r.AwaitQuota, (time.Duration(r.AdviceMs) * time.Millisecond).Seconds())
	}
}

// ofQuota is such as "812/4344", or "812/-" without a limit.
func ofQuota(used, quota int64) string {
	if quota == 0 {
		return fmt.Sprintf("%d/-", used)
	}
	return fmt.Sprintf("%d/%d", used, quota)
}
