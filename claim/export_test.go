package claim

import "context"

// Pull lets a test take over ranges at once, without the replica's own task.
func Pull(r *Replica) { r.pull(context.Background()) }
