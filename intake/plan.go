package intake

import "syscall"

const (
	// budgetShare is the part of a process's memory that requests may hold. The Go runtime's limit is 0.6 of the memory,
	// and a gateway without requests needs 16 MB.
	budgetShare = 0.3
	// connectionShare is the part of a process's memory that the callers' connections may take, connectionBytes what one
	// takes in net/http: two buffers, two stacks, and the state of a request.
	connectionShare = 0.2
	connectionBytes = 20 << 10
	// unlimitedBudget is the budget of a process whose memory is not limited.
	unlimitedBudget = 64 << 20
	// callerShare is the part of a process's descriptors for callers: each call needs another one for its endpoint. The
	// peers get peerShare, each other address serviceShare; 0.13 are left for connections to peers and the store.
	callerShare  = 0.36
	peerShare    = 0.1
	serviceShare = 0.025
	// maxService is enough for the checks and the scrapes of a machine.
	maxService = 64
)

// Plan divides the memory and the descriptors of a process.
type Plan struct {
	// Memory is the budget of all requests in bytes.
	Memory int64
	// Callers, Peers and Service are the connections that the address of callers, of peers, and each other one accepts.
	Callers, Peers, Service int
}

// NewPlan returns the default plan of a process; memoryMB is 0 if its memory is not limited.
func NewPlan(memoryMB, descriptors int) Plan {
	share := func(part float64) int { return max(1, int(part*float64(descriptors))) }
	pla := Plan{Memory: unlimitedBudget, Callers: share(callerShare), Peers: share(peerShare), Service: min(share(serviceShare), maxService)}
	if memoryMB > 0 {
		bytes := float64(memoryMB) * (1 << 20)
		pla.Memory = int64(budgetShare * bytes)
		pla.Callers = min(pla.Callers, max(1, int(connectionShare*bytes/connectionBytes)))
	}
	return pla
}

// With replaces the parts of a plan that are not 0: the budget in MB, and the connections of callers and peers.
func (pla Plan) With(memoryMB, callers, peers int) Plan {
	if memoryMB > 0 {
		pla.Memory = int64(memoryMB) << 20
	}
	if callers > 0 {
		pla.Callers = callers
	}
	if peers > 0 {
		pla.Peers = peers
	}
	return pla
}

// Descriptors returns the number of descriptors that this process may have.
func Descriptors() int {
	var lim syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &lim); err != nil {
		return fallbackDescriptors
	}
	return int(min(lim.Cur, maxDescriptors))
}

const (
	// fallbackDescriptors is the usual limit of a process.
	fallbackDescriptors = 1024
	// maxDescriptors stands for no limit.
	maxDescriptors = 1 << 20
)
