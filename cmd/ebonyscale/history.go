package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// getCommand prints the files of a version of the configuration or writes them
// to a directory.
type getCommand struct {
	output     outputFlag
	platform   platformFlag
	deployment string
	version    uint64
	directory  string
}

func (c *getCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
	f.StringVar(&c.deployment, "deployment", "", "the deployment's name")
	f.Uint64Var(&c.version, "version", 0, "the version; 0 for the newest")
	f.StringVar(&c.directory, "directory", "", "where to write the files; they are printed if it is empty")
}

// getResult is the output of the get command. Files has the contents by name.
type getResult struct {
	Deployment string
	Version    uint64
	Files      map[string]string
}

func (c *getCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.platform.client()
	if err != nil || c.deployment == "" {
		fmt.Fprintln(os.Stderr, "get: give -platform and -deployment")
		return subcommands.ExitUsageError
	}
	got, err := c.fetch(ctx, client)
	if err != nil {
		return fail("get", err)
	}
	text := fmt.Sprintf("%s: version %d\n", got.Deployment, got.Version)
	for name, data := range got.Files {
		if c.directory == "" {
			text += fmt.Sprintf("\n; %s\n%s", name, data)
			continue
		}
		if err := os.MkdirAll(c.directory, 0o755); err != nil {
			return fail("get", err)
		}
		if err := os.WriteFile(filepath.Join(c.directory, filepath.Base(name)), []byte(data), 0o644); err != nil {
			return fail("get", err)
		}
	}
	c.output.print(got, text)
	return subcommands.ExitSuccess
}

// fetch reads the files of the version from the platform, those of the newest one
// if it is 0.
func (c *getCommand) fetch(ctx context.Context, g store.Getter) (getResult, error) {
	manifest, _, err := apply.Read(ctx, g, c.deployment)
	if err != nil {
		return getResult{}, err
	}
	got := getResult{Deployment: c.deployment, Version: manifest.Version, Files: map[string]string{}}
	files := manifest.Pieces
	if c.version != 0 && c.version != manifest.Version {
		files = nil
		for _, past := range manifest.History {
			if past.Version == c.version {
				got.Version, files = past.Version, past.Pieces
			}
		}
	}
	if len(files) == 0 {
		return got, fmt.Errorf("%s has no version %d; the last is %d", c.deployment, c.version, manifest.Version)
	}
	for _, p := range files {
		object, err := g.Get(ctx, apply.PieceKey(c.deployment, p.Hash))
		if err != nil {
			return got, fmt.Errorf("read %s: %w", p.Name, err)
		}
		got.Files[p.Name] = string(object.Value)
	}
	return got, nil
}

// historyCommand lists the versions of the configuration.
type historyCommand struct {
	output     outputFlag
	platform   platformFlag
	deployment string
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	c.output.register(f)
	c.platform.register(f)
	f.StringVar(&c.deployment, "deployment", "", "the deployment's name")
}

func (c *historyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, cancel := operatorContext(ctx)
	defer cancel()
	client, err := c.platform.client()
	if err != nil || c.deployment == "" {
		fmt.Fprintln(os.Stderr, "history: give -platform and -deployment")
		return subcommands.ExitUsageError
	}
	m, _, err := apply.Read(ctx, client, c.deployment)
	if err != nil {
		return fail("history", err)
	}
	if m.Version == 0 {
		return fail("history", fmt.Errorf("nothing was applied to %s yet", c.deployment))
	}
	list := append([]apply.Past{{Version: m.Version, Author: m.Author, At: m.At, Pieces: m.Pieces}}, m.History...)
	var text strings.Builder
	for _, p := range list {
		fmt.Fprintf(&text, "%6d  %s  %-16s %d files\n", p.Version, p.At.Format(time.RFC3339), p.Author, len(p.Pieces))
	}
	c.output.print(list, text.String())
	return subcommands.ExitSuccess
}
