/*
 * Model of at-most-once execution. Several copies of a request that is not repeatable arrive with the same
 * key at the key's home shard, whose owner changes. The issue time that the caller states is not trusted and
 * may have any value. The clocks of the two owners differ by at most SKEW. An owner remembers a key for
 * WINDOW and then forgets it. The answer of an endpoint may be lost although the request ran. Invariant: the
 * request runs at most once.
 *
 * Steps and their implementation: arrival of a copy (keys.Table.Begin), run (shard.Engine.send), end of the
 * run (keys.Table.Finish and Abort), takeover (pkg/ownership; the old owner has no authority afterwards).
 *
 * Broken variants:
 *   -DBROKEN_FRESH  a key issued after the takeover by the caller's clock counts as new, without a margin for
 *                   clock skew
 *   -DBROKEN_RETRY  a request whose answer was lost is sent again
 *   -DBROKEN_WINDOW a key is accepted if it is not remembered, whatever its age
 */
#define SKEW   1
#define WINDOW 5
#define MAXT   12
#define COPIES 4

#define ABSENT  0
#define RUNNING 1
#define ENDED   2

byte now = 2;
byte issued;            /* issue time stated by the caller */
byte d[2];              /* offsets of the owners' clocks from now */
byte owner = 0;
byte takenOver = 0;     /* time of the takeover by the second owner's clock */
byte memory[2];
byte usedAt[2];
byte runs = 0;
byte copies = 0;

#define CLOCK (now + d[owner])

#ifdef BROKEN_FRESH
#define AFTERTAKEOVER (issued > takenOver)
#else
#define AFTERTAKEOVER (issued > takenOver + 2 * SKEW)
#endif
#ifdef BROKEN_WINDOW
#define TOOOLD false
#else
#define TOOOLD (CLOCK > issued && CLOCK - issued > WINDOW - 2 * SKEW)
#endif
#define TOOEARLY (issued > CLOCK + SKEW)

proctype Caller() {
end:	do
	/* Table.Begin for one copy; it runs if its key is new */
	:: atomic { copies < COPIES ->
		copies++;
		if
		:: memory[owner] == ABSENT && !TOOEARLY && !TOOOLD && (owner == 0 || AFTERTAKEOVER) ->
			memory[owner] = RUNNING; usedAt[owner] = CLOCK;
			runs++;
			assert(runs <= 1)
		:: else
		fi }
	od
}

proctype Owner() {
end:	do
	/* the answer arrives or is lost; the key is remembered in both cases */
	:: atomic { memory[owner] == RUNNING -> memory[owner] = ENDED }
#ifdef BROKEN_RETRY
	:: atomic { memory[owner] == RUNNING -> runs++; assert(runs <= 1) }
#endif
	/* Table.expire */
	:: atomic { memory[owner] == ENDED && CLOCK > usedAt[owner] + WINDOW -> memory[owner] = ABSENT }
	/* takeover: a request of the old owner may still run, unknown to the new one */
	:: atomic { owner == 0 -> owner = 1; takenOver = CLOCK }
	od
}

proctype Clock() {
end:	do
	:: now < MAXT -> now++
	od
}

init {
	atomic {
		if
		:: d[0] = 0; d[1] = 0
		:: d[0] = 1; d[1] = 0
		:: d[0] = 0; d[1] = 1
		fi;
		do
		:: issued < MAXT + 2 -> issued++
		:: break
		od;
		run Caller(); run Owner(); run Clock()
	}
}
