package operator

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/api/gen/jay/v1/jayv1connect"
	"github.com/jayproxy/jayproxy/internal/keys"
)

// maxRequestBytes is the maximum size of a request, which may hold all resources
// of a deployment.
const maxRequestBytes = 64 << 20

// viewerProcedures are the procedures that the viewer role may call: those that
// change nothing.
var viewerProcedures = map[string]bool{
	jayv1connect.OperatorServiceGetProcedure:     true,
	jayv1connect.OperatorServiceListProcedure:    true,
	jayv1connect.OperatorServiceWatchProcedure:   true,
	jayv1connect.OperatorServiceStatusProcedure:  true,
	jayv1connect.OperatorServiceExplainProcedure: true,
}

type callerContextKey struct{}

// CallerOf returns the identity in the client certificate of the call.
func CallerOf(ctx context.Context) keys.Identity {
	caller, _ := ctx.Value(callerContextKey{}).(keys.Identity)
	return caller
}

// Handler returns the HTTP handler of the service. The listener must request client
// certificates. The viewer role may make only calls that change nothing.
func Handler(service *Service) http.Handler {
	_, calls := jayv1connect.NewOperatorServiceHandler(service, connect.WithReadMaxBytes(maxRequestBytes))
	errorWriter := connect.NewErrorWriter()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller, err := callerOfRequest(r)
		if err == nil && !mayCall(caller.Role, r.URL.Path) {
			err = connect.NewError(connect.CodePermissionDenied, eris.Errorf("role %s may not call %s", caller.Role, r.URL.Path))
		}
		if err != nil {
			_ = errorWriter.Write(w, r, err)
			return
		}
		calls.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), callerContextKey{}, caller)))
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
	return role == keys.RoleOperator || (role == keys.RoleViewer && viewerProcedures[procedure])
}
