package transport

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

// MaxFrame bounds one message in bytes; a peer that announces more is cut off.
const MaxFrame = 16 << 20

// ErrFrameTooLong means that a peer announced a frame above MaxFrame.
var ErrFrameTooLong = errors.New("frame too long")

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
	quic   *quic.Stream
	reader *bufio.Reader
	stats  *Stats
	buffer []byte
}

func newStream(s *quic.Stream, stats *Stats) *Stream {
	return &Stream{quic: s, reader: bufio.NewReader(s), stats: stats}
}

// Send writes one message.
func (s *Stream) Send(message proto.Message) error {
	size := proto.Size(message)
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
	return nil
}

// Receive reads one message into the given one. io.EOF: the peer ended its side.
func (s *Stream) Receive(message proto.Message) error {
	size, err := binary.ReadUvarint(s.reader)
	if err != nil {
		if errors.Is(err, io.EOF) {
			return io.EOF
		}
		return eris.Wrap(err, "receive frame length")
	}
	if size > MaxFrame {
		return ErrFrameTooLong
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return eris.Wrap(err, "receive frame")
	}
	s.stats.FramesReceived.Add(1)
	s.stats.BytesReceived.Add(size)
	if err := proto.Unmarshal(body, message); err != nil {
		return eris.Wrap(err, "decode frame")
	}
	return nil
}

// CloseSend ends the sending side; the peer reads io.EOF.
func (s *Stream) CloseSend() error { return s.quic.Close() }

// Abort gives the stream up in both directions; the peer's calls fail.
func (s *Stream) Abort() {
	s.quic.CancelRead(abortCode)
	s.quic.CancelWrite(abortCode)
}

// SetDeadline bounds all pending and later calls; zero removes the bound.
func (s *Stream) SetDeadline(t time.Time) error { return s.quic.SetDeadline(t) }

// SetReadDeadline bounds pending and later Receive calls.
func (s *Stream) SetReadDeadline(t time.Time) error { return s.quic.SetReadDeadline(t) }
