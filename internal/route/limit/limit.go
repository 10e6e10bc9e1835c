// Package limit shares the rate limit of a backend server among the processes that
// send it requests, without messages between them for each request.
//
// A backend server says how many requests per second it takes from all processes
// together. Each process may send its share. A process that has sent nothing for a
// while may send a request at once, so that the more processes share a limit, the more
// requests may come at the same moment. Therefore only some of many processes send to
// a backend server with a low limit; the others use other backend servers.
//
// # Usage
//
//	rank, processes := members.Rank(server.Key())
//	perSecond := limit.Share(7.5, processes, rank)
//
// Processes are ranked by rendezvous hashing, in another order for each backend server,
// so that they agree on who sends where as long as they know the same processes.
package limit

const (
	// minUsers is the number of processes that may send to a backend server, however
	// low its limit is.
	minUsers = 3
	// usersPerRate is how many more processes may send for each request per second of
	// the limit.
	usersPerRate = 0.5
)

// Share returns how many requests per second the process with the rank, from 0, may
// send to a backend server that takes perSecond requests from all processes together.
// It is 0 if the process must send none.
func Share(perSecond float64, processes, rank int) float64 {
	users := max(min(processes, minUsers+int(usersPerRate*perSecond)), 1)
	if rank >= users {
		return 0
	}
	return perSecond / float64(users)
}
