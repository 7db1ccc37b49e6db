package dispatch

import (
	"context"

	"github.com/violettally/violettally/answer"
	"github.com/violettally/violettally/claim"
	"github.com/violettally/violettally/config"
)

// Find returns the response of a request, which any node may hold. It does not start the
// request.
func (d *Dispatcher) Find(ctx context.Context, account *config.Account, id string) (*answer.Response, *Refusal) {
	e, refusal := d.latestAttempt(ctx, account, id)
	if refusal != nil {
		return nil, refusal
	}
	x, found, _, err := d.Holders.Attach(ctx, e.Holder, claim.AttemptOf(e.Token))
	switch {
	case err == nil && found:
		return x, nil
	case e.State == claim.StateDone && len(e.Response) > 0:
		return decodeResponse(e.Response), nil
	case err == nil:
		return nil, refuse(ReasonAnswerExpired, RanYes, 0, "the answer is not kept any more")
	case e.Async && !d.Holders.Responsive(e.Holder.ID):
		// Another node will take over the request soon.
		return answer.NewResponse(e.Token, func() {}), nil
	default:
		return nil, holderUnreachable(e.Holder.ID)
	}
}

// latestAttempt returns the claim of the last attempt of an ID.
func (d *Dispatcher) latestAttempt(ctx context.Context, account *config.Account, id string) (*claim.Entry, *Refusal) {
	var last *claim.Entry
	r := &Request{ID: id, Account: account}
	for attempt := 0; attempt < maxAttempts; attempt++ {
		found, complete := d.Claims.Lookup(ctx, d.claimKey(r, attempt))
		if found == nil && !complete && last == nil {
			return nil, refuse(ReasonClaimUnreachable, RanUnknown, retryAfterShort, "too few replicas answer")
		}
		if found == nil {
			break
		}
		last = found
	}
	if last == nil {
		return nil, refuse(ReasonRequestNotFound, RanUnknown, 0, "no request %q of this account is remembered", id)
	}
	return last, nil
}

// Holder returns the node that holds the claim of a request, and so its decision record.
func (d *Dispatcher) Holder(ctx context.Context, account *config.Account, id string) (claim.Holder, *Refusal) {
	e, refusal := d.latestAttempt(ctx, account, id)
	if refusal != nil {
		return claim.Holder{}, refusal
	}
	return e.Holder, nil
}

// Cancel stops a request at the node that runs it, and reports whether it did.
func (d *Dispatcher) Cancel(ctx context.Context, account *config.Account, id string) (bool, *Refusal) {
	e, refusal := d.latestAttempt(ctx, account, id)
	if refusal != nil {
		return false, refusal
	}
	stopped, err := d.Holders.Cancel(ctx, e.Holder, claim.AttemptOf(e.Token))
	if err != nil {
		return false, holderUnreachable(e.Holder.ID)
	}
	return stopped, nil
}

// CancelAttempt stops an attempt that this node runs, and reports whether it did.
func (d *Dispatcher) CancelAttempt(attempt string) bool {
	x, _ := d.Responses.Find(attempt)
	return x != nil && x.Cancel()
}
