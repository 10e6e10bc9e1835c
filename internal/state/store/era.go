package store

// A store that comes back from an older copy has lost its latest writes and gives out
// their revisions once more. Each time, its era rises by one. A version consists of the
// era and the revision, so that versions are ordered by what came later.

// revisionBits is the number of bits of a version that have the revision.
const revisionBits = 48

// MaxRevision is the highest revision that fits into a version.
const MaxRevision = 1<<revisionBits - 1

// Version returns the version of a revision in an era.
func Version(era, revision uint64) uint64 {
	return era<<revisionBits | revision&(1<<revisionBits-1)
}

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> revisionBits }

// Revision returns the revision of a version in its era.
func Revision(version uint64) uint64 { return version & (1<<revisionBits - 1) }
