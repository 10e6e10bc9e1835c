package proc

import (
	"net/netip"
	"strings"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// cutsPath takes the addresses to cut, as IP numbers with commas between them.
const cutsPath = "/experiment/cuts"

// cuts makes addresses unreachable for this process, for experiments.
type cuts struct {
	next      fasthttp.RequestHandler
	addresses atomic.Pointer[map[netip.Addr]bool]
}

func (c *cuts) cut(address netip.AddrPort) bool {
	set := c.addresses.Load()
	return set != nil && (*set)[address.Addr()]
}

func (c *cuts) handle(request *fasthttp.RequestCtx) {
	if string(request.Path()) != cutsPath {
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
