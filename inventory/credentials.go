package inventory

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// credentialShards is the number of shards. With 6,200 organisations of three teams each, a shard holds about
// 70 digests, so that a changed credential copies two shards and the array (2 KB) instead of 18,600 entries.
const credentialShards = 256

// credentials maps credential digests to teams. Copies share the shards that are equal in both, so a shard is
// cloned before it is changed.
type credentials struct {
	shards [credentialShards]map[string]TeamRef
}

func shardOf(digest string) uint64 {
	return xxhash.Sum64String(digest) % credentialShards
}

func (crd *credentials) find(digest string) (TeamRef, bool) {
	ref, ok := crd.shards[shardOf(digest)][digest]
	return ref, ok
}

func (crd *credentials) add(digest string, ref TeamRef) {
	shard := &crd.shards[shardOf(digest)]
	initializeMap(shard)
	(*shard)[digest] = ref
}

// replaced returns a copy without the digests of the old organisations and with those of the added ones.
func (crd *credentials) replaced(old, added []Organisation) credentials {
	next := *crd
	copied := [credentialShards]bool{}
	copyShard := func(digest string) {
		if pos := shardOf(digest); !copied[pos] {
			next.shards[pos], copied[pos] = maps.Clone(next.shards[pos]), true
		}
	}
	eachDigest(old, func(digest string, _ TeamRef) {
		copyShard(digest)
		pos := shardOf(digest)
		if delete(next.shards[pos], digest); len(next.shards[pos]) == 0 {
			next.shards[pos] = nil
		}
	})
	eachDigest(added, func(digest string, ref TeamRef) {
		copyShard(digest)
		next.add(digest, ref)
	})
	return next
}

func eachDigest(organisations []Organisation, visit func(digest string, ref TeamRef)) {
	for _, org := range organisations {
		for _, tem := range org.Teams {
			for _, dig := range tem.CredentialDigests {
				visit(dig, TeamRef{Organisation: org.Name, Team: tem.Name})
			}
		}
	}
}
