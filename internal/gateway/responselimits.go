package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/jayproxy/jayproxy/internal/call"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/routing"
	"github.com/jayproxy/jayproxy/internal/upstream"
)

// headTime returns how long the head of the next response may take from its first byte on; 0:
// until the deadline. It is bounded only where the request may be sent again: a late response
// is better than none.
func (j *job) headTime(choice *routing.DirectChoice) time.Duration {
	if !j.mayBeSentElsewhere(choice) {
		return 0
	}
	return responselimit.HeadTime
}

// mayBeSentElsewhere reports whether another send may follow the present one if its outcome is
// unknown.
func (j *job) mayBeSentElsewhere(choice *routing.DirectChoice) bool {
	lastSend := j.indeterminateSends+1 >= j.route.MaxAttempts || j.lastSend()
	return j.route.Repeatable() && !lastSend && choice.Candidates != 1
}

// failedTime returns how long a failed response may take after its head; 0: until the deadline.
// A response that the server has signed is bounded only with status 5xx, for which the request
// is sent elsewhere in any case: another signed one is what the server has to say.
func (j *job) failedTime(choice *routing.DirectChoice, head *call.ResponseHead) time.Duration {
	if !isUnsignedFailure(head) && head.Status < http.StatusInternalServerError || !j.mayBeSentElsewhere(choice) {
		return 0
	}
	return responselimit.FailedTime
}

// isUnsignedFailure reports whether a response has status 3xx to 5xx and no signature.
func isUnsignedFailure(head *call.ResponseHead) bool {
	return head.Status >= http.StatusMultipleChoices && !head.Sealed
}

// readBuffered reads a response to its end or to maxBufferedBytes. An unsigned response with
// status 3xx to 5xx must be within its bound: none of a longer one is passed on.
func readBuffered(response *upstream.Response, head *call.ResponseHead, most int64) ([]byte, error) {
	unsigned := isUnsignedFailure(head)
	switch {
	case unsigned && response.Length < 0:
		body, err := responselimit.ReadAll(response.Body, responselimit.MaxFailedBytes)
		if bound, _ := responselimit.Exceeded(err); bound == responselimit.Body {
			err = &responselimit.Error{Bound: responselimit.FailedBody, Limit: responselimit.MaxFailedBytes}
		}
		return body, err
	case unsigned && response.Length > responselimit.MaxFailedLength:
		return nil, &responselimit.Error{Bound: responselimit.FailedBody, Limit: responselimit.MaxFailedLength}
	}
	return io.ReadAll(io.LimitReader(response.Body, most))
}

// countExceeded counts a response that exceeded a bound. It reports whether err says so.
func (g *Gateway) countExceeded(err error) bool {
	bound, exceeded := responselimit.Exceeded(err)
	if exceeded {
		g.metrics.Count("response_limit_exceeded", string(bound), 1)
	}
	return exceeded
}
