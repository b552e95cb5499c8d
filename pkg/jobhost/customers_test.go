package jobhost

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"foldarch.dev/foldarch/pkg/cell"
	"foldarch.dev/foldarch/pkg/dispatch"
	. "github.com/onsi/gomega"
)

func TestCustomerMetricsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var rows []dispatch.CustomerStatus
	for n := range 5000 {
		rows = append(rows, dispatch.CustomerStatus{Name: fmt.Sprintf("c%d", n), Used: cell.Resources{CPUMillis: 2}, Jobs: 1})
	}
	var out bytes.Buffer
	writeCustomers(&out, rows)
	g.Expect(strings.Count(out.String(), "\n")).To(Equal(6 * (maxCustomersWithMetrics + 1)))
	g.Expect(out.String()).To(ContainSubstring("customer.c0.used_cpu_millis 2\n"))
	g.Expect(out.String()).To(ContainSubstring(fmt.Sprintf("customer.others.jobs %d\n", 5000-maxCustomersWithMetrics)))
}
