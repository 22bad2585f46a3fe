package upstream

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// A busy process opened a connection for a request though a sound one was
// there: the answer was read to its end before the goroutine that had written
// the request ran again.
func TestAnAnswerMayOvertakeTheWordThatItsRequestWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		err   error
		want  bool
	}{
		"at once":      {0, nil, true},
		"a bit later":  {2 * time.Millisecond, nil, true},
		"not written":  {0, errors.New("broken"), false},
		"never so far": {time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Response{written: make(chan error, 1)}
			time.AfterFunc(c.after, func() { r.written <- c.err })
			assert.Equal(t, c.want, r.sent())
		})
	}
}
