package proc

import (
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// partitionPath takes the addresses to cut, as IP numbers with commas between them.
const partitionPath = "/experiment/cuts"

// partition makes addresses unreachable for this process, for experiments.
type partition struct {
	next      fasthttp.RequestHandler
	addresses atomic.Pointer[map[netip.Addr]bool]
}

func (c *partition) blocked(address netip.AddrPort) bool {
	set := c.addresses.Load()
	return set != nil && (*set)[address.Addr()]
}

func (c *partition) handle(request *fasthttp.RequestCtx) {
	if string(request.Path()) != partitionPath {
		c.next(request)
		return
	}
	set := map[netip.Addr]bool{}
	for _, word := range strings.Split(string(request.PostBody()), ",") {
		if word == "" {
			continue
		}
		address, err := netip.ParseAddr(word)
		if err != nil {
			request.SetStatusCode(fasthttp.StatusBadRequest)
			return
		}
		set[address] = true
	}
	c.addresses.Store(&set)
}
