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

// MaxFrameBytes bounds one message in bytes; a peer that announces more is cut off.
const MaxFrameBytes = 16 << 20

// ErrFrameTooLong means that a peer announced a frame above MaxFrame.
var ErrFrameTooLong = errors.New("frame too long")

// ErrLinkLost means that nothing came from the peer for the link timeout, not
// even a heartbeat: it is dead, frozen or cut off.
var ErrLinkLost = errors.New("link lost")

// heartbeat is a frame of no bytes. Each side sends one when it has sent
// nothing else for a third of the link timeout, so that two lost ones do not
// look like a lost link. Only open streams have them: an idle connection costs
// nothing, which a packet every two seconds to each of some hundred agents would.
const (
	heartbeat      = 0
	heartbeatShare = 3
)

// abortCode tells the peer that a stream was given up, not ended.
const abortCode quic.StreamErrorCode = 1

// Stats count what a node sent and received in frames of streams.
type Stats struct {
	FramesSent, FramesReceived atomic.Uint64
	BytesSent, BytesReceived   atomic.Uint64
}

// Stream carries typed messages both ways, each with its length in front.
// One goroutine may send while another receives.
type Stream struct {
	node    *Node
	link    *link
	quic    *quic.Stream
	reader  *bufio.Reader
	stats   *Stats
	timeout time.Duration

	sendMu   sync.Mutex
	buffer   []byte
	sendDone bool
	beat     *time.Timer

	deadlineMu   sync.Mutex
	readDeadline time.Time
	// ended: the peer's side was read to its end.
	ended atomic.Bool
}

func newStream(n *Node, l *link, s *quic.Stream) *Stream {
	linkTimeout := n.options.LinkTimeout
	stream := &Stream{node: n, link: l, quic: s, reader: bufio.NewReader(s), stats: &n.Stats, timeout: linkTimeout}
	stream.sendMu.Lock()
	defer stream.sendMu.Unlock()
	stream.beat = time.AfterFunc(linkTimeout/heartbeatShare, stream.sendHeartbeat)
	return stream
}

// Peer is who stands at the other end, as its certificate says.
func (s *Stream) Peer() keys.Identity { return s.link.peer }

// RetireLink makes the next Open to the peer dial anew: this stream's link has
// been silent for longer than its user waits. A process that was replaced at
// its address answers nothing on the old connection, which would otherwise be
// used until it idles out. Streams that are open on it stay.
func (s *Stream) RetireLink() { s.node.forget(s.link) }

// Send writes one message.
func (s *Stream) Send(message proto.Message) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	size := proto.Size(message)
	if size == heartbeat {
		return eris.New("an empty message would read as a heartbeat")
	}
	s.buffer = binary.AppendUvarint(s.buffer[:0], uint64(size))
	var err error
	s.buffer, err = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(s.buffer, message)
	if err != nil {
		return eris.Wrap(err, "encode frame")
	}
	if _, err := s.quic.Write(s.buffer); err != nil {
		return eris.Wrap(err, "send frame")
	}
	s.stats.FramesSent.Add(1)
	s.stats.BytesSent.Add(uint64(len(s.buffer)))
	s.beat.Reset(s.timeout / heartbeatShare)
	return nil
}

// sendHeartbeat runs on the timer. A stream whose peer no longer reads stops
// beating at the first failed write.
func (s *Stream) sendHeartbeat() {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if s.sendDone {
		return
	}
	if _, err := s.quic.Write([]byte{heartbeat}); err != nil {
		return
	}
	s.beat.Reset(s.timeout / heartbeatShare)
}

// Receive reads one message into the given one. io.EOF: the peer ended its
// side. ErrLinkLost: nothing came for the link timeout.
func (s *Stream) Receive(message proto.Message) error {
	size := uint64(heartbeat)
	for size == heartbeat {
		if err := s.awaitFrame(); err != nil {
			return err
		}
		var err error
		if size, err = binary.ReadUvarint(s.reader); err != nil {
			return s.readFault(err)
		}
	}
	if size > MaxFrameBytes {
		return ErrFrameTooLong
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return s.readFault(err)
	}
	s.stats.FramesReceived.Add(1)
	s.stats.BytesReceived.Add(size)
	if err := proto.Unmarshal(body, message); err != nil {
		return eris.Wrap(err, "decode frame")
	}
	return nil
}

// awaitFrame bounds the wait for the next frame by the link timeout and by the
// caller's own deadline, whichever comes first.
func (s *Stream) awaitFrame() error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	limit := time.Now().Add(s.timeout)
	if own := s.readDeadline; !own.IsZero() && own.Before(limit) {
		limit = own
	}
	return eris.Wrap(s.quic.SetReadDeadline(limit), "set read deadline")
}

// readFault tells a lost link from the caller's own deadline and other faults.
func (s *Stream) readFault(err error) error {
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
		return io.EOF
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return eris.Wrap(err, "receive frame")
	}
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	if own := s.readDeadline; !own.IsZero() && !time.Now().Before(own) {
		return eris.Wrap(err, "receive frame")
	}
	s.RetireLink()
	return ErrLinkLost
}

// CloseSend ends the sending side; the peer reads io.EOF.
func (s *Stream) CloseSend() error {
	if s.stopHeartbeat() {
		return nil
	}
	return s.quic.Close()
}

// Abort gives the stream up in both directions; the peer's calls fail. A side
// that has ended already stays as it is, which costs no packet.
func (s *Stream) Abort() {
	if !s.ended.Load() {
		s.quic.CancelRead(abortCode)
	}
	if !s.stopHeartbeat() {
		s.quic.CancelWrite(abortCode)
	}
}

// finish ends both sides after a handler. What the peer still sends, such as
// an acknowledgement that crossed the last frame, is read and dropped until it
// ends its side: refusing it at once would fail the peer's sends while it still
// reads the answer. A peer that does not end its side within the link timeout
// is refused, so that half-open streams do not add up to the connection's limit.
func (s *Stream) finish() {
	_ = s.CloseSend()
	_ = s.quic.SetReadDeadline(time.Now().Add(s.timeout))
	_, _ = io.Copy(io.Discard, s.quic)
	s.quic.CancelRead(abortCode)
}

// stopHeartbeat tells whether the sending side had ended before.
func (s *Stream) stopHeartbeat() (ended bool) {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	ended = s.sendDone
	s.sendDone = true
	s.beat.Stop()
	return ended
}

// SetDeadline bounds all pending and later calls; zero removes the bound.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.quic.SetWriteDeadline(t); err != nil {
		return eris.Wrap(err, "set write deadline")
	}
	return s.SetReadDeadline(t)
}

// SetReadDeadline bounds pending and later Receive calls; zero leaves only the
// link timeout.
func (s *Stream) SetReadDeadline(t time.Time) error {
	s.deadlineMu.Lock()
	defer s.deadlineMu.Unlock()
	s.readDeadline = t
	if t.IsZero() {
		return nil
	}
	return eris.Wrap(s.quic.SetReadDeadline(t), "set read deadline")
}
