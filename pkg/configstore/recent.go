package configstore

import (
	"maps"
	"slices"
	"sync"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

const (
	// maxRecent is the maximum number of versions that are remembered. A store that comes
	// back from an older copy has lost some seconds.
	maxRecent = 32
	// maxRecentBodyBytes limits the bodies that are remembered. The bodies of the newest
	// version and of the one before are always kept.
	maxRecentBodyBytes = 8 << 20
)

// recentVersions remembers the last accepted versions, so that they can be written back to a
// store that has lost them. Of versions that were learned from a later one only the record is
// known, without the body.
type recentVersions struct {
	mu       sync.Mutex
	byNumber map[uint64]cluster.Version
	// submitted holds the bodies of the last patches that this instance has tried to commit,
	// oldest first. The store may lose such a body and perform the transaction afterwards.
	submitted []submittedBody
}

type submittedBody struct {
	hash string
	body []byte
}

// maxSubmitted is the maximum number of submitted bodies that are remembered.
const maxSubmitted = 8

// addSubmitted records the body of a patch that is about to be committed.
func (r *recentVersions) addSubmitted(hash string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submitted = append(r.submitted, submittedBody{hash, body})
	if len(r.submitted) > maxSubmitted {
		r.submitted = slices.Delete(r.submitted, 0, 1)
	}
}

// submittedBodies returns the submitted bodies.
func (r *recentVersions) submittedBodies() []submittedBody {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.submitted)
}

// add records a version and those that it names as earlier ones.
func (r *recentVersions) add(v cluster.Version) {
	if v.Number == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v.PreviousHash == "" && v.Number > 1 && len(v.PreviousBody) > 0 {
		v.PreviousHash = description.Hash(v.PreviousBody)
	}
	if r.byNumber == nil {
		r.byNumber = make(map[uint64]cluster.Version)
	}
	for _, earlier := range v.Earlier {
		if earlier.Number < v.Number && recordOf(earlier).valid() {
			r.set(earlier)
		}
	}
	v.Earlier = nil
	if recordOf(v).valid() {
		r.set(v)
	}
	r.trim()
}

// set records a version. What is already known of it is kept. The lock must be held.
func (r *recentVersions) set(v cluster.Version) {
	known := r.byNumber[v.Number]
	if known.Number != 0 && known.Hash != v.Hash {
		return
	}
	if len(v.Body) == 0 {
		v.Body, v.PreviousBody = known.Body, known.PreviousBody
	}
	if v.Digest == "" {
		v.Digest = known.Digest
	}
	if v.PreviousHash == "" {
		v.PreviousHash = known.PreviousHash
	}
	r.byNumber[v.Number] = v
}

// trim forgets the oldest versions and bodies beyond the limits. The lock must be held.
func (r *recentVersions) trim() {
	numbers := slices.Sorted(maps.Keys(r.byNumber))
	slices.Reverse(numbers)
	size := 0
	for n, number := range numbers {
		v := r.byNumber[number]
		size += len(v.Body)
		if n >= maxRecent {
			delete(r.byNumber, number)
			continue
		}
		if n > 0 {
			// It is the body of the version before, which has it or is of no use.
			v.PreviousBody = nil
		}
		if n > 1 && size > maxRecentBodyBytes {
			v.Body = nil
		}
		r.byNumber[number] = v
	}
}

// after returns the versions with numbers above number, oldest first. They form a chain: a
// version that is not the one that the next is based on, because the store has given out a
// number twice, and all before it are left out.
func (r *recentVersions) after(number uint64) []cluster.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []cluster.Version
	numbers := slices.Sorted(maps.Keys(r.byNumber))
	for _, n := range slices.Backward(numbers) {
		v := r.byNumber[n]
		if n <= number || len(list) > 0 && !isBase(v, list[len(list)-1]) {
			break
		}
		list = append(list, v)
	}
	slices.Reverse(list)
	return list
}

// isBase reports whether next may follow v. Versions between them may not be known.
func isBase(v, next cluster.Version) bool {
	return v.Number+1 != next.Number || v.Hash == next.PreviousHash
}

// forgetAfter forgets the versions after the head, and another one under its number.
func (r *recentVersions) forgetAfter(h head) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n, v := range r.byNumber {
		if n > h.Number || n == h.Number && v.Hash != h.Hash {
			delete(r.byNumber, n)
		}
	}
}

// differsFrom reports whether another version is remembered under the number of the head.
func (r *recentVersions) differsFrom(h head) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.byNumber[h.Number]
	return ok && known.Hash != h.Hash
}

// newest returns the number of the newest version, 0 if there is none.
func (r *recentVersions) newest() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var newest uint64
	for n := range r.byNumber {
		newest = max(newest, n)
	}
	return newest
}

// findPatch returns the version that a submission of the proposal created, if it is
// remembered. The error is PatchIDReused if the id belongs to another patch.
func (r *recentVersions) findPatch(p Proposal) (v cluster.Version, found bool, err error) {
	for _, v := range r.after(0) {
		if v.PatchID != p.PatchID || v.Digest == "" {
			continue
		}
		if v.Digest != p.digest() {
			return cluster.Version{}, true, patchIDReused(p.PatchID, v.Number)
		}
		return v, true, nil
	}
	return cluster.Version{}, false, nil
}

func patchIDReused(id string, version uint64) error {
	return result.New(result.PatchIDReused, "patch id %q belongs to version %d", id, version)
}

// Remember records an accepted version that this instance has learned, with the earlier ones
// that it names.
func (s *Store) Remember(v cluster.Version) { s.recent.add(v) }

// Earlier returns the records of the remembered versions before number, without bodies.
func (s *Store) Earlier(number uint64) []cluster.Version {
	var list []cluster.Version
	for _, v := range s.recent.after(0) {
		if v.Number < number {
			v.Body, v.PreviousBody = nil, nil
			list = append(list, v)
		}
	}
	return list
}
