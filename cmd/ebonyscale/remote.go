package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/node/meter"
	"ebonyscale.example/ebonyscale/internal/peer/link"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// operatorTimeout bounds a command that calls processes or the platform.
const operatorTimeout = time.Minute

// addressFlag is a flag whose value is an IP address and a port.
type addressFlag struct{ netip.AddrPort }

// Set implements flag.Value.
func (a *addressFlag) Set(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("must be an IP number and a port, such as 127.0.0.1:7000")
	}
	a.AddrPort = address
	return nil
}

// String implements flag.Value.
func (a *addressFlag) String() string {
	if !a.IsValid() {
		return ""
	}
	return a.AddrPort.String()
}

// platformFlag is the -platform flag, the address of the platform.
type platformFlag struct{ address addressFlag }

func (p *platformFlag) register(f *flag.FlagSet) {
	f.Var(&p.address, "platform", "the platform's address, an IP number and a port")
}

// client returns a client of the platform, or an error if the flag is missing.
func (p *platformFlag) client() (*store.Client, error) {
	if !p.address.IsValid() {
		return nil, fmt.Errorf("give the platform's address with -platform")
	}
	return &store.Client{Address: p.address.AddrPort}, nil
}

// nodeFlag is the -node flag, the address of a process from which a command
// finds the others.
type nodeFlag struct{ address addressFlag }

func (n *nodeFlag) register(f *flag.FlagSet) {
	f.Var(&n.address, "node", "the peers' address of any process, an IP number and a port")
}

// client returns a client of the processes, or an error if the flag is missing. The
// caller closes it.
func (n *nodeFlag) client() (*link.Client, error) {
	if !n.address.IsValid() {
		return nil, fmt.Errorf("give a process's address for peers with -node")
	}
	return &link.Client{Meters: &meter.Set{}}, nil
}

// readDirectory reads the INI files of a deployment directory.
func readDirectory(directory string) ([]spec.File, error) {
	if directory == "" {
		return nil, fmt.Errorf("give the directory of the deployment")
	}
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, fmt.Errorf("read deployment: %w", err)
	}
	var files []spec.File
	for _, e := range entries {
		if e.IsDir() || filepath.Ext(e.Name()) != ".ini" {
			continue
		}
		data, err := os.ReadFile(filepath.Join(directory, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("read deployment: %w", err)
		}
		files = append(files, spec.File{Name: e.Name(), Data: data})
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s has no files that end in .ini", directory)
	}
	return files, nil
}

// operatorContext returns a context that ends after operatorTimeout.
func operatorContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, operatorTimeout)
}

// lineDiff returns the lines that the two texts do not have in common: the
// removed ones sorted, with the prefix "- ", then the added ones in order, with
// the prefix "+ ". Lines that only moved are left out.
func lineDiff(before, after string) []string {
	count := map[string]int{}
	for _, line := range strings.Split(before, "\n") {
		count[line]++
	}
	var added []string
	for _, line := range strings.Split(after, "\n") {
		if count[line] > 0 {
			count[line]--
			continue
		}
		added = append(added, "+ "+line)
	}
	var removed []string
	for line, n := range count {
		for range n {
			removed = append(removed, "- "+line)
		}
	}
	sort.Strings(removed)
	return append(removed, added...)
}
