package upstream

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a reusable connection being closed because the response is complete
// before the goroutine that wrote the request has reported its result.
func TestTheResponseMayCompleteBeforeTheWriteIsReported(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		err   error
		want  bool
	}{
		"at once":        {0, nil, true},
		"a little later": {2 * time.Millisecond, nil, true},
		"write failed":   {0, errors.New("broken"), false},
		"not in time":    {time.Second, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Response{written: make(chan error, 1)}
			time.AfterFunc(c.after, func() { r.written <- c.err })
			assert.Equal(t, c.want, r.sent())
		})
	}
}
