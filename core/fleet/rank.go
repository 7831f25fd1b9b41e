package fleet

import (
	"hash/fnv"
	"math/bits"
)

// RendezvousScore returns the rendezvous weight of an instance for a resource; the
// instance with the highest score comes first. The id alone counts, so that
// a restarted instance keeps its rank.
func RendezvousScore(id InstanceID, resource Resource) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(resource))
	return mix(h.Sum64())
}

// mix spreads the bits of an FNV sum, whose high bits differ too little
// between short inputs for a fair rendezvous order.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= bits.RotateLeft64(x, 29)
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 32
	return x
}
