// Package sample contains the configuration files of two example deployments,
// which are modelled on the first users' deployments in kind and size.
//
// # Usage
//
//	files, err := sample.Files("Malabar")
package sample

import (
	"embed"
	"fmt"
	"path"
	"strings"

	"ebonyscale.example/ebonyscale/internal/config/spec"
)

//go:embed malabar/*.ini quetzal/*.ini
var directories embed.FS

// Names are the names of the example deployments.
var Names = []string{"Malabar", "Quetzal"}

// Files returns the INI files of the example deployment with the name, ignoring
// case.
func Files(name string) ([]spec.File, error) {
	directory := strings.ToLower(name)
	entries, err := directories.ReadDir(directory)
	if err != nil {
		return nil, fmt.Errorf("example deployment %q does not exist; there are %s", name, strings.Join(Names, " and "))
	}
	var files []spec.File
	for _, e := range entries {
		data, err := directories.ReadFile(path.Join(directory, e.Name()))
		if err != nil {
			return nil, fmt.Errorf("read example: %w", err)
		}
		files = append(files, spec.File{Name: e.Name(), Data: data})
	}
	return files, nil
}
