package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/headtime"
	"github.com/jayproxy/jayproxy/internal/httpstatus"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/wholebody"
)

const (
	serviceDialTimeout = 2 * time.Second
	// serviceReadSize is the maximum size of a chunk of the response, in bytes.
	serviceReadSize = 16 << 10
	// requestIDHeader carries the request id to the service.
	requestIDHeader = "X-Request-Id"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length",
}

// serviceBackend is the plain service beside the agent.
type serviceBackend struct {
	base *url.URL
	// pooled reuses connections, for calls that may be repeated.
	pooled http.RoundTripper
	// singleUse opens a connection for each call.
	singleUse http.RoundTripper
}

func newServiceBackend(baseURL string) (*serviceBackend, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return nil, eris.Wrapf(err, "service URL %q", baseURL)
	}
	return &serviceBackend{base: base, pooled: newTransport(false), singleUse: newTransport(true)}, nil
}

// newTransport makes a client transport. net/http resends a request when a
// reused connection fails, if the method is idempotent or the request has an
// Idempotency-Key header; a non-repeatable call could then run twice. With
// singleUse each call has a connection of its own, for which net/http does not
// resend. HTTP/2 is off because it has retries of its own.
func newTransport(singleUse bool) http.RoundTripper {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return httpstatus.Transport(&http.Transport{
		DialContext:            headtime.Dial(&net.Dialer{Timeout: serviceDialTimeout}),
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxResponseHeaderBytes: responselimit.MaxHeadBytes,
		Protocols:              protocols,
	})
}

var (
	// errServiceNotReached means that the request was not sent to the service.
	errServiceNotReached = errors.New("service not reached")
	// errProtocolSwitched means that the service answered with 101. No request asks for that,
	// and nothing gives the end of what follows it.
	errProtocolSwitched = errors.New("service switched protocols unasked")
)

// call sends the request once. Redirects are returned, not followed.
func (b *serviceBackend) call(ctx context.Context, offer *jayv1.Offer, body []byte) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := b.newRequest(httptrace.WithClientTrace(ctx, trace), offer, body)
	if err != nil {
		return nil, eris.Wrapf(errServiceNotReached, "build request: %v", err)
	}
	transport := b.pooled
	if offer.GetNonRepeatable() {
		transport = b.singleUse
	}
	response, err := headtime.Do(req, headTime(offer), transport.RoundTrip)
	if err != nil && !connected.Load() {
		return nil, eris.Wrapf(errServiceNotReached, "%v", err)
	}
	if err != nil {
		return nil, eris.Wrap(err, "call service")
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, errProtocolSwitched
	}
	return response, nil
}

func (b *serviceBackend) newRequest(ctx context.Context, offer *jayv1.Offer, body []byte) (*http.Request, error) {
	target, err := url.ParseRequestURI(offer.GetPath())
	if err != nil {
		return nil, err
	}
	target.Scheme, target.Host = b.base.Scheme, b.base.Host
	if prefix := strings.TrimSuffix(b.base.Path, "/"); prefix != "" {
		target.Path = prefix + target.Path
		target.RawPath = ""
	}
	req, err := http.NewRequestWithContext(ctx, offer.GetMethod(), target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// With GetBody set, net/http could resend the body.
	req.GetBody = nil
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	for _, header := range offer.GetHeaders() {
		req.Header.Add(header.GetName(), header.GetValue())
	}
	removeHopByHopHeaders(req.Header)
	req.Header.Set(requestIDHeader, offer.GetRequestId())
	return req, nil
}

func removeHopByHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
}

// runService calls the plain service and relays its response.
func (a *Agent) runService(att *attempt) {
	defer a.scheduler.done(att.id)
	att.mu.Lock()
	body := att.body
	att.mu.Unlock()
	response, err := a.service.call(att.ctx, att.offer, body)
	switch {
	case errors.Is(err, errServiceNotReached):
		a.end(att, eventNotReached, &jayv1.End{
			Refusal:      jayv1.Refusal_REFUSAL_ENGINE_DOWN,
			Error:        err.Error(),
			RetryAfterMs: uint32(engineRetryAfter.Milliseconds()),
		})
		return
	case err != nil:
		a.recordExceeded(att, err)
		a.end(att, eventFail, &jayv1.End{Error: err.Error()})
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.scheduler.firstToken(att.id)
	att.response.setHead(serviceHead(response))
	a.observeFirstToken(att)
	if err := a.relayBody(att, response); err != nil {
		a.end(att, eventFail, &jayv1.End{Error: err.Error()})
		return
	}
	a.scheduler.done(att.id)
	a.end(att, eventFinish, &jayv1.End{})
}

func serviceHead(response *http.Response) *jayv1.ServiceHead {
	removeHopByHopHeaders(response.Header)
	head := &jayv1.ServiceHead{Status: uint32(response.StatusCode)}
	for name, values := range response.Header {
		for _, value := range values {
			head.Headers = append(head.Headers, &jayv1.Header{Name: name, Value: value})
		}
	}
	return head
}

func (a *Agent) relayBody(att *attempt, response *http.Response) error {
	sent := 0
	for {
		buffer := make([]byte, serviceReadSize)
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := att.response.append(att.ctx, buffer[:n:n], millis(a.settings.Replay.StallMS)); err != nil {
				return err
			}
		}
		sent += n
		switch {
		case errors.Is(err, io.EOF) && wholebody.IsFramed(response):
			return nil
		case errors.Is(err, io.EOF):
			return eris.Wrapf(wholebody.ErrNoFraming, "the service's response ended with its connection after %d bytes", sent)
		case err != nil:
			return eris.Wrap(err, "read the service's response")
		}
	}
}
