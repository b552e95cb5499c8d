package cli

import (
	"fmt"
	"io"
	"time"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dispatch"
)

// JobCustomersCommand lists the customers with their running and waiting work.
type JobCustomersCommand struct {
	hostFlag
	JSON bool `help:"Print JSON."`
}

// Help returns the detailed help text with an example; kong calls it.
func (JobCustomersCommand) Help() string {
	return "Those that have most running come first. A quota of - is no limit.\n\nExample:\n\n  foldarch job customers --host 10.1.0.13:9100"
}

// Run prints a table of the customers, or JSON.
func (c JobCustomersCommand) Run(e *commandEnv) error {
	body, err := c.queryOwner("/customers")
	if err != nil {
		return err
	}
	return printResponse(e, body, c.JSON, printCustomers)
}

func printCustomers(w io.Writer, customers []dispatch.CustomerStatus) {
	fmt.Fprintf(w, "%-20s %8s %7s %18s %20s %6s %8s %10s %9s\n", "CUSTOMER", "WEIGHT", "SHARE", "CORES OF QUOTA", "MEMORY MB OF QUOTA", "JOBS", "WAITING", "FOR QUOTA", "ADVICE S")
	for _, r := range customers {
		fmt.Fprintf(w, "%-20.20s %8g %6.1f%% %18s %20s %6d %8d %10d %9.1f\n", r.Name, r.Weight, 100*r.Share,
			formatQuotaUse(r.Used.CPUMillis/cell.MillisPerCPU, r.Quota.CPUMillis/cell.MillisPerCPU), formatQuotaUse(r.Used.MemoryMB, r.Quota.MemoryMB),
			r.Jobs, r.Waiting, r.AwaitQuota, (time.Duration(r.AdviceMs) * time.Millisecond).Seconds())
	}
}

// formatQuotaUse returns a text such as "812/4344", or "812/-" if quota is 0, which means no limit.
func formatQuotaUse(used, quota int64) string {
	if quota == 0 {
		return fmt.Sprintf("%d/-", used)
	}
	return fmt.Sprintf("%d/%d", used, quota)
}
