package operator

import (
	"context"
	"net/http"
)

// actorKey is the context key of the operator's name.
type actorKey struct{}

// anonymousActor is the actor of requests without valid credentials, which are accepted
// only if [Server.Open] is set.
const anonymousActor = "operator"

// authorise passes on requests with a known bearer token or a client certificate
// that the endpoint has verified, and all requests if [Server.Open] is set.
// Others are answered with status 401.
func (s *Server) authorise(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, ok := s.authenticate(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeJSON(w, http.StatusUnauthorized, errorBody{Error: Error{
				Message: "give a bearer token or a client certificate of an operator",
			}})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), actorKey{}, actor)))
	})
}

// authenticate returns the operator's name and whether the request is authorised.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName, true
	}
	if s.Tokens != nil {
		if name, found := s.Tokens.Bearer(r); found {
			return name, true
		}
	}
	return anonymousActor, s.Open
}

// actorFromContext returns the operator's name, set by [Server.authorise].
func actorFromContext(r *http.Request) string {
	actor, _ := r.Context().Value(actorKey{}).(string)
	return actor
}
