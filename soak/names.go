package soak

// Header names of the users' platform, for callers and replicas. A soak simulates
// the platform's side, so it defines them itself and takes none from the product.
const (
	headerAttempt        = "Rattanspur-Attempt-Id"
	headerDeadline       = "Rattanspur-Deadline-Ms"
	headerModel          = "Rattanspur-Model"
	headerTokens         = "Rattanspur-Token-Counts"
	headerSignature      = "Rattanspur-Replica-Signature"
	headerExpectVersion  = "Rattanspur-Expect-Version"
	headerExpectReplica  = "Rattanspur-Expect-Replica"
	headerLoad           = "Rattanspur-Replica-Load"
	headerNotRun         = "Rattanspur-Not-Executed"
	headerCustomer       = "Rattanspur-Tenant"
	headerLimit          = "Server-Limit"
	headerEra            = "Store-Era"
	headerWeightVersions = "Rattanspur-Weight-Versions"
)

// Keys and key prefixes of the platform's store.
const (
	keyConfig     = "op/config"
	keyVersion    = "op/version/"
	keyEvacuation = "op/evacuate/"
	keyUpstream   = "servers/"
)
