package proc

import (
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// partitionPath is the path that sets the unreachable addresses. The body is a list
// of IP addresses, separated by commas; an empty one ends the partition.
const partitionPath = "/experiment/cuts"

// partition simulates a network partition for experiments: it makes addresses
// unreachable for this process. It is safe for concurrent use.
type partition struct {
	next      fasthttp.RequestHandler
	addresses atomic.Pointer[map[netip.Addr]bool]
}

// blocked reports whether the address is unreachable.
func (p *partition) blocked(address netip.AddrPort) bool {
	set := p.addresses.Load()
	return set != nil && (*set)[address.Addr()]
}

// handle replaces the unreachable addresses if the request is for partitionPath, and
// passes other requests to next.
func (p *partition) handle(request *fasthttp.RequestCtx) {
	if string(request.Path()) != partitionPath {
		p.next(request)
		return
	}
	set := map[netip.Addr]bool{}
	for _, text := range strings.Split(string(request.PostBody()), ",") {
		if text == "" {
			continue
		}
		address, err := netip.ParseAddr(text)
		if err != nil {
			request.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		set[address] = true
	}
	p.addresses.Store(&set)
}
