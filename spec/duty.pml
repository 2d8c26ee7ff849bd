/*
 * A duty with one holder at a time, and one report whose content is decided once.
 *
 * Two instances may lead and hold the duty. The replicated state, which log.pml covers,
 * records the holder with its fencing token, and the content of the report. A command that
 * a leader has proposed may be applied at any later time, or never. An instance may stand
 * still at any point, for it need not take a step, or lose its disk and all else that it
 * keeps. A call may be lost, or carried out at any later time; the platform refuses a token
 * lower than the highest that it has seen. Each instance has counts of its own, which
 * differ.
 *
 * Mutations: LEASE_NOT_CHECKED, STALE_CLAIM_USED, ACQUIRED_AT_ONCE, TOKEN_OF_OWN_COUNTER,
 * OWN_COUNTS_SENT, SENT_BEFORE_DECIDED, DECIDED_AGAIN, ACCEPTED_FORGOTTEN.
 */
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_TIME
#define MAX_TIME 4
#endif
#ifndef MAX_CALLS
#define MAX_CALLS 2
#endif
#ifndef MAX_INDEX
#define MAX_INDEX 5
#endif
#ifndef MAX_LOSSES
#define MAX_LOSSES 1
#endif
#define LEASE 2
#define NOBODY 2
#define UNDECIDED 0
#define DROPPED 3

byte now;
byte term;
byte leader = NOBODY;           /* holds the leader lease in the term */

/* The replicated state. */
byte index;                     /* log index of the newest command */
byte holder = NOBODY;
byte token;
byte acquiredAt;
byte content = UNDECIDED;       /* 1 or 2: by the counts of which instance */

/* What each instance keeps. */
byte claimToken[2];             /* 0: none */
byte claimTerm[2];
byte ownCounter[2];
byte losses;

/* Commands that were proposed and neither applied nor lost. */
bit  acquiring[2];
byte acquiringTerm[2];
bit  deciding[2];
byte decidingToken[2];
bit  accepting[2];

/* Calls that were sent and neither carried out nor lost. */
bit  calling[2];
byte callToken[2];
byte callContent[2];
bit  answered[2];               /* a reply 200 is on its way */
byte calls[2];
byte lastCall[2];               /* when the instance last sent a call */
bit  hasCalled[2];
byte lastCaller = NOBODY;

/* The platform. */
byte highest;
byte accepted = UNDECIDED;

#ifdef LEASE_NOT_CHECKED
#define MAY_ACT(i) (claimToken[i] != 0)
#else
#ifdef STALE_CLAIM_USED
#define MAY_ACT(i) (claimToken[i] != 0 && leader == i)
#else
#define MAY_ACT(i) (claimToken[i] != 0 && leader == i && claimTerm[i] == term && claimToken[i] == token)
#endif
#endif

#ifdef ACQUIRED_AT_ONCE
#define MAY_ACQUIRE(i) (1)
#else
#define MAY_ACQUIRE(i) (holder == NOBODY || holder == i || now >= acquiredAt + LEASE)
#endif

inline propose_acquire(i) {
  acquiring[i] = 1;
  acquiringTerm[i] = term
}

/* Safety: tokens only increase. */
inline apply_acquire(i) {
  acquiring[i] = 0;
  index++;
  if
  :: MAY_ACQUIRE(i) ->
#ifdef TOKEN_OF_OWN_COUNTER
     ownCounter[i]++;
     claimToken[i] = ownCounter[i];
#else
     claimToken[i] = index;
#endif
     assert(claimToken[i] > token);
     claimTerm[i] = acquiringTerm[i];
     token = claimToken[i];
     holder = i;
     acquiredAt = now
  :: else
  fi
}

inline apply_decide(i) {
  deciding[i] = 0;
  index++;
  if
#ifdef DECIDED_AGAIN
  :: content != DROPPED -> content = i + 1
#else
  :: decidingToken[i] == token && content == UNDECIDED -> content = i + 1
#endif
  :: else
  fi
}

/* The content is dropped once the platform has accepted it; that it was decided is kept. */
inline apply_accept(i) {
  accepting[i] = 0;
  index++;
#ifdef ACCEPTED_FORGOTTEN
  content = UNDECIDED
#else
  content = DROPPED
#endif
}

#ifdef SENT_BEFORE_DECIDED
#define CONTENT_KNOWN(i) (content == 1 || content == 2 || (content == UNDECIDED && deciding[i]))
#else
#define CONTENT_KNOWN(i) (content == 1 || content == 2)
#endif

/*
 * Safety: nobody makes a call once another holder has acquired the duty, and holders do
 * not alternate A, B, A within LEASE.
 */
inline send(i) {
  assert(claimToken[i] == token);
  assert(!hasCalled[i] || lastCaller == i || now >= lastCall[i] + LEASE);
  calling[i] = 1;
  calls[i]++;
  callToken[i] = claimToken[i];
#ifdef OWN_COUNTS_SENT
  callContent[i] = i + 1;
#else
  callContent[i] = (content == UNDECIDED -> i + 1 : content);
#endif
  lastCall[i] = now;
  hasCalled[i] = 1;
  lastCaller = i
}

/* Safety: the platform never accepts two contents. */
inline execute(i) {
  calling[i] = 0;
  if
  :: callToken[i] >= highest ->
     highest = callToken[i];
     assert(accepted == UNDECIDED || accepted == callContent[i]);
     accepted = callContent[i];
     answered[i] = 1
  :: else
  fi
}

inline lose_disk(i) {
  losses++;
  claimToken[i] = 0;
  claimTerm[i] = 0;
  ownCounter[i] = 0;
  answered[i] = 0
}

proctype instance(byte i) {
  do
  :: d_step { leader == i && !acquiring[i] && !MAY_ACT(i) && index < MAX_INDEX -> propose_acquire(i) }
  :: d_step { leader == i && MAY_ACT(i) && !deciding[i] && content == UNDECIDED && index < MAX_INDEX -> deciding[i] = 1; decidingToken[i] = claimToken[i] }
  :: d_step { MAY_ACT(i) && CONTENT_KNOWN(i) && !calling[i] && calls[i] < MAX_CALLS -> send(i) }
  :: d_step { answered[i] && leader == i && index < MAX_INDEX -> answered[i] = 0; accepting[i] = 1 }
  :: d_step { answered[i] -> answered[i] = 0 }
  :: d_step { losses < MAX_LOSSES -> lose_disk(i) }
  od
}

/* The log: applies what was proposed, or loses it. */
proctype group(byte i) {
  do
  :: d_step { acquiring[i] -> apply_acquire(i) }
  :: d_step { acquiring[i] -> acquiring[i] = 0 }
  :: d_step { deciding[i] -> apply_decide(i) }
  :: d_step { deciding[i] -> deciding[i] = 0 }
  :: d_step { accepting[i] -> apply_accept(i) }
  :: d_step { accepting[i] -> accepting[i] = 0 }
  od
}

proctype network(byte i) {
  do
  :: d_step { calling[i] -> execute(i) }
  :: d_step { calling[i] -> calling[i] = 0 }
  od
}

/* A leader lease ends before another instance is elected; see log.pml and lease.go. */
proctype elections() {
  do
  :: d_step { term < MAX_TERM -> term++; leader = 0 }
  :: d_step { term < MAX_TERM -> term++; leader = 1 }
  :: d_step { leader != NOBODY -> leader = NOBODY }
  :: d_step { now < MAX_TIME -> now++ }
  od
}

init {
  atomic {
    run instance(0); run instance(1);
    run group(0); run group(1);
    run network(0); run network(1);
    run elections()
  }
}
