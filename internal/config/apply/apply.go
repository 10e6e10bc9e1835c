// Package apply stores new configurations of a deployment and activates them in
// the processes that serve.
//
// A configuration is stored as its files, each an immutable object under the
// hash of its content, and a manifest that lists them. A configuration is
// accepted by one conditional write of the manifest, on the version that the
// operator read. Of two concurrent applies one gets a Conflict and changes
// nothing. The manifest also contains the history, so that both change
// atomically.
//
// # Usage
//
//	manifest, err := apply.Apply(ctx, platform, files, apply.Request{Base: read.Version, Author: name})
//	var conflict *apply.Conflict
//	if errors.As(err, &conflict) { ... }
//
// A process that serves reads the manifest and the files, and activates them
// together. The version of its active configuration never decreases:
//
//	config, err := apply.Assemble(manifest, contents)
//	if err == nil && active.Advance(config) { ... }
package apply

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"ebonyscale.example/ebonyscale/internal/config/spec"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// Piece describes one file of a configuration.
type Piece struct {
	Name string
	// Hash is the SHA-256 of the content in hexadecimal.
	Hash string
	// Size is the size of the content, in bytes.
	Size int
}

// Manifest lists the files of one version of a deployment's configuration. Version
// 0 means that nothing was applied yet.
type Manifest struct {
	Deployment string
	Version    uint64
	Author     string
	At         time.Time
	Pieces     []Piece
	// Write is a unique ID of the apply, by which a writer recognises its own.
	Write string
	// History lists up to MaxHistory earlier versions, newest first.
	History []Past
}

// Past is an earlier version of a configuration.
type Past struct {
	Version uint64
	Author  string
	At      time.Time
	Pieces  []Piece
}

// MaxHistory is how many earlier versions a manifest lists.
const MaxHistory = 50

// WatchPrefix returns the key prefix of the objects that the processes of a
// deployment watch.
func WatchPrefix(deployment string) string { return "watch/" + deployment + "/" }

// ManifestKey returns the key of the manifest of a deployment.
func ManifestKey(deployment string) string { return WatchPrefix(deployment) + "manifest" }

// PieceKey returns the key of the file whose content has the hash.
func PieceKey(deployment, hash string) string { return "piece/" + deployment + "/" + hash }

// Hash returns the SHA-256 of a file's content in hexadecimal.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Request has the parameters of an apply.
type Request struct {
	// Base is the version that the operator read and changed; 0 if there was
	// none.
	Base uint64
	// Author is recorded in the manifest.
	Author string
}

// Conflict is the error of an apply whose base is not the current version,
// because another apply came first.
type Conflict struct {
	// Base is the version of the request, Found the current one, and Author the
	// author of the latter.
	Base, Found uint64
	Author      string
}

// Error returns a message with both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: the configuration was version %d when it was read and is version %d by %s now; nothing was changed", c.Base, c.Found, c.Author)
}

// Read returns the manifest of a deployment and the version of its object. The
// manifest is empty if the deployment was never applied.
func Read(ctx context.Context, g store.Getter, deployment string) (Manifest, uint64, error) {
	object, err := g.Get(ctx, ManifestKey(deployment))
	if errors.Is(err, store.ErrAbsent) {
		return Manifest{Deployment: deployment}, 0, nil
	}
	if err != nil {
		return Manifest{}, 0, fmt.Errorf("read manifest: %w", err)
	}
	manifest, err := Decode(object.Value)
	if err != nil {
		return Manifest{}, 0, err
	}
	return manifest, object.Version, nil
}

// Decode decodes the value of a manifest's object.
func Decode(value []byte) (Manifest, error) {
	var manifest Manifest
	if err := json.Unmarshal(value, &manifest); err != nil {
		return manifest, fmt.Errorf("decode manifest: %w", err)
	}
	if manifest.Version == 0 {
		return manifest, errors.New("decode manifest: it has no version")
	}
	return manifest, nil
}

