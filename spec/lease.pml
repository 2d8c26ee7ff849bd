/*
 * Leases of entry instances, and the condition for a revision to be in force.
 *
 * Two lease holders renew with the leader. A holder measures its lease from the
 * time it sent the renewal, the leader from the time it received it, each on its
 * own monotonic clock; the clocks advance at the same rate. The configuration
 * changes once, from revision 0 to 1: revision 0 gives holder 0 a share of a
 * target, revision 1 gives it to holder 1. The leader may change once; the new
 * leader starts without any lease state.
 *
 * A message may be lost, duplicated or delayed arbitrarily. A process may
 * pause arbitrarily: time advances while it takes no step.
 *
 * Mutations: LEASE_AT_WRONG_END, NO_WAIT_AFTER_ELECTION, LEASE_CHECKED_EARLY,
 * STALE_LEADER_GRANTS, SHARE_GROWS_AT_ONCE.
 */
#ifndef MAX_TIME
#define MAX_TIME 9
#endif
#ifndef LEASE
#define LEASE 3
#endif
#ifndef MAX_RESTARTS
#define MAX_RESTARTS 1
#endif
#define NONE 255

byte now;

/* The control group. */
bit  leader;            /* which of two members is the leader */
bit  accepted;          /* newest accepted revision */
bit  inForce;           /* a leader has declared revision 1 in force */
byte waitUntil;         /* leases granted by an earlier leader have expired by then */
byte leaseEnd[2];       /* lease expiry of each holder, on the leader's clock */
bit  acked[2];          /* newest revision that each holder acknowledged */

/* The holders. */
byte heldUntil[2] = 0;  /* lease expiry, on the holder's clock */
bit  revision[2];
bit  share[2];          /* holds the share of the target */
bit  checked[2];        /* the lease was valid at an earlier check; only for LEASE_CHECKED_EARLY */
byte restarts;

/* Per holder at most one renewal and one reply are in flight. */
byte requestSent[2] = NONE;
bit  requestAck[2];
byte replySent[2] = NONE;   /* send time of the renewal that this reply answers */
bit  replyRevision[2];
bit  replyShare[2];

#define VALID(h) (now < heldUntil[h])

inline send_renewal(h) {
  requestSent[h] = now;
  requestAck[h] = revision[h]
}

/* The leader grants a renewal, including a duplicated or late one. */
inline grant(h) {
  leaseEnd[h] = now + LEASE;
  if
  :: requestAck[h] > acked[h] -> acked[h] = requestAck[h]
  :: else
  fi;
  answer(h)
}

inline answer(h) {
  replySent[h] = requestSent[h];
  replyRevision[h] = accepted;
#ifdef SHARE_GROWS_AT_ONCE
  replyShare[h] = (h == accepted)
#else
  replyShare[h] = (h == 0 && !accepted) || (h == 1 && inForce)
#endif
}

inline receive_reply(h) {
#ifdef LEASE_AT_WRONG_END
  heldUntil[h] = now + LEASE;
#else
  if
  :: replySent[h] + LEASE > heldUntil[h] -> heldUntil[h] = replySent[h] + LEASE
  :: else
  fi;
#endif
  if
  :: replyRevision[h] >= revision[h] ->
     revision[h] = replyRevision[h];
     share[h] = replyShare[h]
  :: else
  fi;
  replySent[h] = NONE;
  replyRevision[h] = 0;
  replyShare[h] = 0
}

/* Safety: no dispatch on revision 0 once revision 1 is in force, and at most
 * one valid lease holder has the share. */
inline dispatch(h) {
  assert(!(inForce && revision[h] == 0));
  assert(!(share[h] && share[1 - h] && VALID(1 - h)));
  checked[h] = 0
}

inline restart(h) {
  restarts++;
  heldUntil[h] = 0; revision[h] = 0; share[h] = 0; checked[h] = 0;
  requestSent[h] = NONE; requestAck[h] = 0;
  replySent[h] = NONE; replyRevision[h] = 0; replyShare[h] = 0
}

#define ACKNOWLEDGED_OR_EXPIRED(h) (acked[h] || now >= leaseEnd[h])

#ifdef NO_WAIT_AFTER_ELECTION
#define OLD_LEASES_EXPIRED true
#else
#define OLD_LEASES_EXPIRED (now >= waitUntil)
#endif

/* The new leader starts without any lease state. */
inline change_leader() {
  leader = 1;
  waitUntil = now + LEASE;
  leaseEnd[0] = 0; leaseEnd[1] = 0;
  acked[0] = 0; acked[1] = 0
}

proctype holder(bit h) {
  do
  :: d_step { now < MAX_TIME -> send_renewal(h) }
  :: d_step { replySent[h] != NONE -> receive_reply(h) }
#ifdef LEASE_CHECKED_EARLY
  :: d_step { VALID(h) -> checked[h] = 1 }
  :: d_step { checked[h] -> dispatch(h) }
#else
  :: d_step { VALID(h) -> dispatch(h) }
#endif
  :: d_step { restarts < MAX_RESTARTS -> restart(h) }
  od
}

proctype control() {
  do
  :: d_step { requestSent[0] != NONE -> grant(0) }
  :: d_step { requestSent[1] != NONE -> grant(1) }
#ifdef STALE_LEADER_GRANTS
  :: d_step { leader == 1 && requestSent[0] != NONE -> answer(0) }
  :: d_step { leader == 1 && requestSent[1] != NONE -> answer(1) }
#endif
  :: d_step { !accepted -> accepted = 1 }
  :: d_step { accepted && !inForce && OLD_LEASES_EXPIRED && ACKNOWLEDGED_OR_EXPIRED(0) && ACKNOWLEDGED_OR_EXPIRED(1) -> inForce = 1 }
  :: d_step { leader == 0 -> change_leader() }
  :: d_step { now < MAX_TIME -> now++ }
  od
}

init {
  atomic { run holder(0); run holder(1); run control() }
}
