/* Core protocol of requests that must not run more than once (docs/design.md, 4.7).
 *
 * One request is submitted through two entries. Each of them sends it again once
 * after it lost the answer. An entry sends it to any agent, which covers entries
 * with old or wrong state. In generation 1 agent A owns the keys of all times. In
 * generation 2 agent B owns the keys from time CHANGE on, and the failure domain
 * of A is out. An agent adopts generation 2 at any time or never (network
 * partition, outdated configuration service). Every step of a process may be
 * delayed, for example by a pause, and messages may be lost or arrive late. A may
 * be killed and restarted, and its clock may step. The same rules apply to B; its
 * clock does not step and it is not restarted, to keep the search small.
 *
 * The request carries a key that was made at any time, or a token that A issued
 * before any restart. The environment variable DROP is the number of a rule to
 * drop; model/run expects an error for each.
 */

#define A 0
#define B 1
#define TMAX 3     /* the maximum time */
#define STEP 1     /* the maximum backward step of a clock */
#define LIFE 2     /* lifetime of a key */
#define UNTIL 3    /* generation 1 guarantees the owners of keys made before it */
#define TOKEN_LIFE 2 /* lifetime of a token */
#define RESTARTS 1 /* the maximum number of restarts of A */

/* The numbers of the rules that can be dropped. */
#define DROP_ADOPT 1
#define DROP_BEGAN 2
#define DROP_CONFIRM 3
#define DROP_EXPIRY 4
#define DROP_FUTURE 5
#define DROP_INSTANCE 6
#define DROP_LATEST 7
#define DROP_LISTEN 8
#define DROP_LOST 9
#define DROP_MEMORY 10
#define DROP_ORDER 11
#define DROP_OWNER 12
#define DROP_PROMISE 13
#define DROP_START 14
#define DROP_STEP 15
#define DROP_STICKY 16
#define DROP_UNKNOWN 17
#define DROP_UNTIL 18

#define KEPT(rule) (dropped != rule)

/* The time from which on keys belong to B in generation 2. */
#define CHANGE (KEPT(DROP_PROMISE) -> UNTIL : UNTIL - 1)
/* The conditions of the rules; i is an agent and g a generation. */
#define OWNER(g) ((g == 2 && made >= CHANGE) -> B : A)
#define BEYOND(i) (KEPT(DROP_UNTIL) && gen[i] == 1 && made >= UNTIL)
#define NOT_OWNER(i) (KEPT(DROP_OWNER) && OWNER(gen[i]) != i)
#define BEFORE_MEMORY(i) (KEPT(DROP_BEGAN) && made <= began[i] + (KEPT(DROP_STEP) -> STEP : 0))
#define IN_FUTURE(i) (KEPT(DROP_FUTURE) && made > WALL(i))
#define FORGOTTEN(i) (made + LIFE <= (KEPT(DROP_LATEST) -> latest[i] : WALL(i)))
#define OTHER_INSTANCE(i) (KEPT(DROP_INSTANCE) && i != A)
#define OTHER_START(i) (KEPT(DROP_START) && starts[i] != 0)
#define EXPIRED(i) (KEPT(DROP_EXPIRY) && now - started[i] >= TOKEN_LIFE)

#define WALL(i) (now + ahead[i])
#define DOMAIN_OUT(i) (i == A && gen[i] == 2)

/* States of the request in an agent's memory: not known, accepted, handed over to
 * the upstream, run with an answer, run but the answer was lost. */
#define NONE 0
#define ADMITTED 1
#define HANDED 2
#define RAN 3
#define LOST 4

/* States of an attempt of an entry: FLYING sent, RUNNER runs the request, WAITER
 * waits for the runner, DEAD ended or no longer waited for. The SAY_ values are
 * answers, of an agent to an attempt and of an entry to its caller. */
#define FLYING 1
#define RUNNER 2
#define WAITER 3
#define SAY_NOT_RUN 4
#define SAY_RAN 5
#define SAY_UNKNOWN 6
#define DEAD 7

byte dropped;
bool byKey;
byte made;            /* time at which the key was made */
byte now;             /* current time */
byte gen[2] = 1;      /* generation that an agent has adopted */

bool up[2] = true;    /* whether an agent runs */
byte ahead[2];        /* wall clock of an agent minus now */
byte began[2];        /* wall clock reading at which an agent's memory began */
byte started[2];      /* time of an agent's start, by a monotonic clock */
byte starts[2];       /* number of restarts of an agent */
byte latest[2];       /* the latest wall clock reading of an agent */
byte mem[2];          /* state of the request in an agent's memory */

byte att[4];          /* states of attempts 0 and 1 of entry 0, and 2 and 3 of entry 1 */
byte dst[4];          /* agent that an attempt was sent to */
byte told[2];         /* answer of an entry to its caller, or 0 */
bool unsure[2];       /* whether an entry lost an answer */

byte runs;            /* number of runs of the request */
bool ran[2];          /* whether the submission through an entry was handed over */
byte v;               /* scratch variable, 0 between steps */

/* Reads the wall clock of agent i. */
inline look(i) {
	if
	:: byKey && WALL(i) > latest[i] -> latest[i] = WALL(i)
	:: else
	fi
}

