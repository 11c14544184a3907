/* The decisions on leadership. Each is a pure function of the core's state: it changes nothing,
 * sends nothing and draws no random number, and its verdict names the reason. leadership.c and
 * election.c act on the verdicts. Any module may call these functions. Times are monotonic, in
 * seconds. */
#pragma once
#include "coordination/core.h"

/* Renewals of the lock's lease within its time to live, so that one lost renewal does not let the
 * lease expire. */
#define HR_LOCK_LEASE_RENEWALS 4

/* Whether this node may answer workers, that is renew their leases and send orders. */
typedef enum {
  HR_ANSWER_ALLOWED,
  HR_ANSWER_NOT_LEADER,        /* the leader record does not name this process */
  HR_ANSWER_LAST_READ_TOO_OLD, /* no read and no attestation by all members within hold_s */
  HR_ANSWER_ISOLATED /* no read and no attestation within alone_s, and no store outage for all
                        members is known */
} HrAnswerVerdict;

/* Whether this node's term begins or ends, now that the store's changes are applied. */
typedef enum {
  HR_TERM_UNCHANGED,
  HR_TERM_BEGINS, /* the leader record names this process */
  HR_TERM_ENDS    /* it names another process, or a fencing token that this node has given up */
} HrTermVerdict;

/* Whether this node may try to become the leader now. */
typedef enum {
  HR_ELECTION_START,
  HR_ELECTION_LOCK_HELD,             /* by a process that may still be running */
  HR_ELECTION_IN_FLIGHT,             /* the result of an earlier attempt is pending */
  HR_ELECTION_WAITING,               /* for the jitter, or for the pause after an attempt */
  HR_ELECTION_RESIGNED_RECENTLY,     /* this node resigned a short while ago */
  HR_ELECTION_LAST_READ_TOO_OLD,     /* this node may not know the newest leader record */
  HR_ELECTION_MACHINE_TYPES_UNKNOWN, /* a leader cannot plan without them */
  HR_ELECTION_INCUMBENT_RETURNS      /* the last leader is running and will retake the lock */
} HrElectionVerdict;

/* The action that the lease of the leader lock needs. */
typedef enum {
  HR_LOCK_LEASE_KEEP,
  HR_LOCK_LEASE_RENEW,
  HR_LOCK_LEASE_EXPIRED /* no longer protects a lock: its id is discarded */
} HrLockLeaseVerdict;

/* Whether to write the leader record with the next higher fencing token. */
typedef enum {
  HR_TOKEN_RAISE_NOW,
  HR_TOKEN_RAISE_NOT_WANTED,
  HR_TOKEN_RAISE_IN_FLIGHT,
  HR_TOKEN_RAISE_ELECTION_IN_FLIGHT, /* the election also writes the leader record */
  HR_TOKEN_RAISE_TOO_SOON,           /* after the previous raise */
  HR_TOKEN_RAISE_STORE_UNAVAILABLE
} HrTokenRaiseVerdict;

/* Whether this leader should resign because no worker reaches it. */
typedef enum {
  HR_RESIGN_UNREACHED,           /* resign: no worker reaches it, but workers reach a peer */
  HR_KEEP_TERM_TOO_FEW_MACHINES, /* their silence is no evidence against the leader */
  HR_KEEP_TERM_WORKER_HEARD,     /* at least one worker reaches the leader */
  HR_KEEP_TERM_NO_BETTER_LEADER, /* workers reach no other controller that could lead */
  HR_KEEP_TERM_TOO_EARLY         /* after the start of the term, or after a store outage */
} HrResignVerdict;

/* Whether this node must step down because of a peer's status. */
typedef enum {
  HR_STEP_DOWN_NEWER_LEADER,        /* step down: the peer has read a newer leader record */
  HR_IGNORE_PEER_NOT_LEADER,        /* this node is not the leader */
  HR_IGNORE_PEER_STORE_UNREACHABLE, /* the store does not answer the peer */
  HR_IGNORE_PEER_NO_NEWER_TOKEN,    /* the peer knows of no newer leader record */
  HR_IGNORE_PEER_OWN_READ_RECENT    /* this node's own read is recent and takes precedence */
} HrStepDownVerdict;

/**
 * hr_leadership_answer_verdict:
 * @core: the controller
 *
 * Applies the rule that makes an expired worker lease prove that its tasks have ended
 * (docs/design.md, "Leadership"): a leader answers no worker for longer than hold_s after the time
 * as of which its leadership and its list of cancellations were last confirmed.
 *
 * Returns: whether this node may answer workers, or why not
 */
HrAnswerVerdict hr_leadership_answer_verdict (const HrCore *core);

/**
 * hr_leadership_term_verdict:
 * @core: the controller
 *
 * Decides by the leader record alone. Called after every successful read.
 *
 * Returns: whether the term of this process begins or ends
 */
HrTermVerdict hr_leadership_term_verdict (const HrCore *core);

/**
 * hr_leadership_election_verdict:
 * @core: the controller, whose replica follows the store's changes
 *
 * Returns: whether this node may try to become the leader, or why not
 */
HrElectionVerdict hr_leadership_election_verdict (const HrCore *core);

/**
 * hr_leadership_lock_lease_verdict:
 * @core: the controller
 *
 * The lease is renewed while this node leads or has an election in flight, and is left to expire
 * otherwise.
 *
 * Returns: the action that the lease of the leader lock needs
 */
HrLockLeaseVerdict hr_leadership_lock_lease_verdict (const HrCore *core);

/**
 * hr_leadership_token_raise_verdict:
 * @core: the controller, which is the leader
 *
 * Returns: whether to raise the fencing token now, or why not
 */
HrTokenRaiseVerdict hr_leadership_token_raise_verdict (const HrCore *core);

/**
 * hr_leadership_resign_verdict:
 * @core: the controller, which is the leader
 *
 * A leader that receives no heartbeats while other controllers do should resign early enough for
 * the workers to find the next leader before their leases expire.
 *
 * Returns: whether this node should resign, or why not
 */
HrResignVerdict hr_leadership_resign_verdict (const HrCore *core);

/**
 * hr_leadership_successor_exists:
 * @core: the controller
 *
 * Returns: whether some other controller could lead now. Without one, a leader that few workers
 * reach is better than no leader.
 */
gboolean hr_leadership_successor_exists (const HrCore *core);

/**
 * hr_leadership_step_down_verdict:
 * @core: the controller
 * @status: the status of a peer
 *
 * Returns: whether this node must step down because of the status, or why not
 */
HrStepDownVerdict hr_leadership_step_down_verdict (const HrCore *core, const HrPeerStatus *status);
