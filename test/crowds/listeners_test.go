package crowds_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

const (
	readinessPath = "/readyz"
	// operatorPath is that of a job in foldarch's own API, at the operators' address.
	operatorPath = "/v1/queues/fits/jobs/5c0e7a21d94b36f8"
	// Parts of a frame between hosts: an invocation, and a length that its data does not reach.
	frameInvoke    = 0x02
	peerFrameBytes = 3 << 20
	framePiece     = 64 << 10
)

// sendUnfinishedFrame sends a frame between hosts in pieces and stops short of its end.
func sendUnfinishedFrame(c net.Conn, _ int) {
	const stream, message = 1, 1
	sendWithoutEnd(c, binary.AppendUvarint([]byte{frameInvoke, stream, message}, peerFrameBytes))
}

// sendWithoutEnd sends the head of a frame of peerFrameBytes, and the data in pieces without the end.
func sendWithoutEnd(c net.Conn, head []byte) {
	if !sendPieces(c, head, len(head)) {
		return
	}
	piece := bytes.Repeat([]byte("a"), framePiece)
	for n := 0; n+framePiece < peerFrameBytes; n += framePiece {
		if !sendPieces(c, piece, framePiece) {
			return
		}
	}
}

// sendEndlessBytes sends bytes that are no frames until its connection is closed.
func sendEndlessBytes(c net.Conn, _ int) {
	piece := bytes.Repeat([]byte{0xff}, framePiece)
	for sendPieces(c, piece, framePiece) {
	}
}

// Guards against descriptors used up by connections to the health check that send nothing.
func TestCrowdOfSilentConnectionsAtTheHealthCheck(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.ready, sendNothing)
}

// Guards against memory or descriptors used up by heads without end at the health check.
func TestCrowdOfEndlessHeadsAtTheHealthCheck(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.ready, newJobs.sendEndlessHead)
}

// Guards against descriptors used up by bodies without an end at the health check.
func TestCrowdOfUnfinishedBodiesAtTheHealthCheck(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.ready, requestsTo("POST", readinessPath).sendUnfinishedBody)
}

// Guards against descriptors used up by connections to the operators' address that send nothing.
func TestCrowdOfSilentConnectionsOfOperators(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.operator, sendNothing)
}

// Guards against memory or descriptors used up by heads without end at the operators' address.
func TestCrowdOfEndlessHeadsOfOperators(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.operator, newJobs.sendEndlessHead)
}

// Guards against memory or descriptors used up by bodies without an end at the operators' address.
func TestCrowdOfUnfinishedBodiesOfOperators(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.operator, requestsTo("PUT", operatorPath).sendUnfinishedBody)
}

// Guards against descriptors used up by connections to the address for other hosts that send nothing.
func TestCrowdOfSilentPeers(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.peers, sendNothing)
}

// Guards against memory used up by frames between hosts that do not end.
func TestCrowdOfUnfinishedPeerFrames(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.peers, sendUnfinishedFrame)
}

// Guards against memory used up by what arrives on connections that wait to be accepted.
func TestCrowdOfUnfinishedPeerFramesDuringAPause(t *testing.T) {
	h := newHost(t)
	h.withstandCrowd(func() *crowd {
		h.Expect(unix.Kill(h.pid, unix.SIGSTOP)).To(Succeed())
		defer func() { h.Expect(unix.Kill(h.pid, unix.SIGCONT)).To(Succeed()) }()
		c := startCrowd(crowdSize, h.peers, sendUnfinishedFrame)
		c.awaitSent()
		return c
	}, crowdSize)
}

// Guards against memory or descriptors used up by bytes without end at the address for other hosts.
func TestCrowdOfEndlessPeerBytes(t *testing.T) {
	h := newHost(t)
	h.withstand(crowdSize, h.peers, sendEndlessBytes)
}
