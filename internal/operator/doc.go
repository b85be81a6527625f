// Package operator speaks to operators: it serves the HTTP API through which
// tickets are applied and the state of the fleet is read, and holds the client
// that the command line uses.
//
//	POST /v1/tickets               apply a ticket; ?check=true only checks it
//	GET  /v1/tickets               accepted tickets, ?after=N&limit=M
//	GET  /v1/tickets/{number}      one of them
//	GET  /v1/inForce/{revision}    which live members have confirmed a revision
//	GET  /v1/configuration         the configuration in force on this node
//	GET  /v1/status                members, servers and what they hold
//	GET  /v1/status/{item}         one item: replicas and why they are there
//	GET  /v1/audit                 trail of changes, ?since=…&limit=N
//	POST /v1/drain                 stop this node without cutting off a request
//	GET, PUT /v1/logLevel          what the node logs
//	GET  /metrics, /healthz, /readyz
//
// Errors have the body {"error": {"message": …, "fields": [{"path", "message"}]}}.
package operator
