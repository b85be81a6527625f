package operator

import (
	"context"
	"net/http"
)

// actorKey finds the operator's name in a request's context.
type actorKey struct{}

const openActor = "operator"

// authorise lets operators through that gave a known token or a client
// certificate that the endpoint has verified.
func (s *Server) authorise(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		actor, ok := s.actor(r)
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			send(w, http.StatusUnauthorized, errorBody{Error: Error{
				Message: "give a bearer token or a client certificate of an operator",
			}})
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), actorKey{}, actor)))
	})
}

func (s *Server) actor(r *http.Request) (string, bool) {
	if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
		return r.TLS.VerifiedChains[0][0].Subject.CommonName, true
	}
	if s.Tokens != nil {
		if name, found := s.Tokens.Bearer(r); found {
			return name, true
		}
	}
	return openActor, s.Open
}

func actorOf(r *http.Request) string {
	actor, _ := r.Context().Value(actorKey{}).(string)
	return actor
}
