/*
 * An order with one idempotency key: claim, dispatch, outcome, resend.
 *
 * Two attempts of the same order arrive at two entry instances. The claim is
 * one register of the replicated state, which log.pml covers. A claim has a
 * dispatch window on the claimer's clock, measured from before the claim was
 * proposed. An attempt may pause at any point, or crash and restart without
 * its state; its messages may be delayed arbitrarily or lost.
 *
 * Mutations: DISPATCH_BEFORE_CLAIM, LATE_CLAIM_USED, RETRY_WITHOUT_PROOF,
 * RESTARTED_CLAIMER_ANSWERS, NOT_RUN_ON_LOST_ANSWER, WINDOW_FROM_ACCEPTANCE.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef MAX_TIME
#define MAX_TIME 6
#endif
#ifndef MAX_TRIES
#define MAX_TRIES 2
#endif
#define WINDOW 2
#define NOBODY 7

mtype = { Idle, Proposed, Learned, Dispatched, Answered };

byte now;
byte owner = NOBODY;            /* attempt that holds the replicated claim */
bit  recorded;                  /* the outcome is in the replicated state */

mtype phase[ATTEMPTS] = Idle;
byte since[ATTEMPTS];           /* start of the dispatch window */
bit  claimInFlight[ATTEMPTS];   /* a proposal that may be accepted at any later time */
bit  grantInFlight[ATTEMPTS];   /* the answer to an accepted proposal */
byte tries[ATTEMPTS];
bit  sentOnce[ATTEMPTS];        /* dispatched since the target last proved that it did not run the order */
byte orderInFlight[ATTEMPTS];   /* dispatched orders that have not reached the target */
bit  refusalInFlight[ATTEMPTS]; /* the target's proof that it did not run the order */
bit  replyInFlight[ATTEMPTS];
bit  crashed[ATTEMPTS];         /* restarted without its state */
bit  saidNotRun[ATTEMPTS];
bit  ran[ATTEMPTS];
byte runs;

#define IN_WINDOW(a) (now < since[a] + WINDOW)

#ifdef LATE_CLAIM_USED
#define MAY_DISPATCH(a) (phase[a] == Learned)
#else
#ifdef DISPATCH_BEFORE_CLAIM
#define MAY_DISPATCH(a) ((phase[a] == Learned || phase[a] == Proposed) && IN_WINDOW(a))
#else
#define MAY_DISPATCH(a) (phase[a] == Learned && IN_WINDOW(a))
#endif
#endif

inline propose(a) {
  phase[a] = Proposed;
  since[a] = now;
  claimInFlight[a] = 1
}

/* The control group applies the proposal; the first proposal gets the claim. */
inline accept(a) {
  claimInFlight[a] = 0;
  if
  :: owner == NOBODY && !recorded -> owner = a; grantInFlight[a] = 1
  :: else
  fi
}

inline learn(a) {
  grantInFlight[a] = 0;
  if
  :: phase[a] == Proposed -> phase[a] = Learned
  :: else
  fi
#ifdef WINDOW_FROM_ACCEPTANCE
  ; since[a] = now
#endif
}

inline dispatch(a) {
  phase[a] = Dispatched;
  tries[a]++;
  sentOnce[a] = 1;
  orderInFlight[a]++
}

/* Safety: the order runs at most once, and never after a caller was told that it did not run. */
inline target_runs(a) {
  orderInFlight[a]--;
  runs++;
  ran[a] = 1;
  replyInFlight[a] = 1;
  assert(runs <= 1);
  assert(!saidNotRun[a])
}

inline target_refuses(a) {
  orderInFlight[a]--;
  refusalInFlight[a] = 1
}

inline receive_refusal(a) {
  refusalInFlight[a] = 0;
  if
  :: phase[a] == Dispatched -> phase[a] = Learned; sentOnce[a] = 0
  :: else
  fi
}

inline receive_reply(a) {
  replyInFlight[a] = 0;
  if
  :: phase[a] == Dispatched -> recorded = 1; phase[a] = Answered
  :: else
  fi
}

/* Safety: an order reported as not run has not run. */
inline say_not_run(a) {
  assert(!ran[a]);
  phase[a] = Answered;
  saidNotRun[a] = 1
}

/* The claimer answers whether it will ever dispatch; after a crash it has no state. */
#ifdef RESTARTED_CLAIMER_ANSWERS
#define WILL_NEVER_DISPATCH(a) (!sentOnce[a] && (crashed[a] || phase[a] == Answered || !IN_WINDOW(a)))
#else
#define WILL_NEVER_DISPATCH(a) (!crashed[a] && !sentOnce[a] && (phase[a] == Answered || !IN_WINDOW(a)))
#endif

inline crash(a) {
  crashed[a] = 1;
  phase[a] = Answered;
  since[a] = 0;
  grantInFlight[a] = 0;
  refusalInFlight[a] = 0;
  replyInFlight[a] = 0;
  sentOnce[a] = 0
}

proctype attempt(byte a) {
  do
  :: d_step { phase[a] == Idle && !recorded -> propose(a) }
  :: d_step { claimInFlight[a] -> accept(a) }
  :: d_step { claimInFlight[a] -> claimInFlight[a] = 0 }
  :: d_step { grantInFlight[a] -> learn(a) }
  :: d_step { MAY_DISPATCH(a) && tries[a] < MAX_TRIES -> dispatch(a) }
#ifdef RETRY_WITHOUT_PROOF
  :: d_step { phase[a] == Dispatched && tries[a] < MAX_TRIES -> dispatch(a) }
#endif
  :: d_step { orderInFlight[a] > 0 -> target_runs(a) }
  :: d_step { orderInFlight[a] > 0 -> target_refuses(a) }
  :: d_step { refusalInFlight[a] -> receive_refusal(a) }
  :: d_step { replyInFlight[a] -> receive_reply(a) }
  :: d_step { (phase[a] == Idle || phase[a] == Proposed || phase[a] == Learned) -> say_not_run(a) }
  :: d_step { phase[a] == Dispatched -> phase[a] = Answered }   /* the outcome stays unknown */
#ifdef NOT_RUN_ON_LOST_ANSWER
  :: d_step { phase[a] == Dispatched -> say_not_run(a) }
#endif
  :: d_step { !crashed[a] && phase[a] != Idle -> crash(a) }
  /* A resend finds another attempt's claim and asks its claimer. */
  :: d_step { phase[a] == Proposed && owner != NOBODY && owner != a && !recorded && WILL_NEVER_DISPATCH(owner) ->
       owner = a; grantInFlight[a] = 1 }
  od
}

proctype clock() {
  do
  :: now < MAX_TIME -> now++
  od
}

init {
  byte n;
  atomic {
    do
    :: n < ATTEMPTS -> run attempt(n); n++
    :: else -> break
    od;
    run clock()
  }
}
