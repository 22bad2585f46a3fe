package entry

import "github.com/jayproxy/jayproxy/internal/transport"

// LinkStats returns the frame and byte counts of all streams to other processes.
func (e *Entry) LinkStats() *transport.Stats { return &e.node.Stats }