// Apply checks the files, stores them as the version after the base, and returns
// the new manifest. The error is a *keys.Error if files have faults and a
// *Conflict if another apply came first; in both cases the configuration is
// unchanged. If the error wraps store.ErrUnsettled, it is unknown whether the new
// one was accepted.
func Apply(ctx context.Context, w store.Writer, files []spec.File, r Request) (Manifest, error) {
	deployment, err := spec.Parse(files)
	if err != nil {
		return Manifest{}, err
	}
	current, version, err := Read(ctx, w, deployment.Name)
	if err != nil {
		return Manifest{}, err
	}
	if current.Version != r.Base {
		return Manifest{}, &Conflict{Base: r.Base, Found: current.Version, Author: current.Author}
	}
	next := current.next(deployment.Name, files, r.Author)
	if err := storePieces(ctx, w, next, files); err != nil {
		return Manifest{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Manifest{}, fmt.Errorf("encode manifest: %w", err)
	}
	object := store.Object{Key: ManifestKey(deployment.Name), Value: value, Version: version}
	_, err = store.Settle(ctx, w, object, func(value []byte) bool {
		found, err := Decode(value)
		return err == nil && found.writtenBy(next.Write)
	})
	if errors.Is(err, store.ErrConflict) {
		return Manifest{}, conflict(ctx, w, deployment.Name, r.Base)
	}
	if err != nil {
		return Manifest{}, fmt.Errorf("accept configuration: %w", err)
	}
	return next, nil
}

// writtenBy reports whether the apply with the write ID wrote the manifest.
func (m Manifest) writtenBy(write string) bool { return m.Write == write }

// conflict returns the Conflict of an apply on base. If the other apply's manifest
// cannot be read, its version is assumed to be the next one.
func conflict(ctx context.Context, g store.Getter, deployment string, base uint64) error {
	found, _, err := Read(ctx, g, deployment)
	if err != nil {
		return &Conflict{Base: base, Found: base + 1, Author: "another operator"}
	}
	return &Conflict{Base: base, Found: found.Version, Author: found.Author}
}

// next returns the manifest of the version after m, with m in its history.
func (m Manifest) next(deployment string, files []spec.File, author string) Manifest {
	next := Manifest{
		Deployment: deployment, Version: m.Version + 1, Author: author,
		At: time.Now().UTC(), Write: uuid.NewString(), Pieces: ListPieces(files),
	}
	if m.Version > 0 {
		next.History = append(next.History, Past{m.Version, m.Author, m.At, m.Pieces})
	}
	next.History = append(next.History, m.History...)
	if len(next.History) > MaxHistory {
		next.History = next.History[:MaxHistory]
	}
	return next
}

// ListPieces describes the files, sorted by name.
func ListPieces(files []spec.File) []Piece {
	var pieces []Piece
	for _, f := range files {
		pieces = append(pieces, Piece{Name: f.Name, Hash: Hash(f.Data), Size: len(f.Data)})
	}
	sort.Slice(pieces, func(i, j int) bool { return pieces[i].Name < pieces[j].Name })
	return pieces
}

// storePieces writes the files that the previous version doesn't have. An object
// that exists already has the same content, since its key contains the hash; a
// conflict therefore counts as success.
func storePieces(ctx context.Context, w store.Writer, next Manifest, files []spec.File) error {
	stored := map[string]bool{}
	if len(next.History) > 0 {
		for _, p := range next.History[0].Pieces {
			stored[p.Hash] = true
		}
	}
	for _, f := range files {
		hash := Hash(f.Data)
		if stored[hash] {
			continue
		}
		object := store.Object{Key: PieceKey(next.Deployment, hash), Value: f.Data}
		_, err := store.Settle(ctx, w, object, func([]byte) bool { return true })
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return fmt.Errorf("store %s: %w", f.Name, err)
		}
	}
	return nil
}

// Config is a complete, parsed configuration. It must not be changed.
type Config struct {
	Manifest Manifest
	// Pieces has the content of each file, by hash.
	Pieces     map[string][]byte
	Deployment *spec.Deployment
}

// Assemble checks that pieces, by hash, contain every file of the manifest with
// the right content, and parses the files. The error wraps ErrMissing or a
// *keys.Error.
func Assemble(manifest Manifest, pieces map[string][]byte) (*Config, error) {
	config := &Config{Manifest: manifest, Pieces: map[string][]byte{}}
	var files []spec.File
	for _, p := range manifest.Pieces {
		data, ok := pieces[p.Hash]
		if !ok || Hash(data) != p.Hash {
			return nil, fmt.Errorf("assemble version %d: %w: %s", manifest.Version, ErrMissing, p.Name)
		}
		config.Pieces[p.Hash] = data
		files = append(files, spec.File{Name: p.Name, Data: data})
	}
	deployment, err := spec.Parse(files)
	if err != nil {
		return nil, fmt.Errorf("assemble version %d: %w", manifest.Version, err)
	}
	config.Deployment = deployment
	return config, nil
}

// ErrMissing is the error of a file whose content is missing or does not have
// the hash that the manifest lists.
var ErrMissing = errors.New("configuration file is missing or has the wrong content")

// Missing returns the files of the manifest whose contents are not in pieces, which
// are by hash.
func (m Manifest) Missing(pieces map[string][]byte) []Piece {
	var missing []Piece
	for _, p := range m.Pieces {
		if _, ok := pieces[p.Hash]; !ok {
			missing = append(missing, p)
		}
	}
	return missing
}

// Active holds the active configuration of a process. The zero value has none.
// Its methods are safe for concurrent use.
type Active struct{ current atomic.Pointer[Config] }

// Current returns the active configuration, or nil if there is none.
func (a *Active) Current() *Config { return a.current.Load() }

// Version returns the active version, 0 if there is none.
func (a *Active) Version() uint64 {
	if c := a.Current(); c != nil {
		return c.Manifest.Version
	}
	return 0
}

// Advance activates a configuration if its version is higher than the active
// one, and reports whether it did.
func (a *Active) Advance(next *Config) bool {
	for {
		current := a.current.Load()
		if current != nil && current.Manifest.Version >= next.Manifest.Version {
			return false
		}
		if a.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
