package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/api/gen/jay/v1/jayv1connect"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// maxRequestBytes bounds one call: a whole declaration set.
const maxRequestBytes = 64 << 20

// viewerCalls are the calls that change nothing.
var viewerCalls = map[string]bool{
	jayv1connect.OperatorServiceGetProcedure:     true,
	jayv1connect.OperatorServiceListProcedure:    true,
	jayv1connect.OperatorServiceWatchProcedure:   true,
	jayv1connect.OperatorServiceStatusProcedure:  true,
	jayv1connect.OperatorServiceExplainProcedure: true,
}

type callerKey struct{}

// CallerOf returns who makes the call, by the client's certificate.
func CallerOf(ctx context.Context) keys.Identity {
	caller, _ := ctx.Value(callerKey{}).(keys.Identity)
	return caller
}

// Handler serves the calls over HTTP. The listener must ask for client
// certificates; a viewer gets only the calls that change nothing.
func Handler(service *Service) http.Handler {
	_, calls := jayv1connect.NewOperatorServiceHandler(service, connect.WithReadMaxBytes(maxRequestBytes))
	refuse := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller, err := callerOfRequest(r)
		if err == nil && !mayCall(caller.Role, r.URL.Path) {
			err = connect.NewError(connect.CodePermissionDenied, eris.Errorf("role %s may not call %s", caller.Role, r.URL.Path))
		}
		if err != nil {
			_ = refuse.Write(w, r, err)
			return
		}
		calls.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, caller)))
	})
}

func callerOfRequest(r *http.Request) (keys.Identity, error) {
	if r.TLS == nil || len(r.TLS.PeerCertificates) == 0 {
		return keys.Identity{}, connect.NewError(connect.CodeUnauthenticated, eris.New("no client certificate"))
	}
	caller, err := keys.IdentityOf(r.TLS.PeerCertificates[0])
	if err != nil {
		return keys.Identity{}, connect.NewError(connect.CodeUnauthenticated, err)
	}
	return caller, nil
}

func mayCall(role keys.Role, procedure string) bool {
	return role == keys.RoleOperator || (role == keys.RoleViewer && viewerCalls[procedure])
}
