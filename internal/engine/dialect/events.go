package dialect

import (
	"context"
	"errors"
	"io"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// maxEventBatch bounds the number of events that one call of Next returns.
const maxEventBatch = 256

// eventReader reads cache events from a streamed response.
type eventReader struct {
	body io.ReadCloser
	read func() (engine.CacheEvent, error)
	// buffered returns the number of bytes that can be read without blocking.
	buffered func() int
	// pendingErr is the error that followed events already returned.
	pendingErr error
}

// Next implements engine.EventReader. It waits for one event and returns it with
// those already buffered.
func (r *eventReader) Next(ctx context.Context) ([]engine.CacheEvent, error) {
	if r.pendingErr != nil {
		return nil, r.pendingErr
	}
	stop := context.AfterFunc(ctx, func() { _ = r.body.Close() })
	defer stop()
	var events []engine.CacheEvent
	for len(events) < maxEventBatch {
		event, err := r.read()
		if err != nil {
			r.pendingErr = eventError(ctx, err)
			break
		}
		events = append(events, event)
		if r.buffered() == 0 {
			break
		}
	}
	if len(events) > 0 {
		return events, nil
	}
	return nil, r.pendingErr
}

func eventError(ctx context.Context, err error) error {
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, engine.ErrGap), errors.Is(err, ErrMalformed):
		return err
	default:
		return eris.Wrapf(engine.ErrInterrupted, "cache events: %v", err)
	}
}

// Close implements engine.EventReader.
func (r *eventReader) Close() error { return r.body.Close() }
