package scenario_test

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

func (w *scenario) callers(entry string) (string, error) {
	at, ok := w.addresses[entry]
	if !ok {
		return "", fmt.Errorf("unknown entry %s", entry)
	}
	return "http://" + at.callers, nil
}

func (w *scenario) cmdCall(args []string) error {
	if err := requireArgs(args, 4); err != nil {
		return err
	}
	base, err := w.callers(args[1])
	if err != nil {
		return err
	}
	r, err := callRequest(args[2], args[3], args[4:])
	if err != nil {
		return err
	}
	w.answers[args[0]] = send(newClient(), base, w.callerKey, r)
	return nil
}

func callRequest(method, target string, options []string) (request, error) {
	tokens, stream := 20, true
	r := request{method: method, path: target, header: http.Header{}}
	for _, option := range options {
		name, value, _ := strings.Cut(option, "=")
		switch name {
		case "tokens":
			n, err := strconv.Atoi(value)
			if err != nil {
				return r, err
			}
			tokens = n
		case "plain":
			stream = false
		case "key":
			r.header.Set(headerKey, value)
		case "body":
			r.body = value
		default:
			return r, fmt.Errorf("unknown option %s of call", option)
		}
	}
	if method == "chat" {
		return chatRequest(target, tokens, stream)
	}
	r.path = "/services/" + siteService + target
	return r, nil
}

func (w *scenario) answer(args []string, n int) (*answer, error) {
	if err := requireArgs(args, n); err != nil {
		return nil, err
	}
	a, ok := w.answers[args[0]]
	if !ok {
		return nil, permanentError{fmt.Errorf("unknown call %s", args[0])}
	}
	return a, nil
}

// cmdResume requests the rest of a stream after the last event received. The new
// answer is expected to contain only the remaining text.
func (w *scenario) cmdResume(args []string) error {
	if err := requireArgs(args, 3); err != nil {
		return err
	}
	before, err := w.answer(args[2:], 1)
	if err != nil {
		return err
	}
	base, err := w.callers(args[1])
	if err != nil {
		return err
	}
	before.mu.Lock()
	defer before.mu.Unlock()
	r := request{method: http.MethodGet, path: "/v1/streams/" + before.header.Get(headerToken), header: http.Header{}}
	if before.events > 0 {
		r.header.Set("Last-Event-ID", strconv.Itoa(before.events-1))
	}
	r.want = strings.TrimPrefix(before.request.want, before.text.String())
	w.answers[args[0]] = send(newClient(), base, w.callerKey, r)
	return nil
}

func (w *scenario) cmdProgress(args []string) error {
	a, err := w.answer(args, 2)
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	return poll(func() error {
		if a.progress() >= n {
			return nil
		}
		select {
		case <-a.ended:
			return permanentError{fmt.Errorf("answer ended too early: %s", a.describe())}
		default:
			return fmt.Errorf("got %d events, want %d", a.progress(), n)
		}
	})
}

func (w *scenario) cmdExpect(args []string) error {
	a, err := w.answer(args, 2)
	if err != nil {
		return err
	}
	if err := a.wait(); err != nil {
		return err
	}
	outcome, err := a.outcome()
	if err != nil {
		return err
	}
	if !slices.Contains(strings.Split(args[1], "|"), outcome) {
		return fmt.Errorf("unexpected outcome %s: %s", outcome, a.describe())
	}
	if len(args) > 2 && (a.failure == nil || a.failure.Code != args[2]) {
		return fmt.Errorf("unexpected error code: %s", a.describe())
	}
	return nil
}

// cmdRetry repeats a call until its answer is complete. Refusals as not run are
// tolerated until then; any other outcome fails the script.
func (w *scenario) cmdRetry(args []string) error {
	return poll(func() error {
		if err := w.cmdCall(args); err != nil {
			return permanentError{err}
		}
		a := w.answers[args[0]]
		if err := a.wait(); err != nil {
			return permanentError{err}
		}
		outcome, err := a.outcome()
		switch {
		case err != nil:
			return permanentError{err}
		case outcome == "whole" || outcome == "done":
			return nil
		case outcome == "not_run":
			return errors.New(a.describe())
		}
		return permanentError{fmt.Errorf("unexpected outcome %s: %s", outcome, a.describe())}
	})
}
