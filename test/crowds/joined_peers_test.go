package crowds_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"foldarch.dev/foldarch/pkg/poolrpc/poolpb"
	. "github.com/onsi/gomega"
	"storj.io/drpc/drpcconn"
)

const unknownJob = "ffffffffffffffff"

// sendUnfinishedFrameAfterJoining joins the owner as another host does, and then sends a frame that does not end.
func sendUnfinishedFrameAfterJoining(c net.Conn, client int) {
	if !join(c, client) {
		return
	}
	const stream, message = 1, 1000
	text := binary.AppendUvarint([]byte{frameInvoke, stream}, message)
	text = binary.AppendUvarint(text, peerFrameBytes)
	_, _ = c.Write(append(text, bytes.Repeat([]byte("a"), peerFrameBytes-1)...))
}

// join sends the first messages of another host. It returns false if the connection is closed.
func join(c net.Conn, client int) bool {
	stream, err := poolpb.NewDRPCPoolClient(drpcconn.New(c)).Join(context.Background())
	if err != nil {
		return false
	}
	status := &poolpb.MemberStatus{Name: fmt.Sprintf("unknown-%d", client), Hall: "unknown", HeartbeatMs: time.Hour.Milliseconds()}
	return stream.Send(&poolpb.MemberMessage{Content: &poolpb.MemberMessage_Status{Status: status}}) == nil
}

// Guards against memory used up by frames without an end on connections that have made a call.
func TestCrowdOfUnfinishedFramesAfterJoining(t *testing.T) {
	h := newHost(t)
	h.Eventually(func() int {
		status, _ := call(http.MethodGet, h.operator, "/jobs/"+unknownJob, nil)
		return status
	}, "20s", "50ms").Should(Equal(http.StatusNotFound), "the host owns the pool")
	h.withstandCrowd(func() *crowd {
		return startCrowdWith(&net.Dialer{Timeout: answerTimeout}, crowdSize, h.peers, sendUnfinishedFrameAfterJoining)
	}, crowdSize)
}
