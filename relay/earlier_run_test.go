package relay_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/catalog"
	"github.com/violettally/violettally/handoff"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/relay"
)

// handoffLog records in order what is sent to servers and which runs are ended. It implements relay.Handoffs
// and relay.Backends.
type handoffLog struct {
	// first is the response of the first server, nil for none; later ones complete the stream.
	first func(ctx context.Context) (relay.Response, error)
	// decline means that the second server declines the request.
	decline bool
	steps   []string
}

func (l *handoffLog) add(format string, args ...any) {
	l.steps = append(l.steps, fmt.Sprintf(format, args...))
}

func (l *handoffLog) Send(ctx context.Context, _ registry.Server, call relay.Call) (relay.Response, error) {
	call.Connected(time.Now(), "")
	step := "send after " + call.LastEventID
	if !call.Copy.IsZero() {
		step += " from " + call.Copy.Handle
	}
	l.add("%s", step)
	switch {
	case len(l.steps) == 1:
		return l.first(ctx)
	case l.decline:
		l.decline = false
		return declinedResponse{response{503, strings.NewReader("")}}, nil
	}
	return response{200, strings.NewReader("id: 2\n\n")}, nil
}

func (l *handoffLog) Stop(_ context.Context, run handoff.Run, target registry.Server) (handoff.Copy, handoff.Outcome) {
	begun := map[bool]string{true: "begun", false: "unheard"}[run.Begun]
	l.add("stop %s run of %s", begun, run.RequestID)
	if run.Server.ID == target.ID {
		l.add("at the server that continues it")
	}
	return handoff.Copy{Source: run.Server, Handle: "memory"}, handoff.OutcomeMoved
}

func (l *handoffLog) StopLater(run handoff.Run, another registry.Server) {
	l.add("stop later")
	if run.Server.ID == another.ID {
		l.add("by way of itself")
	}
}

func (l *handoffLog) Release(c handoff.Copy) {
	if !c.IsZero() {
		l.add("release")
	}
}

// twoVersions are two servers of different versions.
type twoVersions struct{ allUsable }

func (twoVersions) Servers(string) []*registry.Server {
	return []*registry.Server{{ID: "a", Version: "1"}, {ID: "b", Version: "2"}}
}

// TestLaterRunBeginsBesideEarlier checks that a run that was given up ends before another server continues
// the request, and that it is ended in the background if none does and the server may not have heard of it.
func TestLaterRunBeginsBesideEarlier(t *testing.T) {
	silent := func(ctx context.Context) (relay.Response, error) {
		<-ctx.Done()
		return nil, relay.Failed.Wrap(ctx.Err(), "no answer")
	}
	after := func(prefix string, rest func(ctx context.Context) io.Reader) func(context.Context) (relay.Response, error) {
		return func(ctx context.Context) (relay.Response, error) {
			return response{200, io.MultiReader(strings.NewReader(prefix), rest(ctx))}, nil
		}
	}
	silence := func(ctx context.Context) io.Reader { return silentBody{ctx} }
	breakOff := func(context.Context) io.Reader { return errorReader{io.ErrUnexpectedEOF} }
	steadily := func(ctx context.Context) io.Reader { return &eventPerRead{ctx: ctx} }
	for name, tt := range map[string]struct {
		log     handoffLog
		servers relay.Servers
		// leavesAfter is when the client leaves, zero for never.
		leavesAfter time.Duration
		want        []string
	}{
		"silent before the response": {log: handoffLog{first: silent},
			want: []string{"send after ", "stop unheard run of 1", "release", "send after "}},
		"silent midway": {log: handoffLog{first: after("id: 1\n\n", silence)},
			want: []string{"send after ", "stop begun run of 1", "send after 1 from memory"}},
		"connection lost midway": {log: handoffLog{first: after("id: 1\n\n", breakOff)},
			want: []string{"send after ", "stop begun run of 1", "send after 1 from memory"}},
		"copy declined": {log: handoffLog{first: after("id: 1\n\n", silence), decline: true},
			want: []string{"send after ", "stop begun run of 1", "send after 1 from memory", "release", "send after 1"}},
		"another version": {log: handoffLog{first: after("id: 1\n\n", silence)}, servers: twoVersions{},
			want: []string{"send after ", "stop begun run of 1", "release", "send after 1"}},
		"client leaves a silent server": {log: handoffLog{first: silent}, leavesAfter: time.Second,
			want: []string{"send after ", "stop later"}},
		"client leaves a server that answers": {log: handoffLog{first: after("", steadily)}, leavesAfter: time.Second,
			want: []string{"send after "}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, leave := context.WithCancel(t.Context())
				defer leave()
				if tt.leavesAfter > 0 {
					time.AfterFunc(tt.leavesAfter, leave)
				}
				target := catalog.Route{Kind: catalog.KindStream, Attempts: 3, Timeout: 20 * time.Second, Objective: 2 * time.Second, MaxPause: time.Second}
				options := relay.Options{Backends: &tt.log, Handoffs: &tt.log, Servers: tt.servers}
				serveUntil(ctx, t, target, options, relay.Request{Body: emptyBody(t)}, &recorder{})
				must.Eq(t, tt.want, tt.log.steps)
			})
		})
	}
}

// escalatingLog is a handoffLog whose servers answer with a low confidence. From the second answer on, only the
// server of the first attempt is left.
type escalatingLog struct {
	handoffLog
	allUsable
	sent []string
}

func (l *escalatingLog) Servers(string) []*registry.Server {
	all := []*registry.Server{{ID: "a"}, {ID: "b"}}
	if len(l.sent) < 2 {
		return all
	}
	return slices.DeleteFunc(all, func(s *registry.Server) bool { return s.ID != l.sent[0] })
}

func (l *escalatingLog) Send(ctx context.Context, s registry.Server, call relay.Call) (relay.Response, error) {
	call.Connected(time.Now(), "")
	l.sent = append(l.sent, s.ID)
	if len(l.sent) == 1 {
		<-ctx.Done()
		return nil, relay.Failed.Wrap(ctx.Err(), "no answer")
	}
	return lowConfidence{response{200, strings.NewReader("id: 1\n\n")}}, nil
}

func (l *escalatingLog) Stop(context.Context, handoff.Run, registry.Server) (handoff.Copy, handoff.Outcome) {
	return handoff.Copy{}, handoff.OutcomePending
}

// TestNewRunEndedInPlaceOfEarlier checks that a server at which an earlier run is still being ended gets no new
// run of the request, not of another model either: the new run would be ended in its place.
func TestNewRunEndedInPlaceOfEarlier(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &escalatingLog{}
		target := catalog.Route{
			Kind: catalog.KindStream, Attempts: 4, Timeout: 20 * time.Second, Objective: 2 * time.Second, Models: []string{"small", "large"},
		}
		client := &recorder{}
		serve(t, target, relay.Options{Backends: l, Handoffs: l, Servers: l}, relay.Request{Body: emptyBody(t), AnyModel: true}, client)
		must.Len(t, 2, l.sent)
		must.Eq(t, "id: 1\n\n", client.String())
	})
}
