/* The decisions on leadership. Each is a function of the state alone: it changes nothing, sends
 * nothing and draws no random number, and its verdict names the reason. leadership.c and election.c
 * act on the verdicts. Any module may call these; times are in seconds of the steady clock. */
#pragma once
#include "coordination/core.h"

/* The lock's lease is renewed so many times in its life: a lost renewal does not end it. */
#define HR_LOCK_LEASE_RENEWALS 4

/* May this node answer workers, that is renew leases and give orders? */
typedef enum {
  HR_ANSWER_ALLOWED,
  HR_ANSWER_NOT_LEADER,      /* the leader record does not name this process */
  HR_ANSWER_READING_TOO_OLD, /* neither a read nor an attestation of all members within hold_s */
  HR_ANSWER_ALONE            /* the same within alone_s, and no outage for all members is known */
} HrAnswerVerdict;

/* Is this node's term to begin or to end, now that the store's changes are applied? */
typedef enum {
  HR_TERM_UNCHANGED,
  HR_TERM_BEGINS, /* the leader record names this process */
  HR_TERM_ENDS    /* it names another one, or a token under which we have resigned */
} HrTermVerdict;

/* May this node try to become the leader now? */
typedef enum {
  HR_ELECTION_STAND,
  HR_ELECTION_LOCK_HELD,             /* by a process that may be alive */
  HR_ELECTION_IN_FLIGHT,             /* an earlier attempt has no result yet */
  HR_ELECTION_WAITING,               /* for the jitter, or the pause after an attempt */
  HR_ELECTION_ABSTAINING,            /* it has resigned a short while ago */
  HR_ELECTION_READING_TOO_OLD,       /* it may not know the newest leader record */
  HR_ELECTION_MACHINE_TYPES_UNKNOWN, /* without them it could not plan */
  HR_ELECTION_INCUMBENT_RETURNS      /* the last leader is alive and takes the lock again */
} HrElectionVerdict;

/* What is to be done about the lease of the leader lock? */
typedef enum {
  HR_LOCK_LEASE_KEEP,
  HR_LOCK_LEASE_RENEW,
  HR_LOCK_LEASE_LAPSED /* it has run out and protects nothing: it is forgotten */
} HrLockLeaseVerdict;

/* Is a fencing token to be written that is one higher? */
typedef enum {
  HR_TOKEN_RAISE_NOW,
  HR_TOKEN_RAISE_NOT_WANTED,
  HR_TOKEN_RAISE_IN_FLIGHT,
  HR_TOKEN_RAISE_ELECTION_IN_FLIGHT, /* that writes the leader record too */
  HR_TOKEN_RAISE_TOO_SOON,           /* after the previous one */
  HR_TOKEN_RAISE_STORE_UNAVAILABLE
} HrTokenRaiseVerdict;

/* Should this leader resign, since workers do not reach it? */
typedef enum {
  HR_RESIGN_UNREACHED,           /* yes: no worker reaches it, and another controller is reached */
  HR_KEEP_TERM_TOO_FEW_MACHINES, /* so few machines are up that their silence shows nothing */
  HR_KEEP_TERM_HEARD,            /* some worker reaches it */
  HR_KEEP_TERM_NO_BETTER_LEADER, /* no other controller that could lead is reached by workers */
  HR_KEEP_TERM_TOO_EARLY         /* after the term began, or after an outage of the store */
} HrResignVerdict;

/* Must this node step down, given what a peer states? */
typedef enum {
  HR_STEP_DOWN_NEWER_LEADER,        /* yes: the peer has read a newer leader record */
  HR_IGNORE_PEER_NOT_LEADER,        /* nothing to step down from */
  HR_IGNORE_PEER_NOT_SERVED,        /* the store does not serve the peer */
  HR_IGNORE_PEER_NO_NEWER_TOKEN,    /* it knows of no newer leader record */
  HR_IGNORE_PEER_OUR_READ_IS_RECENT /* our own read is recent: it is what counts */
} HrStepDownVerdict;

/**
 * hr_leadership_answer_verdict:
 * @core: the controller
 *
 * The rule on which the proof by an expired lease rests (docs/design.md, "Leadership"): a leader
 * answers no worker for longer than hold_s after the time as of which its leadership and its list
 * of cancellations were confirmed.
 *
 * Returns: whether this node may answer workers, or why not
 */
HrAnswerVerdict hr_leadership_answer_verdict (const HrCore *core);

/**
 * hr_leadership_term_verdict:
 * @core: the controller
 *
 * Ownership is what the leader record says, nothing else. Asked after every successful read.
 *
 * Returns: whether the term of this process begins or ends
 */
HrTermVerdict hr_leadership_term_verdict (const HrCore *core);

/**
 * hr_leadership_election_verdict:
 * @core: the controller, which follows the store
 *
 * Returns: whether this node may try to become the leader, or why not
 */
HrElectionVerdict hr_leadership_election_verdict (const HrCore *core);

/**
 * hr_leadership_lock_lease_verdict:
 * @core: the controller
 *
 * The lease is renewed while this node leads or tries to, and is left to run out otherwise.
 *
 * Returns: what is to be done about the lease of the leader lock
 */
HrLockLeaseVerdict hr_leadership_lock_lease_verdict (const HrCore *core);

/**
 * hr_leadership_token_raise_verdict:
 * @core: the controller, which leads
 *
 * Returns: whether the fencing token is to be raised now, or why not
 */
HrTokenRaiseVerdict hr_leadership_token_raise_verdict (const HrCore *core);

/**
 * hr_leadership_resign_verdict:
 * @core: the controller, which leads
 *
 * A leader that hears no worker while others do gives way, early enough for the workers to find
 * the next one within their leases.
 *
 * Returns: whether this node should resign, or why not
 */
HrResignVerdict hr_leadership_resign_verdict (const HrCore *core);

/**
 * hr_leadership_successor_exists:
 * @core: the controller
 *
 * Returns: whether some other controller could lead now. Without one a leader that workers hardly
 * reach is better than none.
 */
gboolean hr_leadership_successor_exists (const HrCore *core);

/**
 * hr_leadership_step_down_verdict:
 * @core: the controller
 * @status: what a peer states
 *
 * Returns: whether this node must step down because of it, or why not
 */
HrStepDownVerdict hr_leadership_step_down_verdict (const HrCore *core, const HrPeerStatus *status);
