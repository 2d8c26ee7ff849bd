/*
 * The lease of an entry and what "in force" means.
 *
 * Two holders renew with the leader. A holder counts its lease from when it
 * sent the renewal, the leader from when it received it, each on its own
 * monotonic clock; the clocks run at one rate. The configuration changes once,
 * from revision 0 to 1: revision 0 gives holder 0 a share of a target, revision
 * 1 gives it to holder 1. The leader may change once; the new one knows no leases.
 *
 * A message may be lost, repeated, or delayed for any time. A process may
 * stand still for any time: time passes while it takes no step.
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
bit  leader;            /* which of two instances leads */
bit  accepted;          /* newest accepted revision */
bit  inForce;           /* a leader has said that revision 1 is in force */
byte waitUntil;         /* a new leader cannot know the leases before it */
byte leaseEnd[2];       /* of each holder, on the leader's clock */
bit  acked[2];          /* newest revision that each holder acknowledged */

/* The holders. */
byte heldUntil[2] = 0;  /* on the holder's clock */
bit  revision[2];
bit  share[2];          /* may use the target */
bit  checked[2];        /* only for LEASE_CHECKED_EARLY */
byte restarts;

/* One renewal and one reply in flight for each holder. */
byte requestSent[2] = NONE;
bit  requestAck[2];
byte replySent[2] = NONE;   /* when the holder sent the renewal that it answers */
bit  replyRevision[2];
bit  replyShare[2];

#define VALID(h) (now < heldUntil[h])

inline send_renewal(h) {
  requestSent[h] = now;
  requestAck[h] = revision[h]
}

/* A leader answers a renewal; a repeated or late one is answered as well. */
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

/* Safety: no dispatch on revision 0 once revision 1 is in force, and never
 * two holders of the share. */
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

#define ACKNOWLEDGED_OR_RUN_OUT(h) (acked[h] || now >= leaseEnd[h])

#ifdef NO_WAIT_AFTER_ELECTION
#define KNOWS_LEASES true
#else
#define KNOWS_LEASES (now >= waitUntil)
#endif

/* The new leader starts with no knowledge of the leases. */
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
  :: d_step { accepted && !inForce && KNOWS_LEASES && ACKNOWLEDGED_OR_RUN_OUT(0) && ACKNOWLEDGED_OR_RUN_OUT(1) -> inForce = 1 }
  :: d_step { leader == 0 -> change_leader() }
  :: d_step { now < MAX_TIME -> now++ }
  od
}

init {
  atomic { run holder(0); run holder(1); run control() }
}
