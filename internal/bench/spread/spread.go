// Package spread compares strategies to distribute a configuration to all
// processes of a system, in a simulation by rounds.
//
// # Usage
//
//	result := spread.Run(spread.Case{
//		Strategy: spread.Owner, Nodes: 45, Zones: 1, Chunks: 16, ChunkBytes: 64 << 10, Loss: 0.1, Seed: 1,
//	})
//
// In each round a process sends a request to another process or to the platform.
// The request and its response are each lost with probability Loss.
//
// Colouring is the protocol of the paper "Multi-message gossip with coloring and
// aging for collaborative content delivery", section 3.1. The chunks start at
// different processes. A process adopts the first chunk that it receives as its
// colour, as long as the chunk's age is under a limit, and sends that chunk in
// preference to others.
package spread

import (
	"math"
	"math/rand/v2"
	"time"
)

// Strategy is a strategy to distribute chunks.
type Strategy int

// The strategies.
const (
	// PullAll has every process read every chunk from the platform.
	PullAll Strategy = iota
	// PushPull has pairs of processes exchange random chunks that the other one
	// lacks.
	PushPull
	// Colouring is the protocol of the paper.
	Colouring
	// Owner has one process of each zone, the owner, read the chunks from the
	// platform. The others request all missing chunks from the owner, and fall
	// back to the platform after maxOwnerRequests rounds.
	Owner
)

// Strategies has all strategies.
var Strategies = []Strategy{PullAll, PushPull, Colouring, Owner}

// String returns the strategy's name.
func (s Strategy) String() string { return [...]string{"PullAll", "PushPull", "Colouring", "Owner"}[s] }

// RoundTime is the duration of a round.
const RoundTime = 150 * time.Millisecond

// Limits of a run.
const (
	// readsPerRound is the number of reads that the platform accepts in a round,
	// of all processes together.
	readsPerRound = 300
	// maxOwnerRequests is the number of rounds in which a process sends requests
	// to its owner before it reads from the platform.
	maxOwnerRequests = 7
	// maxRounds ends a run that does not converge.
	maxRounds = 10_000
)

// Case has the parameters of a run.
type Case struct {
	Strategy Strategy
	// Nodes is the number of processes in all Zones.
	Nodes int
	Zones int
	// Chunks is the number of chunks of the configuration, ChunkBytes the size
	// of each.
	Chunks     int
	ChunkBytes int
	// Loss is the probability that a message is lost.
	Loss float64
	Seed uint64
}

// Result has the costs of a run until every process has every chunk.
type Result struct {
	Rounds int
	// Reads is the number of reads that the platform accepted.
	Reads int
	// Messages is the number of requests and responses.
	Messages int
	// MeanReceivedBytes is the mean of the bytes that a process received,
	// MaxSentBytes the largest number of bytes that a process sent.
	MeanReceivedBytes, MaxSentBytes float64
}

// Time returns how long the run took.
func (r Result) Time() time.Duration { return time.Duration(r.Rounds) * RoundTime }

// run is the state of a run. Slices are indexed by process.
type run struct {
	Case
	Result
	random *rand.Rand
	// has is indexed by process and chunk.
	has        [][]bool
	chunkCount []int
	// sent has the bytes sent.
	sent []float64
	// colour is a process's chunk in the Colouring protocol, -1 for none. age is
	// the process's count of the times that the chunk was passed on.
	colour, age []int
	// ownerRequests has the number of requests that a process sent to its owner.
	ownerRequests []int
	// readsLeft is the number of reads that the platform still accepts in this
	// round.
	readsLeft int
}

// requestBytes is the size of a request without its bitmap of chunks.
const requestBytes = 40

// Run simulates a case.
func Run(c Case) Result {
	r := &run{Case: c, random: rand.New(rand.NewPCG(c.Seed, 8))}
	r.has = make([][]bool, c.Nodes)
	r.chunkCount, r.ownerRequests = make([]int, c.Nodes), make([]int, c.Nodes)
	r.colour, r.age = make([]int, c.Nodes), make([]int, c.Nodes)
	r.sent = make([]float64, c.Nodes)
	for i := range r.has {
		r.has[i] = make([]bool, c.Chunks)
		r.colour[i] = -1
	}
	if c.Strategy == PushPull || c.Strategy == Colouring {
		r.seedChunks()
	}
	for !r.converged() && r.Rounds < maxRounds {
		r.Rounds++
		r.readsLeft = readsPerRound
		r.round()
	}
	for _, s := range r.sent {
		r.MaxSentBytes = max(r.MaxSentBytes, s)
	}
	r.MeanReceivedBytes /= float64(c.Nodes)
	return r.Result
}

