/*
 * At most once: copies of one key, not repeatable, meet at a home shard whose owner changes.
 * The caller's time of issue is not trusted: it may be anything. The clocks of the two
 * owners differ by SKEW at most. An owner remembers a key for WINDOW and then forgets it.
 * The answer of an endpoint may be lost, also when the request ran. Invariant: it runs once
 * at most.
 *
 * Steps: keys.Memory.Begin (Arrive), shard.Engine.send (Run), keys.Memory.Finish and
 * Forget (Ended), ownership (Takeover: the old owner has no authority from then on).
 *
 * Broken variants:
 *   -DBROKEN_FRESH  a key made after the takeover by the caller's clock counts as fresh
 *   -DBROKEN_RETRY  a request whose answer was lost is sent again
 *   -DBROKEN_WINDOW a key is judged by the memory alone, not by its age
 */
#define SKEW   1
#define WINDOW 5
#define MAXT   12
#define COPIES 4

#define ABSENT  0
#define RUNNING 1
#define ENDED   2

byte now = 2;
byte issued;            /* as the caller says */
byte d[2];              /* offsets of the owners' clocks */
byte owner = 0;
byte takenOver = 0;     /* by the second owner's clock */
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
	/* Memory.Begin of one copy; a fresh one runs */
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
	/* the answer comes, or is lost: it is remembered as such */
	:: atomic { memory[owner] == RUNNING -> memory[owner] = ENDED }
#ifdef BROKEN_RETRY
	:: atomic { memory[owner] == RUNNING -> runs++; assert(runs <= 1) }
#endif
	/* Memory.expire */
	:: atomic { memory[owner] == ENDED && CLOCK > usedAt[owner] + WINDOW -> memory[owner] = ABSENT }
	/* a takeover: what ran at the old owner may still run, and nobody knows */
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
