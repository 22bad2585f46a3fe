package operator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalogstore"
	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/internal/platform"
)

// toConnectError returns an error with the code that tells callers how to proceed:
//
//	InvalidArgument    the set is invalid (a Findings detail says why), or the
//	                   change id is missing
//	FailedPrecondition the head is not the expected generation
//	AlreadyExists      the change id was used for another change
//	Aborted            other changes were accepted first; this one was not accepted
//	Unavailable        nothing was done; retry
//	Unknown            the outcome is uncertain; repeat with the same change id
//	Internal           any other error
func toConnectError(err error) error {
	var coded *connect.Error
	var found *findings.Error
	var conflict *catalogstore.ConflictError
	switch {
	case errors.As(err, &coded):
		return coded
	case errors.As(err, &found):
		return withFindings(found)
	case errors.As(err, &conflict):
		return connect.NewError(connect.CodeFailedPrecondition, conflict)
	case errors.Is(err, catalogstore.ErrNoChangeID):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case errors.Is(err, catalogstore.ErrChangeIDReused):
		return connect.NewError(connect.CodeAlreadyExists, err)
	case errors.Is(err, catalogstore.ErrContention):
		return connect.NewError(connect.CodeAborted, err)
	case errors.Is(err, platform.ErrUnknown):
		return connect.NewError(connect.CodeUnknown, err)
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrNotFound):
		return connect.NewError(connect.CodeUnavailable, err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewError(connect.CodeInternal, err)
}

func withFindings(found *findings.Error) error {
	coded := connect.NewError(connect.CodeInvalidArgument, found)
	list := &jayv1.Findings{}
	for _, finding := range found.Findings {
		list.Findings = append(list.Findings, &jayv1.Finding{Path: finding.Path, Message: finding.Message})
	}
	if detail, err := connect.NewErrorDetail(list); err == nil {
		coded.AddDetail(detail)
	}
	return coded
}

// FindingsOf returns the findings in the details of a call's error, nil if there
// are none.
func FindingsOf(err error) findings.List {
	var coded *connect.Error
	if !errors.As(err, &coded) {
		return nil
	}
	var list findings.List
	for _, detail := range coded.Details() {
		value, err := detail.Value()
		if err != nil {
			continue
		}
		if found, ok := value.(*jayv1.Findings); ok {
			for _, finding := range found.GetFindings() {
				list.Add(finding.GetPath(), "%s", finding.GetMessage())
			}
		}
	}
	return list
}