// seedChunks has evenly spaced processes read one chunk each from the platform.
func (r *run) seedChunks() {
	for chunk := range r.Chunks {
		node := chunk * r.Nodes / r.Chunks
		r.receive(node, chunk)
		r.colour[node] = chunk
		r.Reads++
	}
}

// converged reports whether every process has every chunk.
func (r *run) converged() bool {
	for _, n := range r.chunkCount {
		if n < r.Chunks {
			return false
		}
	}
	return true
}

// receive adds a chunk to a process and counts its bytes, unless the process has
// the chunk.
func (r *run) receive(node, chunk int) {
	if !r.has[node][chunk] {
		r.has[node][chunk] = true
		r.chunkCount[node]++
		r.MeanReceivedBytes += float64(r.ChunkBytes)
	}
}

// lost counts a request and its response and draws whether one of them is lost.
func (r *run) lost() bool {
	r.Messages += 2
	requestLost := r.random.Float64() < r.Loss
	responseLost := r.random.Float64() < r.Loss
	return requestLost || responseLost
}

// round has each process act once, in random order.
func (r *run) round() {
	order := r.random.Perm(r.Nodes)
	responded := make([]bool, r.Nodes)
	for _, node := range order {
		switch r.Strategy {
		case PullAll:
			r.read(node)
		case PushPull, Colouring:
			r.gossip(node, responded)
		case Owner:
			r.requestFromOwner(node)
		}
	}
}

// read reads the first missing chunk from the platform, unless the platform's
// rate limit is reached or a message is lost.
func (r *run) read(node int) {
	if r.chunkCount[node] == r.Chunks || r.readsLeft == 0 {
		return
	}
	r.readsLeft--
	r.Reads++
	if r.lost() {
		return
	}
	for chunk, has := range r.has[node] {
		if !has {
			r.receive(node, chunk)
			return
		}
	}
}

// gossip sends a request to a random other process. A process responds to one
// request per round.
func (r *run) gossip(node int, responded []bool) {
	other := r.random.IntN(r.Nodes - 1)
	if other >= node {
		other++
	}
	r.sent[node] += requestBytes + float64(r.Chunks)/8
	if responded[other] || r.lost() {
		return
	}
	responded[other] = true
	if r.Strategy == Colouring {
		r.respondColour(node, other)
		return
	}
	r.send(other, node, r.pick(other, node))
	r.send(node, other, r.pick(node, other))
}

// respondColour is the response of process v to a request of u in the Colouring
// protocol. The names are those of the paper.
func (r *run) respondColour(u, v int) {
	limit := int(math.Log2(max(float64(r.Nodes)/float64(2*r.Chunks), 1)))
	colour := r.colour[v]
	switch {
	case colour >= 0 && r.colour[u] < 0 && r.age[v] < limit:
		r.age[v]++
		r.send(v, u, colour)
		r.colour[u], r.age[u] = colour, r.age[v]
	case colour >= 0 && !r.has[u][colour]:
		r.send(v, u, colour)
	default:
		r.send(v, u, r.pick(v, u))
	}
}

// pick returns a random chunk that one process has and the other lacks, or -1.
func (r *run) pick(from, to int) int {
	picked, n := -1, 0
	for chunk := range r.Chunks {
		if !r.has[from][chunk] || r.has[to][chunk] {
			continue
		}
		n++
		if r.random.IntN(n) == 0 {
			picked = chunk
		}
	}
	return picked
}

// send sends a chunk from one process to another; -1 stands for none.
func (r *run) send(from, to, chunk int) {
	if chunk < 0 {
		return
	}
	r.sent[from] += float64(r.ChunkBytes)
	r.receive(to, chunk)
}

// requestFromOwner is a process's action in the Owner strategy. The owner of zone
// i is process i.
func (r *run) requestFromOwner(node int) {
	if r.chunkCount[node] == r.Chunks {
		return
	}
	owner := node % r.Zones
	if node == owner || r.ownerRequests[node] >= maxOwnerRequests {
		for range r.Chunks {
			r.read(node)
		}
		return
	}
	r.ownerRequests[node]++
	if r.chunkCount[owner] < r.Chunks || r.lost() {
		return
	}
	for chunk := range r.Chunks {
		if !r.has[node][chunk] {
			r.send(owner, node, chunk)
		}
	}
}
