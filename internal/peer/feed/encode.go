package feed

import (
	"ebonyscale.example/ebonyscale/internal/peer/wire"
	"ebonyscale.example/ebonyscale/internal/state/store"
)

// encodeObjects returns the form of objects in messages.
func encodeObjects(objects []store.Object) []*wire.FeedObject {
	list := make([]*wire.FeedObject, len(objects))
	for i, o := range objects {
		list[i] = &wire.FeedObject{Key: o.Key, Value: o.Value, Version: o.Version, Removed: o.Removed}
	}
	return list
}

// decodeObjects returns the objects of a message.
func decodeObjects(list []*wire.FeedObject) []store.Object {
	objects := make([]store.Object, len(list))
	for i, o := range list {
		objects[i] = store.Object{Key: o.Key, Value: o.Value, Version: o.Version, Removed: o.Removed}
	}
	return objects
}
