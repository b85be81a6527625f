// Package operator implements the operators' HTTP API, which applies tickets and
// reports the state of the fleet, and the client that the command line uses.
//
//	POST /v1/tickets               apply a ticket; ?check=true only checks it
//	GET  /v1/tickets               accepted tickets, ?after=N&limit=M
//	GET  /v1/tickets/{number}      one accepted ticket
//	GET  /v1/inForce/{revision}    which live members have confirmed a revision
//	GET  /v1/configuration         the configuration in force on this node
//	GET  /v1/status                members, servers and their grants
//	GET  /v1/status/{item}         one item: its replicas and the policy's explanation
//	GET  /v1/audit                 audit trail, ?since=…&limit=N
//	POST /v1/drain                 drain and stop this node without cutting off a request
//	GET, PUT /v1/logLevel          the node's log level
//	GET  /metrics, /healthz, /readyz
//
// Errors have the body {"error": {"message": …, "fields": [{"path", "message"}]}}.
package operator
