package gateway

import (
	"io"
	"log"
)

// quietLog drops what net/http says of callers' broken connections: a line for
// each would let callers fill the log.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
