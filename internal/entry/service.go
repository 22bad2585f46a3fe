package entry

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/routing"
)

const servicesPrefix = "/services/"

// serveService handles requests of any method to plain services.
func (e *Entry) serveService(c echo.Context) error {
	call := callOf(c)
	request, refusal := e.newServiceRequest(c, call)
	if refusal != nil {
		return refusal
	}
	return e.serve(c, request, 0, func(client *caller) finisher { return &serviceSink{caller: client, runToEnd: request.nonRepeatable} })
}

func (e *Entry) newServiceRequest(c echo.Context, call *call) (*callerRequest, *Error) {
	service, ok := call.table.Service(c.Param("name"))
	if !ok || service.GetKvStore() {
		return nil, refuse(http.StatusNotFound, CodeServiceNotFound, "no such service")
	}
	inbound := c.Request()
	if inbound.ContentLength > e.settings.Limits.BodyBytes {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is longer than the limit")
	}
	target := servicePath(inbound)
	rulePath, ok := catalog.CallPath(target)
	if !ok {
		return nil, invalid("the path is not a clean absolute path")
	}
	request := &callerRequest{
		service: service, method: inbound.Method, path: target, headers: forwardedHeaders(inbound.Header),
		key: inbound.Header.Get(HeaderIdempotencyKey),
	}
	request.nonRepeatable = catalog.NonRepeatable(service, inbound.Method, rulePath)
	request.repeatable = !request.nonRepeatable && safeMethod(inbound.Method)
	if len(request.key) > e.settings.Limits.KeyBytes {
		return nil, invalid("the idempotency key is longer than the limit")
	}
	rule, refusal := e.admit(c, call, request, catalog.Traffic{Service: service.GetName()})
	if refusal != nil {
		return nil, refusal
	}
	request.body = e.serviceBody(c)
	request.route = &routing.Request{ID: request.id, Workspace: request.workspace.GetName(), Class: request.class, DataCentres: rule.GetDataCentres()}
	request.policy = policyOf(nil)
	return request, nil
}

// servicePath returns path and query below the service's prefix, escaped as the
// caller sent them.
func servicePath(request *http.Request) string {
	target := strings.TrimPrefix(request.URL.EscapedPath(), servicesPrefix)
	_, target, _ = strings.Cut(target, "/")
	target = "/" + target
	if request.URL.RawQuery != "" {
		target += "?" + request.URL.RawQuery
	}
	return target
}

// serviceBody returns the body as a stream with a size limit and a read timeout.
func (e *Entry) serviceBody(c echo.Context) bodySource {
	request := c.Request()
	if request.Body == nil || request.Body == http.NoBody {
		return &bufferedBody{}
	}
	timed := &timeoutReader{
		reader: request.Body, control: http.NewResponseController(c.Response()),
		timeout: ms(e.settings.Timeouts.CallerReadMS),
	}
	bounded := &boundedReader{reader: timed, remaining: e.settings.Limits.BodyBytes}
	return newStreamedBody(bounded, e.settings.Limits.KeptBodyBytes)
}

// safeMethod reports whether the HTTP method alone makes a call repeatable.
func safeMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// hopHeaders are the hop-by-hop headers and those meant for the entry itself.
// They are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Authorization": true, "Content-Length": true, "Host": true,
}

func forwardedHeaders(header http.Header) []*jayv1.Header {
	dropped := connectionHeaders(header)
	var forwarded []*jayv1.Header
	for name, values := range header {
		if hopHeaders[name] || dropped[name] {
			continue
		}
		for _, value := range values {
			forwarded = append(forwarded, &jayv1.Header{Name: name, Value: value})
		}
	}
	return forwarded
}

// connectionHeaders returns the header names listed in the Connection header.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// forwardedToCaller reports whether a service's response header is forwarded. A
// service must not set the entry's own X-Jay headers.
func forwardedToCaller(name string) bool {
	canonical := http.CanonicalHeaderKey(name)
	return !hopHeaders[canonical] && !strings.HasPrefix(canonical, "X-Jay-")
}
