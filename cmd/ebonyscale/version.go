package main

import "runtime/debug"

// version is the output of the version command: the revision that the program
// was built from and the version of Go.
type version struct {
	Version string
	Go      string
}

// buildVersion returns the version of this program; Version is "development" if the
// build has no revision.
func buildVersion() version {
	v := version{Version: "development"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	v.Go = info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Version = s.Value
		}
	}
	return v
}
