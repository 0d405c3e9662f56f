/* Staging of weights at one engine (docs/machines.md, Weights; lib/staging, loader).
 *
 * One loader downloads the pieces of two versions, stores them at the engine and
 * orders the engine to load them. Stored pieces may become corrupt at any time and
 * are lost when the engine loses power. A newer version may become the desired one
 * at any time; until it is complete, an earlier complete version is used. The
 * engine loads whatever is stored at the moment in which it accepts an order. An
 * order may get no answer, and is then accepted at any later time, or never. The
 * loader may be killed at any time; the one that follows remembers nothing.
 *
 * The loader need not detect that a piece becomes corrupt after it verified that
 * piece. The time after which an order without an answer is void, and the repeats
 * before, are not part of the model. The environment variable DROP is the number of
 * a rule to drop; model/run expects an error for each.
 */

#define PIECES 2   /* pieces of a version */
#define VERSIONS 2 /* versions, numbered from 1 */
#define ROTS 1     /* the maximum number of pieces that become corrupt */
#define RESTARTS 1 /* the maximum number of power losses and of kills of the loader */

/* Values of staged for a missing and for a corrupt piece. */
#define NONE 0
#define BAD 9

/* The numbers of the rules that can be dropped. */
#define DROP_CHECK 1
#define DROP_SAME 2
#define DROP_WORKER 3
#define DROP_OPEN 4
#define DROP_INHERITED 5
#define DROP_EXPECTED 6

#define KEPT(rule) (dropped != rule)

/* Whether an order that states a sequence may still be accepted by the engine that
 * started as the given one. */
#define FITS(start, number) (start == born && seq <= number)

int dropped = 0;
byte wanted = 1;     /* the desired version */
bool complete[3];    /* whether the loader has all pieces of a version, verified */
byte staged[PIECES]; /* the version of the piece stored at the engine, or NONE or BAD */
bool rotten[PIECES]; /* whether a piece was damaged since it was last stored or verified */
byte rots = 0;
byte restarts = 0;

/* The engine: its start, the orders that it accepted, and what it serves. */
byte born = 0;
byte seq = 0;
byte loaded = 0;

/* An order without an answer that the engine has not taken up; version 0 if none. */
byte late = 0;
byte lateSeq = 0;

/* The loader: its start, whether a worker is active, the open order that it knows
 * of, and the state of the engine that it found. */
byte life = 0;
bool working = false;
byte open = 0;
byte openBorn = 0;
byte openSeq = 0;
bool inherited = false;
byte inheritedBorn = 0;
byte inheritedSeq = 0;

/* Fetcher downloads a version. */
proctype Fetcher(byte v) { complete[v] = true }

/* accept lets the engine accept an order, if it states the number of orders that the
 * engine has accepted and is not in effect already. */
inline accept(version, number) {
  if
  :: version != loaded && (!KEPT(DROP_EXPECTED) || number == seq) ->
     j = 0;
     do
     :: j < PIECES -> assert(staged[j] == version || (KEPT(DROP_CHECK) && rotten[j])); j++
     :: else -> break
     od;
     seq++;
     loaded = version
  :: else -> skip
  fi
}

/* Worker stores a version at the engine, verifies it and orders the engine to load
 * it. Each step is taken only while its loader lives. */
