package claim

import "context"

// Pull takes over ranges once and at once, without [Replica.Run].
func Pull(r *Replica) { r.pull(context.Background()) }
