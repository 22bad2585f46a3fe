package entry

import "github.com/jayproxy/jayproxy/internal/transport"

// LinkStats are the frames and bytes of all streams to the system's other processes.
func (e *Entry) LinkStats() *transport.Stats { return &e.node.Stats }
