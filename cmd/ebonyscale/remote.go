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

// operatorTimeout bounds an operator's command.
const operatorTimeout = time.Minute

// addressFlag is an IP number and a port.
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

// platformFlag names the platform.
type platformFlag struct{ address addressFlag }

func (p *platformFlag) register(f *flag.FlagSet) {
	f.Var(&p.address, "platform", "the platform's address, an IP number and a port")
}

func (p *platformFlag) client() (*store.Client, error) {
	if !p.address.IsValid() {
		return nil, fmt.Errorf("give the platform's address with -platform")
	}
	return &store.Client{Address: p.address.AddrPort}, nil
}

// nodeFlag names a process to start from.
type nodeFlag struct{ address addressFlag }

func (n *nodeFlag) register(f *flag.FlagSet) {
	f.Var(&n.address, "node", "the peers' address of any process, an IP number and a port")
}

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

// operatorContext bounds a command.
func operatorContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, operatorTimeout)
}

// lineDiff returns the lines that two texts do not have in common, as a rough
// account of a change.
func lineDiff(before, after string) []string {
	count := map[string]int{}
	for _, line := range strings.Split(before, "\n") {
		count[line]++
	}
	var diff []string
	for _, line := range strings.Split(after, "\n") {
		if count[line] > 0 {
			count[line]--
			continue
		}
		diff = append(diff, "+ "+line)
	}
	var gone []string
	for line, n := range count {
		for range n {
			gone = append(gone, "- "+line)
		}
	}
	sort.Strings(gone)
	return append(gone, diff...)
}
