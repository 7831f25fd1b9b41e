package fleet

import (
	"hash/fnv"
	"math/bits"
)

// RendezvousScore returns the rendezvous hash of an instance for a resource. The instance
// with the highest score comes first. The incarnation has no influence, so a restarted
// instance keeps its rank.
func RendezvousScore(id InstanceID, resource Resource) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(resource))
	return mix(h.Sum64())
}

// mix distributes the bits of an FNV hash. For short inputs, the high bits of FNV differ
// too little for a fair rendezvous order.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= bits.RotateLeft64(x, 29)
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 32
	return x
}