/* Applies the rules for keys and sets v to the answer, or leaves it 0. The rules
 * about earlier submissions come before those under which the owner answers "not
 * run". */
inline keyRules(i) {
	if
	:: BEYOND(i) -> v = SAY_NOT_RUN
	:: else -> if
	:: NOT_OWNER(i) -> v = SAY_NOT_RUN
	:: else -> if
	:: !KEPT(DROP_ORDER) && IN_FUTURE(i) -> v = SAY_NOT_RUN; assert(runs == 0)
	:: else -> if
	:: BEFORE_MEMORY(i) ->
		v = (KEPT(DROP_UNKNOWN) -> SAY_UNKNOWN : SAY_NOT_RUN);
		assert(v != SAY_NOT_RUN || runs == 0)
	:: else -> if
	:: FORGOTTEN(i) -> v = SAY_UNKNOWN
	:: else -> if
	:: IN_FUTURE(i) -> v = SAY_NOT_RUN; assert(runs == 0)
	:: else
	fi fi fi fi fi fi
}

/* Applies the rules for tokens and sets v to the answer, or leaves it 0. */
inline tokenRules(i) {
	if
	:: OTHER_INSTANCE(i) -> v = SAY_NOT_RUN
	:: else -> if
	:: OTHER_START(i) -> v = SAY_UNKNOWN
	:: else -> if
	:: EXPIRED(i) -> v = SAY_UNKNOWN
	:: else
	fi fi fi
}

/* Sets v to the answer that the rules require, or to 0. */
inline rules(i) {
	v = 0;
	if
	:: byKey -> keyRules(i)
	:: else -> tokenRules(i)
	fi
}

/* Attempt a arrives at agent i. */
inline decide(i, a) {
	look(i);
	if
	:: mem[i] == ADMITTED || mem[i] == HANDED -> att[a] = WAITER
	:: mem[i] == RAN -> att[a] = SAY_RAN
	:: mem[i] == LOST -> att[a] = SAY_UNKNOWN
	:: mem[i] == NONE ->
		rules(i);
		if
		:: v != 0 -> att[a] = v
		:: v == 0 && DOMAIN_OUT(i) -> assert(runs == 0); att[a] = SAY_NOT_RUN
		/* The gate may refuse for other reasons, such as its limit. */
		:: v == 0 -> assert(runs == 0); att[a] = SAY_NOT_RUN
		:: v == 0 && !DOMAIN_OUT(i) -> mem[i] = ADMITTED; att[a] = RUNNER
		fi;
		v = 0
	fi
}

/* Entry e no longer waits for attempt a, so that its answer has no effect. */
#define UNHEARD(e, a) (told[e] != 0 || a == 2 * e && att[2 * e + 1] != 0)

/* Discards an answered attempt for which no entry waits. */
inline settle(e, a) {
	if
	:: att[a] >= SAY_NOT_RUN && UNHEARD(e, a) -> att[a] = DEAD; dst[a] = 0
	:: else
	fi
}

inline settleAll() {
	settle(0, 0); settle(0, 1); settle(1, 2); settle(1, 3)
}

/* Agent i answers attempt a if it is in the given state. */
inline answer(i, a, from, say) {
	if
	:: att[a] == from && dst[a] == i -> att[a] = say
	:: else
	fi
}

inline answerAll(i, from, say) {
	answer(i, 0, from, say); answer(i, 1, from, say);
	answer(i, 2, from, say); answer(i, 3, from, say)
}

/* The last check and the handover to the upstream. If the check fails, the
 * attempts that waited for the run are decided again. */
inline handOver(i) {
	look(i);
	v = 0;
	if
	:: KEPT(DROP_CONFIRM) ->
		rules(i);
		if
		:: DOMAIN_OUT(i) -> v = SAY_NOT_RUN
		:: else
		fi
	:: else
	fi;
	if
	:: v != 0 ->
		mem[i] = NONE;
		answerAll(i, RUNNER, SAY_NOT_RUN);
		answerAll(i, WAITER, FLYING)
	:: else ->
		assert(!DOMAIN_OUT(i));
		mem[i] = HANDED;
		runs++;
		assert(runs <= 1);
		if
		:: (att[0] == RUNNER && dst[0] == i) || (att[1] == RUNNER && dst[1] == i) -> ran[0] = true
		:: else -> ran[1] = true
		fi;
		assert(!(ran[0] && told[0] == SAY_NOT_RUN) && !(ran[1] && told[1] == SAY_NOT_RUN))
	fi;
	v = 0
}

/* The run at agent i ends; its attempts are answered. */
inline end(i, state, say) {
	mem[i] = state;
	answerAll(i, RUNNER, say);
	answerAll(i, WAITER, say)
}