proctype Worker() {
  byte v, i, j, mine, stated;
  bool good;
again:
  /* What the next round does not use is reset, which saves states. */
  atomic {
    i = 0; j = 0; v = 0; stated = 0; good = true; mine = life;
    if
    :: wanted > loaded && complete[wanted] -> v = wanted
    :: wanted - 1 > loaded && complete[wanted - 1] -> v = wanted - 1
    :: true -> goto done
    fi
  };
  if
  :: KEPT(DROP_WORKER) ->
     if
     :: atomic { life == mine && !working -> working = true }
     :: atomic { life != mine -> goto again }
     fi
  :: else -> skip
  fi;
  /* Pieces that an order without an answer may load stay, and the order is sent
   * again. A loader that started again takes a whole version that the engine does
   * not serve for one that was ordered. */
  atomic {
    stated = seq;
    if
    :: life != mine -> goto again
    :: life == mine && KEPT(DROP_OPEN) && open != 0 && FITS(openBorn, openSeq) -> v = open
    :: life == mine && !(KEPT(DROP_OPEN) && open != 0 && FITS(openBorn, openSeq)) ->
       if
       :: KEPT(DROP_INHERITED) && inherited && FITS(inheritedBorn, inheritedSeq) ->
          if
          :: staged[0] == v || staged[1] == v -> skip
          :: staged[0] == NONE && staged[1] == NONE -> inherited = false
          :: staged[0] != v && staged[0] == staged[1] && staged[0] != NONE && staged[0] == loaded -> inherited = false
          :: staged[0] != v && staged[0] == staged[1] && staged[0] != NONE && staged[0] != loaded ->
             v = staged[0]; open = v; openBorn = born; openSeq = seq; inherited = false
          :: else -> working = false; goto done
          fi
       :: else -> skip
       fi
    fi
  };
  i = 0;
  do
  :: atomic { life == mine && i < PIECES -> staged[i] = v; rotten[i] = false; i++ }
  :: atomic { life == mine && i >= PIECES -> break }
  :: atomic { life != mine -> goto again }
  od;
  /* Any time may pass here, while the engine waits for its update slot. */
  i = 0;
  if
  :: KEPT(DROP_CHECK) ->
     do
     :: atomic { i < PIECES && staged[i] == v -> rotten[i] = false; i++ }
     :: atomic { i < PIECES && staged[i] != v -> good = false; i++ }
     :: i >= PIECES -> break
     od
  :: else -> skip
  fi;
  atomic {
    if
    :: life != mine -> goto again
    :: life == mine && good ->
       if
       :: !KEPT(DROP_SAME) -> v = wanted
       :: else -> skip
       fi;
       if
       :: accept(v, stated); open = 0
       :: late == 0 -> late = v; lateSeq = stated; open = v; openBorn = born; openSeq = stated
       :: open = v; openBorn = born; openSeq = stated
       fi;
       j = 0
    :: else -> skip
    fi;
    if
    :: KEPT(DROP_WORKER) -> working = false
    :: else -> skip
    fi;
    i = 0; v = 0
  };
  goto again;
done:
  atomic { i = 0; j = 0; v = 0; stated = 0; good = true; mine = 0 }
}

/* forget starts the loader again. */
inline forget() {
  life++; working = false; open = 0;
  inherited = true; inheritedBorn = born; inheritedSeq = seq
}

/* Late takes up an order that got no answer. */
proctype Late() {
  byte j;
end:
  do
  :: atomic { late != 0 -> accept(late, lateSeq); late = 0; j = 0 }
  od
}

/* Killer kills the loader, which starts again. */
proctype Killer() {
end:
  do
  :: atomic { restarts < RESTARTS -> restarts++; forget() }
  od
}

/* Operator publishes newer versions. */
proctype Operator() {
end:
  do
  :: atomic { wanted < VERSIONS -> wanted++ }
  od
}

/* Machine corrupts a stored piece, or loses all stored pieces in a power loss, after
 * which the engine and the loader start again. */
proctype Machine() {
end:
  do
  :: atomic { rots < ROTS -> rots++; staged[0] = BAD; rotten[0] = true }
  :: atomic { rots < ROTS -> rots++; staged[1] = BAD; rotten[1] = true }
  :: atomic {
       restarts < RESTARTS -> restarts++;
       staged[0] = NONE; staged[1] = NONE; rotten[0] = true; rotten[1] = true;
       born++; seq = 0; loaded = 0; late = 0;
       forget()
     }
  od
}

init {
  c_code { char *drop = getenv("DROP"); if (drop) now.dropped = atoi(drop); };
  atomic {
    run Operator(); run Machine(); run Late(); run Killer();
    run Fetcher(1); run Fetcher(2);
    run Worker(); run Worker()
  }
}
