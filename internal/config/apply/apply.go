// Package apply puts the files of a deployment in force as a whole.
//
// A configuration is stored as immutable pieces, each under the hash of its
// content, and one manifest that lists them. Accepting a configuration is one
// conditional update of the manifest on the version that the operator saw: of
// two competing applies one gets a conflict and changes nothing. The manifest
// has the history too, so that both change together.
//
// # Usage
//
//	manifest, err := apply.Apply(ctx, platform, files, apply.Request{Base: seen, Author: name})
//	var conflict *apply.Conflict
//	if errors.As(err, &conflict) { ... }
//
// On the side of a process that serves, Holder has the configuration in force
// and only ever goes to a higher version.
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

// Piece names a file of a configuration and its content.
type Piece struct {
	Name string
	// Hash is the SHA-256 of the content in hexadecimal.
	Hash string
	Size int
}

// Manifest lists what a version of a deployment consists of.
type Manifest struct {
	Deployment string
	Version    uint64
	Author     string
	At         time.Time
	Pieces     []Piece
	// Write is different for each apply, by which a writer knows its own.
	Write string
	// History has the versions before, newest first.
	History []Past
}

// Past is an earlier version.
type Past struct {
	Version uint64
	Author  string
	At      time.Time
	Pieces  []Piece
}

// MaxHistory is how many earlier versions a manifest lists.
const MaxHistory = 50

// WatchPrefix is the prefix of the objects that the processes of a deployment
// watch.
func WatchPrefix(deployment string) string { return "watch/" + deployment + "/" }

// ManifestKey is the key of the manifest of a deployment.
func ManifestKey(deployment string) string { return WatchPrefix(deployment) + "manifest" }

// PieceKey is the key of a piece.
func PieceKey(deployment, hash string) string { return "piece/" + deployment + "/" + hash }

// Hash returns the name of content.
func Hash(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Request is who applies on top of what.
type Request struct {
	// Base is the version that the operator saw; 0 if there was none.
	Base   uint64
	Author string
}

// Conflict says that another apply came first.
type Conflict struct {
	Base, Found uint64
	Author      string
}

// Error tells both versions.
func (c *Conflict) Error() string {
	return fmt.Sprintf("conflict: the configuration was version %d when it was read and is version %d by %s now; nothing was changed", c.Base, c.Found, c.Author)
}

// Read returns the manifest of a deployment and the version of its object. A
// deployment that was never applied has an empty manifest.
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

// Decode reads the value of a manifest's object.
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

// Apply checks the files and accepts them on top of the base. The error is a
// *keys.Error for faults in files and a *Conflict if another apply came first;
// in both cases nothing has changed. An error that wraps store.ErrUnsettled
// leaves open whether the configuration was accepted.
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

// writtenBy reports whether the manifest is of the apply with the write id.
func (m Manifest) writtenBy(write string) bool { return m.Write == write }

func conflict(ctx context.Context, g store.Getter, deployment string, base uint64) error {
	found, _, err := Read(ctx, g, deployment)
	if err != nil {
		return &Conflict{Base: base, Found: base + 1, Author: "another operator"}
	}
	return &Conflict{Base: base, Found: found.Version, Author: found.Author}
}

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

// ListPieces names the files' contents, sorted by name.
func ListPieces(files []spec.File) []Piece {
	var pieces []Piece
	for _, f := range files {
		pieces = append(pieces, Piece{Name: f.Name, Hash: Hash(f.Data), Size: len(f.Data)})
	}
	sort.Slice(pieces, func(i, j int) bool { return pieces[i].Name < pieces[j].Name })
	return pieces
}

// storePieces writes what the platform does not hold yet. A piece that exists
// has the same content, so that a conflict is as good as a success.
func storePieces(ctx context.Context, w store.Writer, next Manifest, files []spec.File) error {
	held := map[string]bool{}
	if len(next.History) > 0 {
		for _, p := range next.History[0].Pieces {
			held[p.Hash] = true
		}
	}
	for _, f := range files {
		hash := Hash(f.Data)
		if held[hash] {
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

// Config is a configuration that a process holds whole.
type Config struct {
	Manifest   Manifest
	Pieces     map[string][]byte
	Deployment *spec.Deployment
}

// Assemble checks that every piece of the manifest is there and right, and
// parses them as a whole.
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

// ErrMissing says that a piece is not held or its content is wrong.
var ErrMissing = errors.New("piece is missing")

// Missing returns the pieces of the manifest that are not in pieces.
func (m Manifest) Missing(pieces map[string][]byte) []Piece {
	var missing []Piece
	for _, p := range m.Pieces {
		if _, ok := pieces[p.Hash]; !ok {
			missing = append(missing, p)
		}
	}
	return missing
}

// Holder has the configuration in force of a process. The zero value holds
// none.
type Holder struct{ current atomic.Pointer[Config] }

// Current returns the configuration in force, or nil.
func (h *Holder) Current() *Config { return h.current.Load() }

// Version returns the version in force, 0 if there is none.
func (h *Holder) Version() uint64 {
	if c := h.Current(); c != nil {
		return c.Manifest.Version
	}
	return 0
}

// Advance puts a configuration in force if its version is higher than the one
// that is. It reports whether it did.
func (h *Holder) Advance(next *Config) bool {
	for {
		current := h.current.Load()
		if current != nil && current.Manifest.Version >= next.Manifest.Version {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
