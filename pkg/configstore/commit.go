package configstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sequoiacove/sequoiacove/pkg/cluster"
	"github.com/sequoiacove/sequoiacove/pkg/result"
	"github.com/sequoiacove/sequoiacove/pkg/table"
)

const (
	// maxSends bounds how often one transaction is sent while its answer is lost.
	maxSends = 3
	// resendDelay lets a transaction that is still in flight take effect
	// before its patch row is read.
	resendDelay = 100 * time.Millisecond
)

// transaction writes the three rows of a version or none of them.
func (d draft) transaction() (table.Transaction, error) {
	record, err := json.Marshal(d.record)
	if err != nil {
		return table.Transaction{}, err
	}
	patch, err := json.Marshal(d.patchRecord())
	if err != nil {
		return table.Transaction{}, err
	}
	return table.Transaction{
		Conditions: []table.Condition{
			{Key: headKey, Revision: d.base.revision},
			{Key: patchKey(d.proposal.PatchID), Revision: 0},
		},
		Writes: []table.Write{
			{Key: headKey, Value: record},
			{Key: versionKey(d.record.Number), Value: record},
			{Key: patchKey(d.proposal.PatchID), Value: patch},
		},
	}, nil
}

// accepted returns the version that the draft becomes.
func (d draft) accepted() AcceptResult {
	v := d.record.version()
	v.Body = d.body
	if d.base.Number > 0 {
		v.PreviousBody = d.before
	}
	return AcceptResult{Version: v}
}

// commit sends the transaction. After a lost answer it reads the patch row and
// sends the same transaction again: its conditions let it take effect at most
// once, and a refusal proves that no copy can take effect any more.
func (s *Store) commit(ctx context.Context, d draft) (AcceptResult, error) {
	tx, err := d.transaction()
	if err != nil {
		return AcceptResult{}, result.New(result.Internal, "encoding the transaction: %v", err)
	}
	maySent := false
	for send := 1; ; send++ {
		_, err = s.table.Transact(ctx, tx)
		switch code := result.CodeOf(err); {
		case err == nil:
			return d.accepted(), nil
		case code == result.StoreConflict:
			return s.refused(ctx, d)
		case result.OutcomeOf(err) == result.NotRun && !maySent:
			return AcceptResult{}, err
		}
		maySent = true
		if send == maxSends || s.sleep(ctx, resendDelay) != nil {
			return AcceptResult{}, result.New(result.PatchOutcomeUnknown, "the store did not confirm the transaction: %v", err)
		}
		if settled, found, err := s.settle(ctx, d); found {
			return settled, err
		}
	}
}

// settle returns the outcome if the patch row shows that the transaction, or
// another submission of the same patch, took effect.
func (s *Store) settle(ctx context.Context, d draft) (AcceptResult, bool, error) {
	record, found, err := s.findPatch(ctx, d.proposal)
	if err == nil && found && record == d.patchRecord() {
		return d.accepted(), true, nil
	}
	if err != nil || !found {
		return AcceptResult{}, found, err
	}
	return s.replay(ctx, d.proposal)
}

// refused handles a transaction whose condition did not hold.
func (s *Store) refused(ctx context.Context, d draft) (AcceptResult, error) {
	settled, found, err := s.settle(ctx, d)
	if found {
		return settled, err
	}
	if err != nil {
		return AcceptResult{}, result.New(result.PatchOutcomeUnknown, "refused, and the patch id could not be read: %v", err)
	}
	// The current version is additional information; without it the refusal
	// stands all the same.
	current, err := s.Head(ctx)
	if err != nil {
		current = cluster.Version{}
	}
	return AcceptResult{Version: current},
		conflictError(d.base.Number, current.Number)
}