proctype agent(byte i) {
	do
	:: atomic { up[i] && att[0] == FLYING && dst[0] == i -> decide(i, 0); settleAll() }
	:: atomic { up[i] && att[1] == FLYING && dst[1] == i -> decide(i, 1); settleAll() }
	:: atomic { up[i] && att[2] == FLYING && dst[2] == i -> decide(i, 2); settleAll() }
	:: atomic { up[i] && att[3] == FLYING && dst[3] == i -> decide(i, 3); settleAll() }
	:: atomic { up[i] && mem[i] == ADMITTED -> handOver(i); settleAll() }
	:: atomic { up[i] && mem[i] == HANDED ->
		end(i, (KEPT(DROP_MEMORY) -> RAN : NONE), SAY_RAN); settleAll() }
	:: atomic { up[i] && mem[i] == HANDED ->
		end(i, (KEPT(DROP_LOST) -> LOST : NONE), SAY_UNKNOWN); settleAll() }
	/* The agent forgets a request whose key or token is no longer accepted. */
	:: atomic { up[i] && (mem[i] == RAN || mem[i] == LOST) &&
		((byKey && made + LIFE <= WALL(i)) || (!byKey && now - started[i] >= TOKEN_LIFE)) ->
		look(i); mem[i] = NONE }
	/* A is killed: its memory is lost and its connections break. */
	:: atomic { i == A && up[i] && starts[i] < RESTARTS -> up[i] = false; mem[i] = NONE;
		answerAll(i, RUNNER, DEAD); answerAll(i, WAITER, DEAD); settleAll() }
	/* The agent restarts with any configuration that the service returns. */
	:: atomic { !up[i] -> up[i] = true; starts[i]++;
		if
		:: byKey ->
			/* Without the rule, the clock is read before the previous process ended. */
			began[i] = (KEPT(DROP_LISTEN) -> WALL(i) : 0);
			latest[i] = WALL(i)
		:: else -> started[i] = now
		fi;
		if
		:: gen[i] = 1
		:: gen[i] = 2
		fi }
	od
}

/* Entry e sends the caller's request to any agent. */
inline firstAttempt(e) {
	if
	:: dst[2 * e] = A
	:: dst[2 * e] = B
	fi;
	att[2 * e] = FLYING
}

/* Entry e receives the answer to attempt a, or notices that its agent is down. */
inline hear(e, a) {
	if
	:: att[a] == SAY_NOT_RUN || (att[a] == FLYING && !up[dst[a]]) ->
		if
		:: KEPT(DROP_STICKY) && unsure[e] -> told[e] = SAY_UNKNOWN
		:: else -> told[e] = SAY_NOT_RUN; assert(!ran[e])
		fi;
		/* An attempt whose connection could not be opened does not arrive later. */
		if
		:: att[a] == FLYING -> att[a] = DEAD
		:: else
		fi
	:: att[a] == SAY_RAN -> told[e] = SAY_RAN; assert(runs == 1)
	:: att[a] == SAY_UNKNOWN -> told[e] = SAY_UNKNOWN
	fi
}

proctype entry(byte e) {
	do
	:: atomic { told[e] == 0 && att[2 * e] == 0 -> firstAttempt(e) }
	:: atomic { told[e] == 0 && att[2 * e + 1] == 0 && att[2 * e] != 0 &&
		(att[2 * e] >= SAY_NOT_RUN && att[2 * e] <= SAY_UNKNOWN || att[2 * e] == FLYING && !up[dst[2 * e]]) ->
		hear(e, 2 * e); settleAll() }
	:: atomic { told[e] == 0 &&
		(att[2 * e + 1] >= SAY_NOT_RUN && att[2 * e + 1] <= SAY_UNKNOWN ||
			att[2 * e + 1] == FLYING && !up[dst[2 * e + 1]]) ->
		hear(e, 2 * e + 1); settleAll() }
	/* The answer to the first attempt is lost, but the attempt may still arrive.
	 * The entry sends a second attempt to the same agent. */
	:: atomic { told[e] == 0 && att[2 * e] != 0 && att[2 * e + 1] == 0 ->
		unsure[e] = true; dst[2 * e + 1] = dst[2 * e]; att[2 * e + 1] = FLYING; settleAll() }
	:: atomic { told[e] == 0 && att[2 * e + 1] != 0 -> told[e] = SAY_UNKNOWN; settleAll() }
	od
}

/* Agent p receives a configuration of generation g. */
inline adopt(p, g) {
	assert(KEPT(DROP_ADOPT) || g >= gen[p]);
	if
	:: g > gen[p] || !KEPT(DROP_ADOPT) -> gen[p] = g
	:: else
	fi
}

/* Time passes, the clock of A steps, and configurations of either generation are
 * delivered. */
proctype world() {
	do
	:: atomic { now < TMAX -> now++ }
	:: atomic { byKey -> ahead[A] = 1 - ahead[A] }
	:: atomic { true -> adopt(0, 2) }
	:: atomic { true -> adopt(1, 2) }
	:: atomic { true -> adopt(0, 1) }
	:: atomic { true -> adopt(1, 1) }
	od
}

init {
	atomic {
		c_code { now.dropped = getenv("DROP") ? atoi(getenv("DROP")) : 0; };
		if
		:: byKey = true; made = 2
		:: byKey = true; made = 3
		:: byKey = false
		fi;
		run agent(A);
		run agent(B);
		run entry(0);
		run entry(1);
		run world()
	}
}
