package tree

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ebonyscale.example/ebonyscale/internal/config/apply"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// oddValues are values that another writer may leave.
var oddValues = []string{
	"null", "[]", "7", "\x00\xff", strings.Repeat("[", 20_000), strings.Repeat(`{"Pieces":[`, 20_000), `{"Version":-1}`, `{"Version":1e999}`, `{"Version":"1"}`,
	`{"Version":18446744073709551615}`, `{"Version":7,"Pieces":null}`, `{"Version":7,"Pieces":[{"Name":"a","Hash":"../../x","Size":-1}]}`,
	`{"Name":7}`, `{"Name":"","Sequence":18446744073709551615,"Leaving":true}`, `{"Name":"` + strings.Repeat("x", 100_000) + `","Leaving":true}`,
}

// TestWatchGoesOnPastOddObjects checks that a drain is applied while each odd value is a
// drain, the manifest or another object of the deployment.
func TestWatchGoesOnPastOddObjects(t *testing.T) {
	for _, key := range []string{"drain/odd", "manifest", "other"} {
		for i, odd := range oddValues {
			synctest.Test(t, func(t *testing.T) {
				n := node()
				n.WatchFor = time.Second
				put := func(key, value string) {
					_, err := n.Platform.(store.Writer).Put(t.Context(), store.Object{Key: apply.WatchPrefix("d") + key, Value: []byte(value)})
					require.NoError(t, err)
				}
				put(key, odd)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				done := make(chan struct{})
				go func() { _ = n.watchObjects(ctx); close(done) }()
				time.Sleep(time.Second)
				put("drain/e1", `{"Name":"e1","Sequence":1,"Leaving":true}`)
				time.Sleep(5 * time.Second)
				assert.True(t, n.Estimates.Leaving("e1"), "%s, value %d", key, i)
				assert.Zero(t, n.Config.Version(), "%s, value %d", key, i)
				cancel()
				<-done
			})
		}
	}
}

// FuzzObject checks that applying an object of any value doesn't panic and that an object
// which can't be read doesn't hold up the others.
func FuzzObject(f *testing.F) {
	for _, odd := range oddValues {
		f.Add([]byte(odd))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		for _, key := range []string{"drain/odd", "manifest"} {
			n := node()
			manifest, err := apply.Decode(value)
			applied := n.applyObject(t.Context(), "p/", store.Object{Key: "p/" + key, Value: value})
			if !applied && (key != "manifest" || err != nil || len(manifest.Pieces) == 0) {
				t.Fatal(fmt.Sprint(key, " is to be applied again"))
			}
		}
	})
}
