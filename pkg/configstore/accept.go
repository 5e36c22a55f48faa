package configstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"regexp"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/description"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
)

var patchIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Proposal is a patch that an operator submits.
type Proposal struct {
	BaseVersion uint64
	// PatchID is chosen by the operator and is the idempotency key: submitting
	// the patch again with the same id returns the version that the first
	// submission created.
	PatchID  string
	Kind     description.PatchKind
	Patch    []byte
	Operator string
}

// AcceptResult holds the version that a patch created. With a VersionConflict
// error, Version is instead the current version without Body and PreviousBody, or
// the zero Version if the current version could not be read.
type AcceptResult struct {
	Version cluster.Version
	// Replayed is true if an earlier submission of the patch created the version.
	Replayed bool
}

// digest returns the SHA-256 of the proposal's base version, kind and patch. It
// leaves out the operator and the white space between JSON tokens, because the
// patch may be formatted differently when it is submitted again.
func (p Proposal) digest() string {
	patch := p.Patch
	var compact bytes.Buffer
	if json.Compact(&compact, p.Patch) == nil {
		patch = compact.Bytes()
	}
	h := sha256.New()
	fmt.Fprintf(h, "%d\n%s\n", p.BaseVersion, p.Kind)
	h.Write(patch)
	return hex.EncodeToString(h.Sum(nil))
}

// validate returns an error if the patch id is malformed or the patch is too large.
func (p Proposal) validate() error {
	if !patchIDPattern.MatchString(p.PatchID) {
		return result.New(result.PatchMalformed, "invalid patch id: use 1 to 128 letters, digits, '.', '_' and '-', starting with a letter or digit")
	}
	if len(p.Patch) > description.MaxBytes {
		return result.New(result.DescriptionTooLarge, "patch of %d bytes exceeds %d", len(p.Patch), description.MaxBytes)
	}
	return nil
}

// candidate is the version that a proposal would create. base is the head that
// the patch was applied to, basePatch the row of the patch that created it, baseBody its
// description and body the patched description.
type candidate struct {
	base      head
	basePatch table.Row
	baseBody  []byte
	body      []byte
	record    versionRecord
	proposal  Proposal
}

// Validate returns the changes that the proposal would make, in the format of
// description.Diff. It writes nothing.
func (s *Store) Validate(ctx context.Context, p Proposal) ([]string, error) {
	if err := p.validate(); err != nil {
		return nil, err
	}
	h, err := s.readHead(ctx)
	if err != nil {
		return nil, err
	}
	c, err := s.newCandidate(ctx, p, h)
	if err != nil {
		return nil, err
	}
	return description.Diff(c.baseBody, c.body)
}

// Accept commits the proposal as the next version. After PatchOutcomeUnknown the
// version may or may not have been created; the operator submits the proposal
// again with the same patch id to learn the outcome.
func (s *Store) Accept(ctx context.Context, p Proposal) (AcceptResult, error) {
	accepted, err := s.accept(ctx, p)
	if err == nil {
		s.Remember(accepted.Version)
	}
	return accepted, err
}

func (s *Store) accept(ctx context.Context, p Proposal) (AcceptResult, error) {
	if err := p.validate(); err != nil {
		return AcceptResult{}, err
	}
	if earlier, found, err := s.findReplay(ctx, p); found || err != nil {
		return earlier, err
	}
	h, err := s.currentHead(ctx)
	if err != nil {
		return AcceptResult{}, err
	}
	if h.Number != p.BaseVersion {
		return s.resolveVersionConflict(ctx, p, h)
	}
	c, err := s.newCandidate(ctx, p, h)
	if err != nil {
		return AcceptResult{}, err
	}
	if h.Number > 0 {
		if c.basePatch, err = s.table.Get(ctx, patchKey(h.PatchID)); err != nil {
			return AcceptResult{}, err
		}
	}
	s.recent.addSubmitted(c.record.Hash, c.body)
	if err := s.storeBody(ctx, c); err != nil {
		return AcceptResult{}, result.New(result.StoreUnavailable, "the description could not be stored: %v", err)
	}
	return s.commit(ctx, c)
}

// storeBody stores the description of the candidate. If the outcome of the write
// is unknown, it reads the object back to find out whether it was stored.
func (s *Store) storeBody(ctx context.Context, c candidate) error {
	err := s.objects.Put(ctx, c.record.Hash, c.body)
	if result.OutcomeOf(err) != result.Unknown {
		return err
	}
	if _, readErr := s.objects.Get(ctx, c.record.Hash); readErr != nil {
		return err
	}
	return nil
}

