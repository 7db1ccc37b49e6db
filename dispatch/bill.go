package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/ledger"
)

const (
	billTime = 2 * time.Second
	// billPause lies between two tries to claim a bill whose replicas do not
	// answer.
	billPause = 2 * time.Second
)

// mintedBillLife is how long a bill is remembered whose request nobody can come
// back with. Any bill is kept until it is folded.
const mintedBillLife = time.Second

// Bill claims a bill and enters it in the journal. It returns false if the
// request is billed already, or if its replicas do not answer; then it goes
// on trying beside the request until they do.
func (d *Dispatcher) Bill(b ledger.Bill, life time.Duration) bool {
	won, err := d.claimBill(b, life)
	if err == nil {
		return won
	}
	d.Counters.Retried("bill_claim")
	// A planned stop waits for the bill as for a request.
	d.runs.Go(func() {
		for err != nil {
			time.Sleep(billPause)
			_, err = d.claimBill(b, life)
		}
	})
	return false
}

// Rebill is Bill for a bill of a node that is gone, of which it is not known
// whether it was won.
func (d *Dispatcher) Rebill(_ context.Context, b ledger.Bill) error {
	_, err := d.claimBill(b, 2*d.AnswerLife)
	return err
}

// claimBill tries once to win a bill. A claim of somebody else that may not
// have been won does not count as a bill, so it is overridden or found won.
func (d *Dispatcher) claimBill(b ledger.Bill, life time.Duration) (bool, error) {
	account := d.Config().Account(b.Account)
	if account == nil {
		account = &config.Account{}
	}
	value, err := json.Marshal(b)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), billTime)
	defer cancel()
	sequence := d.Journal.Begin()
	e := claim.Entry{
		Key:      claim.Key{Region: account.HomeRegion(), Account: b.Account, Kind: claim.KindBill, ID: b.RequestID},
		Token:    d.NewID(),
		Holder:   claim.Holder{ID: d.Journal.Name(), Peer: d.Self.Peer},
		State:    claim.StateDone,
		Value:    value,
		Sequence: sequence,
		Expires:  d.Timers.Now().Add(life),
	}
	outcome, err := d.Claims.Claim(ctx, e)
	if err == nil && !outcome.Won && !outcome.OtherWon {
		outcome, err = d.Claims.Override(ctx, e)
	}
	if err == nil && !outcome.Won && !outcome.OtherWon {
		err = refuse(ReasonClaimBusy, RanUnknown, billPause, "bill of %s is being claimed", b.RequestID)
	}
	if err == nil && !outcome.Won && d.gaveUp(outcome.Other) {
		d.Claims.Release(outcome.Other.Key, outcome.Other.Token)
		err = refuse(ReasonClaimBusy, RanUnknown, billPause, "an earlier claim of the bill of %s has to go first", b.RequestID)
	}
	if err != nil || !outcome.Won {
		d.Journal.Skip(sequence)
		return false, err
	}
	d.Journal.Enter(sequence, b)
	d.Counters.Billed(b)
	return true, nil
}

// gaveUp reports whether a bill's claim is an own one that was not won. A
// change of the view can carry such a claim over to enough replicas to look
// won.
func (d *Dispatcher) gaveUp(e *claim.Entry) bool {
	return e.Holder.ID == d.Journal.Name() && d.Journal.GaveUp(e.Sequence)
}
