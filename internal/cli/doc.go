// Package cli implements the command line of guavatrack.
//
// Each command is a struct whose fields are its flags. Results go to standard
// output, as a table or with --json as one JSON value; errors go to standard
// error, with advice on what to do next. The exit codes are listed at [Code].
package cli
