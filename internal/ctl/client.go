package ctl

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/api/gen/jay/v1/jayv1connect"
	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/keys"
	"github.com/jayproxy/jayproxy/internal/operator"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/internal/transport"
)

const (
	defaultRetryFor = 10 * time.Second
	retryInterval   = 200 * time.Millisecond
	callTimeout     = 15 * time.Second
	// connectTimeout bounds dial and TLS handshake each, so that the next entry is
	// tried soon. The handshake needs a timeout because the kernel accepts
	// connections for a process that is suspended.
	connectTimeout = 3 * time.Second
)

type client = jayv1connect.OperatorServiceClient

// clients returns one client per --entry flag, in the order of the flags.
func (a *app) clients() ([]client, error) {
	if len(a.entries) == 0 {
		return nil, usageError(eris.New("--entry is missing"))
	}
	if a.keysDir == "" {
		return nil, usageError(eris.New("--keys is missing"))
	}
	creds, err := transport.LoadCredentials(a.keysDir)
	if err != nil {
		return nil, usageError(err)
	}
	httpClient := &http.Client{Transport: &http.Transport{
		TLSClientConfig:     creds.ClientTLS([]string{"h2", "http/1.1"}, keys.RoleEntry),
		ForceAttemptHTTP2:   true,
		DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
		TLSHandshakeTimeout: connectTimeout,

		MaxResponseHeaderBytes: responselimit.MaxHeadBytes,
	}}
	all := make([]client, 0, len(a.entries))
	for _, address := range a.entries {
		if !strings.Contains(address, "://") {
			address = "https://" + address
		}
		all = append(all, jayv1connect.NewOperatorServiceClient(httpClient, strings.TrimSuffix(address, "/")))
	}
	return all, nil
}

// call calls the entries in turn until one returns a final result, or for retryFor.
// It also retries when the outcome is unknown: changes have a change id, so a
// repeated change is accepted once.
func call[T any](ctx context.Context, a *app, do func(context.Context, client) (*connect.Response[T], error)) (*T, error) {
	clients, err := a.clients()
	if err != nil {
		return nil, err
	}
	deadline := time.Now().Add(a.retryFor)
	for {
		for _, c := range clients {
			var response *connect.Response[T]
			response, err = callOnce(ctx, c, do)
			if err == nil {
				return response.Msg, nil
			}
			if !isRetryable(err) || ctx.Err() != nil {
				return nil, withExitCode(err)
			}
		}
		if time.Now().After(deadline) {
			return nil, withExitCode(err)
		}
		select {
		case <-ctx.Done():
			return nil, withExitCode(err)
		case <-time.After(retryInterval):
		}
	}
}

func callOnce[T any](ctx context.Context, c client, do func(context.Context, client) (*connect.Response[T], error)) (*connect.Response[T], error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, c)
}

func isRetryable(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeUnknown, connect.CodeAborted, connect.CodeDeadlineExceeded:
		return true
	}
	return false
}

// withExitCode returns the error of a call with its exit code.
func withExitCode(err error) error {
	var exit *exitcode.Error
	if errors.As(err, &exit) {
		return err
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnknown, connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return &exitcode.Error{Code: ExitUnreachable, Cause: err}
	}
	if found := operator.FindingsOf(err); len(found) > 0 {
		err = found.Err()
	}
	return &exitcode.Error{Code: ExitRefused, Cause: err}
}
