package soak

// The names that the users' platform gives what callers, replicas and the store
// say. A soak stands on that side and takes none of them from the product.
const (
	headerAttempt       = "Rattanspur-Attempt-Id"
	headerDeadline      = "Rattanspur-Deadline-Ms"
	headerModel         = "Rattanspur-Model"
	headerTokens        = "Rattanspur-Token-Counts"
	headerSignature     = "Rattanspur-Replica-Signature"
	headerExpectVersion = "Rattanspur-Expect-Version"
	headerExpectID      = "Rattanspur-Expect-Replica"
	headerLoad          = "Rattanspur-Replica-Load"
	headerNotRun        = "Rattanspur-Not-Executed"
	headerCustomer      = "Rattanspur-Tenant"
	headerVersion       = "Rattanspur-Weight-Versions"
)

// Keys of the store, or their beginnings.
const (
	keyConfig   = "op/config"
	keyVersion  = "op/version/"
	keyOut      = "op/evacuate/"
	keyUpstream = "servers/"
)
