package gateway

import (
	"io"
	"log"
)

// discardLog drops net/http's messages on callers' broken connections: a line
// for each would let callers flood the log.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