// findPatchRecord returns the record stored under the proposal's patch id. found
// reports whether the row exists, even if err is set because the row is malformed
// or belongs to a different patch (PatchIDReused).
func (s *Store) findPatchRecord(ctx context.Context, p Proposal) (record patchRecord, found bool, err error) {
	row, err := s.table.Get(ctx, patchKey(p.PatchID))
	if err != nil || row.Revision == 0 {
		return patchRecord{}, false, err
	}
	record, err = decodePatch(row)
	if err != nil {
		return patchRecord{}, true, err
	}
	if record.Digest != p.digest() {
		return patchRecord{}, true, patchIDReused(p.PatchID, record.Version)
	}
	return record, true, nil
}

// findReplay returns the version that an earlier submission of the same patch
// created. found is false if there is none.
func (s *Store) findReplay(ctx context.Context, p Proposal) (earlier AcceptResult, found bool, err error) {
	record, found, err := s.findPatchRecord(ctx, p)
	if err != nil {
		return AcceptResult{}, found, err
	}
	if !found {
		return s.findLostReplay(ctx, p)
	}
	v, err := s.Load(ctx, record.Version)
	if err != nil {
		// Do not return the read error itself: its code could tell the operator that
		// the patch was not applied, although it was accepted.
		return AcceptResult{}, true, result.New(result.PatchOutcomeUnknown, "patch was accepted as version %d, but reading that version failed: %v", record.Version, err)
	}
	return AcceptResult{Version: v, Replayed: true}, true, nil
}

// findLostReplay returns the version that an earlier submission of the same patch created and
// that this instance remembers, although the store has no record of it.
func (s *Store) findLostReplay(ctx context.Context, p Proposal) (earlier AcceptResult, found bool, err error) {
	v, found, err := s.recent.findPatch(p)
	if err != nil || !found {
		return AcceptResult{}, found, err
	}
	if _, err := s.Restore(ctx); err != nil {
		return AcceptResult{}, true, result.New(result.PatchOutcomeUnknown, "patch was accepted as version %d, but the store has lost it, and writing it back failed: %s", v.Number, result.Detail(err))
	}
	stored, err := s.Load(ctx, v.Number)
	if err != nil {
		return AcceptResult{}, true, result.New(result.PatchOutcomeUnknown, "patch was accepted as version %d, but reading that version failed: %s", v.Number, result.Detail(err))
	}
	if stored.PatchID != v.PatchID || stored.Hash != v.Hash {
		return AcceptResult{}, true, result.New(result.PatchOutcomeUnknown, "patch was accepted as version %d, which the store has lost and given to patch %q: submit it anew", v.Number, stored.PatchID)
	}
	return AcceptResult{Version: stored, Replayed: true}, true, nil
}

// resolveVersionConflict handles a proposal whose base version is not the current
// one. A concurrent submission of the same patch may have changed the head, so it
// reads the patch row again before it returns a VersionConflict error.
func (s *Store) resolveVersionConflict(ctx context.Context, p Proposal, current head) (AcceptResult, error) {
	earlier, found, err := s.findReplay(ctx, p)
	if found {
		return earlier, err
	}
	if err != nil {
		return AcceptResult{}, result.New(result.PatchOutcomeUnknown, "version conflict, and reading the patch record failed: %v", err)
	}
	return AcceptResult{Version: current.clusterVersion()},
		conflictError(p.BaseVersion, current.Number)
}

func conflictError(base, current uint64) error {
	return result.New(result.VersionConflict, "base version %d, current version %d", base, current)
}

// newCandidate applies a proposal to h, which must be its base version.
func (s *Store) newCandidate(ctx context.Context, p Proposal, h head) (candidate, error) {
	if h.Number != p.BaseVersion {
		return candidate{}, conflictError(p.BaseVersion, h.Number)
	}
	baseBody, err := s.loadBody(ctx, h.versionRecord)
	if err != nil {
		return candidate{}, err
	}
	_, body, err := description.Apply(baseBody, p.Kind, p.Patch)
	if err != nil {
		return candidate{}, err
	}
	record := versionRecord{
		Number:         h.Number + 1,
		Hash:           description.Hash(body),
		PreviousHash:   h.Hash,
		AcceptedUnixMS: s.now().UnixMilli(),
		PatchID:        p.PatchID,
		Operator:       p.Operator,
		Digest:         p.digest(),
	}
	return candidate{base: h, baseBody: baseBody, body: body, record: record, proposal: p}, nil
}

func (c candidate) patchRecord() patchRecord {
	return patchRecord{
		Version:        c.record.Number,
		Digest:         c.proposal.digest(),
		AcceptedUnixMS: c.record.AcceptedUnixMS,
		Operator:       c.record.Operator,
	}
}
