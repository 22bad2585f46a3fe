package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/jayproxy/jayproxy/internal/keys"
)

// MaxFrameBytes bounds the size of one message.
const MaxFrameBytes = 16 << 20

// ErrFrameTooLong means that a peer announced a frame above MaxFrameBytes.
var ErrFrameTooLong = errors.New("frame too long")

// ErrLinkLost means that neither a frame nor a heartbeat arrived from the peer for LinkTimeout.
var ErrLinkLost = errors.New("link lost")

// A heartbeat is a frame of length 0. Each side sends one when it has sent nothing else for
// LinkTimeout divided by heartbeatsPerTimeout, so that two lost ones don't look like a lost
// link. Heartbeats are sent only on open streams: idle connections cause no traffic.
const (
	heartbeat            = 0
	heartbeatsPerTimeout = 3
)

// abortCode is the error code of a stream that was aborted.
const abortCode quic.StreamErrorCode = 1

// Stats counts the frames that a node sent and received on streams, without heartbeats.
type Stats struct {
	FramesSent, FramesReceived atomic.Uint64
	BytesSent, BytesReceived   atomic.Uint64
}

// Stream carries typed, length-prefixed messages in both directions. One goroutine may send
// while another receives.
type Stream struct {
	node        *Node
	link        *link
	quic        *quic.Stream
	reader      *bufio.Reader
	stats       *Stats
	linkTimeout time.Duration

	sendMu         sync.Mutex
	sendBuffer     []byte
	sendDone       bool
	heartbeatTimer *time.Timer

	deadlineMu   sync.Mutex
	readDeadline time.Time
	// readEnded: the peer's side was read to io.EOF.
	readEnded atomic.Bool
}

func newStream(n *Node, l *link, s *quic.Stream) *Stream {
	linkTimeout := n.options.LinkTimeout
	stream := &Stream{node: n, link: l, quic: s, reader: bufio.NewReader(s), stats: &n.Stats, linkTimeout: linkTimeout}
	stream.sendMu.Lock()
	defer stream.sendMu.Unlock()
	stream.heartbeatTimer = time.AfterFunc(linkTimeout/heartbeatsPerTimeout, stream.sendHeartbeat)
	return stream
}

// Peer returns the identity in the peer's certificate.
func (s *Stream) Peer() keys.Identity { return s.link.peer }

// RetireLink excludes the stream's link from new streams, so that the next Open dials again.
// Callers use it when the peer didn't answer in time: a process that was replaced at its
// address doesn't answer on the old connection. Open streams on the link continue.
func (s *Stream) RetireLink() { s.node.retire(s.link) }

// Send writes one message. It returns an error for an empty message, which has the encoding of
// a heartbeat.
func (s *Stream) Send(message proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	size := proto.Size(message)
	if size == heartbeat {
		return eris.New("message is empty: its encoding is that of a heartbeat")
	}
	s.sendBuffer = binary.AppendUvarint(s.sendBuffer[:0], uint64(size))
	var err error
	s.sendBuffer, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(s.sendBuffer, message)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	if _, err := s.quic.Write(s.sendBuffer); err != nil {
		return eris.Wrap(err, "send frame")
	}
	s.stats.FramesSent.Add(1)
	s.stats.BytesSent.Add(uint64(len(s.sendBuffer)))
	s.heartbeatTimer.Reset(s.linkTimeout / heartbeatsPerTimeout)
	return nil
}

// sendHeartbeat is called by the heartbeat timer. After a failed write it sends no more: the
// peer no longer reads the stream.
func (s *Stream) sendHeartbeat() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendDone {
		return
	}
	if _, err := s.quic.Write([]byte{heartbeat}); err != nil {
		return
	}
	s.heartbeatTimer.Reset(s.linkTimeout / heartbeatsPerTimeout)
}

// Receive reads one message. It returns io.EOF after the peer closed its side, ErrLinkLost
// after LinkTimeout without a frame or heartbeat, and ErrFrameTooLong for a frame above
// MaxFrameBytes.
func (s *Stream) Receive(message proto.Message) error {
	size := uint64(heartbeat)
	for size == heartbeat {
		if err := s.setFrameDeadline(); err != nil {
			return err
		}
		var err error
		if size, err = binary.ReadUvarint(s.reader); err != nil {
			return s.receiveError(err)
		}
	}
	if size > MaxFrameBytes {
		return ErrFrameTooLong
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		if errors.Is(err, io.EOF) {
			// The size was received: the stream ends inside the frame.
			err = io.ErrUnexpectedEOF
		}
		return s.receiveError(err)
	}
	s.stats.FramesReceived.Add(1)
	s.stats.BytesReceived.Add(size)
	if err := proto.Unmarshal(body, message); err != nil {
		return eris.Wrap(err, "decode frame")
	}
	return nil
}

// setFrameDeadline bounds the wait for the next frame by LinkTimeout and the caller's deadline.
func (s *Stream) setFrameDeadline() error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	limit := time.Now().Add(s.linkTimeout)
	if callerDeadline := s.readDeadline; !callerDeadline.IsZero() && callerDeadline.Before(limit) {
		limit = callerDeadline
	}
	return eris.Wrap(s.quic.SetReadDeadline(limit), "set read deadline")
}

// receiveError maps a read error to io.EOF, ErrLinkLost or a wrapped error. It retires a lost
// link.
func (s *Stream) receiveError(err error) error {
	if errors.Is(err, io.EOF) {
		s.readEnded.Store(true)
		return io.EOF
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return eris.Wrap(err, "receive frame")
	}
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	if callerDeadline := s.readDeadline; !callerDeadline.IsZero() && !time.Now().Before(callerDeadline) {
		return eris.Wrap(err, "receive frame")
	}
	s.RetireLink()
	return ErrLinkLost
}

// CloseSend closes the sending side; the peer reads io.EOF.
func (s *Stream) CloseSend() error {
	if s.stopHeartbeat() {
		return nil
	}
	return s.quic.Close()
}

// Abort aborts the stream in both directions; the peer's calls fail. A side that is closed
// already is left as it is, which sends no packet.
func (s *Stream) Abort() {
	if !s.readEnded.Load() {
		s.quic.CancelRead(abortCode)
	}
	if !s.stopHeartbeat() {
		s.quic.CancelWrite(abortCode)
	}
}

// finish closes both sides after the handler returned. What the peer still sends, such as an
// acknowledgement that crossed the last frame, is read and discarded until the peer closes
// its side: aborting at once would fail its sends while it still reads the response. After
// LinkTimeout the read side is aborted, so that half-open streams don't reach MaxStreams.
func (s *Stream) finish() {
	_ = s.CloseSend()
	_ = s.quic.SetReadDeadline(time.Now().Add(s.linkTimeout))
	_, _ = io.Copy(io.Discard, s.quic)
	s.quic.CancelRead(abortCode)
}

// stopHeartbeat marks the sending side as closed and reports whether it was closed before.
func (s *Stream) stopHeartbeat() (ended bool) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	ended = s.sendDone
	s.sendDone = true
	s.heartbeatTimer.Stop()
	return ended
}

// SetDeadline sets the deadline of pending and later calls; zero removes it.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.quic.SetWriteDeadline(t); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	return s.SetReadDeadline(t)
}

// SetReadDeadline sets the deadline of pending and later Receive calls; with zero only
// LinkTimeout applies.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.readDeadline = t
	if t.IsZero() {
		return nil
	}
	return eris.Wrap(s.quic.SetReadDeadline(t), "set read deadline")
}
