package lease

import (
	"context"

	"github.com/sequoiacove/sequoiacove/pkg/platform"
	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Write applies a transaction only while the lease row carries this holder's
// token. It returns LeaseLost, and has written nothing, when another process
// has taken the lease.
func (l *Lease) Write(ctx context.Context, tx platform.Transaction) (uint64, error) {
	l.table.Lock()
	defer l.table.Unlock()
	token, held := l.currentToken()
	if !held || !l.Held() {
		return 0, result.New(result.LeaseLost, "lease %q is not held", l.config.Name)
	}
	return l.fenced(ctx, tx, token)
}

// fenced sends tx with the fence, once more if the token is a newer one of the
// own renewals.
func (l *Lease) fenced(ctx context.Context, tx platform.Transaction, token uint64) (uint64, error) {
	revision, err := l.config.Table.Transact(ctx, l.withFence(tx, token))
	if result.CodeOf(err) != result.StoreConflict {
		return revision, err
	}
	// The conflict may also come from the caller's conditions or from an own
	// renewal whose answer was lost.
	owned, readErr := l.reconcile(ctx)
	if readErr != nil {
		return 0, result.New(result.StoreConflict, "refused, and the lease row could not be read: %v", readErr)
	}
	if !owned {
		return 0, result.New(result.LeaseLost, "lease %q was taken", l.config.Name)
	}
	if renewed, _ := l.currentToken(); renewed != token {
		return l.config.Table.Transact(ctx, l.withFence(tx, renewed))
	}
	return 0, err
}

func (l *Lease) withFence(tx platform.Transaction, token uint64) platform.Transaction {
	conditions := append([]platform.Condition(nil), tx.Conditions...)
	tx.Conditions = append(conditions, platform.Condition{Key: l.key, Revision: token})
	return tx
}

// Release gives the lease back if it is held, so that another process can take
// it without waiting for the end of the term.
func (l *Lease) Release(ctx context.Context) error {
	l.table.Lock()
	defer l.table.Unlock()
	token, held := l.currentToken()
	if !held {
		return nil
	}
	_, err := l.write(ctx, l.config.Now(), token, true)
	l.lose("released")
	return err
}
