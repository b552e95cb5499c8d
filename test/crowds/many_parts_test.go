package crowds_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
)

const (
	smallBodyBytes = 30 << 10 // about the size that is not charged to the budget for bodies
	smallHeadBytes = 15 << 10 // about the largest head
)

// bodyOfElements returns a body of about the given size that has an element many times between begin and end.
func bodyOfElements(begin, element, end string, size int) []byte {
	list := strings.Repeat(element+",", size/(len(element)+1))
	return []byte(begin + strings.TrimSuffix(list, ",") + end)
}

// Guards against memory used up by small bodies with many elements that are no steps.
func TestCrowdOfSmallBodiesWithManyElements(t *testing.T) {
	for _, element := range []string{"0", "null"} {
		t.Run(element, func(t *testing.T) {
			h := newHost(t)
			h.withstand(crowdSize, h.callers, newJobs.wholeBody(bodyOfElements(`{"spec":"","steps":[`, element, `]}`, smallBodyBytes)))
		})
	}
}

// Guards against memory used up by large bodies with many elements that are no steps.
func TestCrowdOfLargeBodiesWithManyElements(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, newJobs.wholeBody(bodyOfElements(`{"spec":"","steps":[`, "0", `]}`, largeBodyBytes)))
}

// Guards against memory used up by bodies whose steps depend on others many times.
func TestCrowdOfBodiesWithManyDependencies(t *testing.T) {
	const begin, end = `{"spec":"ms=10","steps":[{"count":1,"cpu":1},{"count":1,"cpu":1,"after":[`, `]}]}`
	for _, size := range []int{smallBodyBytes, largeBodyBytes} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			h := newHost(t)
			h.withstand(crowdSize, h.callers, newJobs.wholeBody(bodyOfElements(begin, "0", end, size)))
		})
	}
}

// sendManyLines sends a head of many short lines and stops short of its end.
func sendManyLines(c net.Conn, _ int) {
	text := bytes.TrimSuffix(newJobs.head(), []byte("\r\n"))
	for n := 0; len(text) < smallHeadBytes; n++ {
		text = fmt.Appendf(text, "%x:\r\n", n)
	}
	_, _ = c.Write(text)
}

// sendManyLinesAndNoBody sends a head of many short lines and nothing of its body.
func sendManyLinesAndNoBody(c net.Conn, n int) {
	sendManyLines(c, n)
	_, _ = fmt.Fprintf(c, "%s\r\n\r\n", contentLength(smallBodyBytes))
}

// Guards against memory used up by unfinished heads of many short lines.
func TestCrowdOfHeadsWithManyLines(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, sendManyLines)
}

// Guards against memory used up by heads of many short lines whose bodies do not come.
func TestCrowdOfHeadsWithManyLinesAndNoBody(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.callers, sendManyLinesAndNoBody)
}
