// Package pace follows how fast a server works and limits the requests that a server which
// has just started or recovered gets.
//
// It does no I/O, has no lock and reads no clock: times, random numbers and what is known of
// the server are arguments.
//
// # Factor
//
// Some servers report how long work takes on their machine now, relative to the usual. The
// factor of a server is its mean of that with the deviation, and the last reading. The
// estimate for a time is the mean plus the difference of the last reading from the mean,
// which decays with 100 ms. A reading counts for at most four times the mean and the
// deviation together, and for at least a quarter of the mean. Without readings the mean
// returns to 1.
//
// # Window
//
// A window bounds the requests of one node at a server that has just started or recovered. It
// begins when the node first listed the new run, or can send requests to the server again. It
// begins at 0 and opens in turns:
//
//   - A node that has requests waiting gets a turn in each 100 ms with the probability of
//     4 / nodes, so that about four nodes try the server at once. A request that has just
//     come gets a turn with the probability of 4 / (nodes x rate), where rate is the number
//     of such requests in 100 ms: all nodes together send about four in 100 ms, or as many as
//     come if those are fewer. If the load reports show that more requests of other nodes
//     run there, about as many take the place of the four, but no more than there are free
//     slots. A turn stays until it is used. After a sign of overload the probability is at
//     most 1 / 5.
//   - A node that has had no turn for 500 ms since it first wanted one gets it.
//   - A turn allows one request, or 4 / nodes if that is more.
//
// After the first request the window grows by one with each answer whose time to the first
// byte is at most 1.5 times the low time (see below), that is, it doubles in each round of
// answers. After the first sign of overload it grows by one in a round. It halves when the
// server rejects or fails a request, or takes more than twice the low time to the first
// byte. Requests that were sent before the last halving do not halve it again. A window
// below 1 opens in turns again.
//
// A window ends when it and the requests of other nodes together reach the slots of the
// server. It also ends 10 s after its beginning or the last rejection or failure, unless the
// node has sent requests there of which none was answered well: a node that sends there
// seldom would not see enough answers.
//
// # Low time
//
// The low time is about the lower decile of the times to the first byte, for each size class
// of requests, corrected by the factor of the server. The minimum itself would be that of a
// request whose prompt was cached.
package pace
