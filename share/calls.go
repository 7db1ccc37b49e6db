package share

import "time"

const (
	// keptReplies is the number of replies to one node that its next call may name: the last ones may not
	// have reached it.
	keptReplies = 8
	// callMemory is how long it is known what was replied to a node that calls no more.
	callMemory = time.Minute
	// maxCallers is the number of nodes above which those that call no more are forgotten.
	maxCallers = 64
)

// callLog tells how old the calls of other nodes may be when they are handled: a message may wait for long,
// as while this node or the network stands still, and nodes compare no clocks. Each call names the last reply
// that its node has received, and was sent after that was.
type callLog struct {
	startedAt time.Time
	// replies holds the last replies by the node that called, the earliest first.
	replies map[uint64][]sentReply
}

// sentReply is the first reply that reaches a position in this node's log.
type sentReply struct {
	upTo uint64
	at   time.Time
}

func newCallLog(now time.Time) callLog {
	return callLog{startedAt: now, replies: make(map[uint64][]sentReply)}
}

// replied records a reply to a node.
func (l *callLog) replied(node, upTo uint64, now time.Time) {
	replies := l.replies[node]
	if last := len(replies) - 1; last >= 0 && replies[last].upTo == upTo {
		return
	}
	if len(replies) == keptReplies {
		replies = replies[1:]
	}
	l.replies[node] = append(replies, sentReply{upTo, now})
	if len(l.replies) > maxCallers {
		l.dropOld(now)
	}
}

// dropOld forgets the nodes that call no more.
func (l *callLog) dropOld(now time.Time) {
	for node, replies := range l.replies {
		if now.Sub(replies[len(replies)-1].at) >= callMemory {
			delete(l.replies, node)
		}
	}
}

// sentAfter returns a time after which a node sent a call that names the given position.
func (l *callLog) sentAfter(node, upTo uint64) time.Time {
	for _, r := range l.replies[node] {
		if r.upTo == upTo {
			return r.at
		}
	}
	return l.startedAt
}

// timeUnderWay returns how long ago a message was sent at most.
func (x *Exchange) timeUnderWay(m Message) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	after := x.calls.startedAt
	if m.LogID == x.logID {
		after = x.calls.sentAfter(m.Node, m.After)
	}
	return x.timers.Now().Sub(after)
}
