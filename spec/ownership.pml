/*
 * Model of the ownership of one shard by three processes of a hall. The store has outages and may apply
 * writes late. Processes may die, and they may pause for any time between two steps. Invariant: two processes
 * never have authority at the same time.
 *
 * The comment of a step names the method of pkg/ownership that implements it. Time is a counter. TERM stands
 * for Timing.GrantDuration, and the clock margin of the successor is one tick. A sole owner that was paused
 * confirms its record with the store before it continues. The model leaves this out and lets it keep its
 * authority, since another process takes over from a sole owner only on proof that it has ended.
 *
 * Broken variants, each of which must violate the invariant:
 *   -DBROKEN_GRANT   the successor grants while its own claim is pending
 *   -DBROKEN_SOLE    a sole owner keeps its authority without limit while it names a successor
 *   -DBROKEN_FOLLOW  the successor takes over from a dead owner without proof that the owner's grant was
 *                    still valid
 *   -DBROKEN_STALE   a process claims a shard that it found free under an earlier record
 *   -DBROKEN_ANEW    a successor that is named again keeps the end of its old grant
 */
#define NP    3
#define NONE  NP
#define TERM  2
#define MARGIN 1

#ifndef MAXT
#define MAXT   7
#endif
#ifndef MAXDEAD
#define MAXDEAD 2
#endif
#ifndef MAXWRITES
#define MAXWRITES 3
#endif
#ifndef MAXASKS
#define MAXASKS 3
#endif

#define BYSTANDER 0
#define SUCCESSOR 1
#define OWNER     2

/* states of a write */
#define IDLE     0
#define SENT     1
#define APPLIED  2
#define REFUSED  3

byte now = 1;
bool storeUp = true;
byte outages = 0;
byte deaths = 0, writes = 0, asks = 0;

#ifdef EMPTY
/* the store has no record */
byte sEpoch = 0, sOwner = NONE, sSucc = NONE, sRev = 0;
#else
/* the record in the store: process 0 owns the shard, and process 1 is its successor */
byte sEpoch = 1, sOwner = 0, sSucc = 1, sRev = 1;
#endif

/* the record and the role as each process has them */
byte kEpoch[NP], kOwner[NP] = NONE, kSucc[NP] = NONE, kRev[NP];
byte role[NP];
bool dead[NP + 1];        /* dead[NONE] is always false */

/* state of an owner */
byte granted[NP];        /* the grant is valid while now < granted */
byte since[NP];          /* requestingSince */
byte lastAsk[NP];
bool sole[NP];
byte soleCap[NP];        /* end of the authority of a sole owner that names a successor, 0 if unlimited */
bool succDead[NP];
byte peerClock[NP];

/* state of a successor */
byte grantEnd[NP], lastEcho[NP], proven[NP];

/* state of a bystander: the revision plus one of the record under which it found the shard free, 0 for none */
byte found[NP];

/* the pending write of each process */
byte wState[NP], wEpoch[NP], wOwner[NP] = NONE, wSucc[NP] = NONE, wExpect[NP], wRev[NP];

/* the grant request of each owner and the reply to it */
byte aState[NP];         /* 0 none, 1 sent, 2 granted, 3 refused */
byte aTo[NP], aEpoch[NP], aRev[NP], aEcho[NP], aSent[NP], aClock[NP];
bool aGivenUp[NP];

#define AUTH(i) (!dead[i] && role[i] == OWNER && \
	((sole[i] && (soleCap[i] == 0 || now < soleCap[i])) || (!sole[i] && now < granted[i])))
#define ASKED(from, to) (aState[from] == 1 && aTo[from] == to)
#define BOTH(i, j) (AUTH(i) && AUTH(j))

#define MAX2(a, b) ((a) > (b) -> (a) : (b))
#define ASKSEND(i) (MAX2(granted[i], since[i] + TERM))
#define SILENT(i) (now > ASKSEND(i) && now > lastAsk[i] + TERM + MARGIN)

/* Fields that a role does not use are cleared, so that equivalent states are equal. */
inline clearOwner(i_) {
	granted[i_] = 0; since[i_] = 0; lastAsk[i_] = 0; sole[i_] = false; soleCap[i_] = 0;
	succDead[i_] = false; peerClock[i_] = 0
}
inline clearSuccessor(i_) {
	grantEnd[i_] = 0; lastEcho[i_] = 0; proven[i_] = 0
}
inline clearWrite(i_) {
	wState[i_] = IDLE; wEpoch[i_] = 0; wOwner[i_] = NONE; wSucc[i_] = NONE; wExpect[i_] = 0; wRev[i_] = 0
}
inline clearAsk(i_) {
	aState[i_] = 0; aTo[i_] = 0; aEpoch[i_] = 0; aRev[i_] = 0; aEcho[i_] = 0; aSent[i_] = 0;
	aClock[i_] = 0; aGivenUp[i_] = false
}

#ifdef BROKEN_ANEW
#define KEEPSGRANT wasSucc
#else
#define KEEPSGRANT false
#endif
/* StateMachine.adopt with becomeOwner and becomeSuccessor */
inline adopt(i_, e_, o_, s_, r_) {
	wasOwner = (role[i_] == OWNER && kEpoch[i_] == e_);
	wasSucc = (role[i_] == SUCCESSOR && kEpoch[i_] == e_);
	kEpoch[i_] = e_; kOwner[i_] = o_; kSucc[i_] = s_; kRev[i_] = r_;
#ifndef BROKEN_STALE
	found[i_] = 0;
#endif
	if
	:: o_ == i_ ->
		role[i_] = OWNER;
		if
		:: !wasOwner -> granted[i_] = 0
		:: wasOwner && sole[i_] && soleCap[i_] != 0 -> granted[i_] = soleCap[i_]
		:: else
		fi;
		clearSuccessor(i_);
		since[i_] = now; lastAsk[i_] = now; peerClock[i_] = 0; succDead[i_] = false;
		sole[i_] = (s_ == NONE); soleCap[i_] = 0
	:: o_ != i_ && s_ == i_ ->
		role[i_] = SUCCESSOR; clearOwner(i_);
		if
		:: KEEPSGRANT -> skip
		:: else -> grantEnd[i_] = now + TERM + MARGIN; lastEcho[i_] = 0; proven[i_] = 0
		fi
	:: else -> role[i_] = BYSTANDER; clearOwner(i_); clearSuccessor(i_)
	fi
}

/* StateMachine.BeginWrite */
inline begin(i_, e_, o_, s_) {
	writes++;
	wState[i_] = SENT; wEpoch[i_] = e_; wOwner[i_] = o_; wSucc[i_] = s_; wExpect[i_] = kRev[i_];
#ifndef BROKEN_SOLE
	if
	:: sole[i_] && role[i_] == OWNER && s_ != NONE -> soleCap[i_] = now + TERM
	:: else
	fi
#endif
}

#define PENDING(i) (wState[i] != IDLE)

#ifdef BROKEN_STALE
#define FOUNDFREE(i) (found[i] != 0)
#else
#define FOUNDFREE(i) (found[i] == kRev[i] + 1)
#endif

#ifdef BROKEN_GRANT
#define MAYGRANT(i) true
#else
#define MAYGRANT(i) (!PENDING(i))
#endif
#ifdef BROKEN_FOLLOW
#define HELD(i) true
#else
#define HELD(i) (now < proven[i])
#endif

proctype Process(byte i) {
	byte c;
	bool wasOwner, wasSucc;
end:	do
	/* StateMachine.Observe: the process reads the record from the store */
	:: atomic { !dead[i] && storeUp && !PENDING(i) && sRev > kRev[i] ->
		adopt(i, sEpoch, sOwner, sSucc, sRev) }

	/* StateMachine.NextGrantRequest */
	:: atomic { !dead[i] && role[i] == OWNER && !sole[i] && !PENDING(i) && aState[i] == 0 &&
		now <= ASKSEND(i) && asks < MAXASKS ->
		asks++; aState[i] = 1; aTo[i] = kSucc[i]; aEpoch[i] = kEpoch[i]; aRev[i] = kRev[i];
		aEcho[i] = peerClock[i]; aSent[i] = now; aGivenUp[i] = false; lastAsk[i] = now }

	/* the request times out at the owner, but may still arrive */
	:: atomic { !dead[i] && aState[i] != 0 && !aGivenUp[i] -> aGivenUp[i] = true }

	/* StateMachine.HandleGrantReply */
	:: atomic { !dead[i] && aState[i] >= 2 ->
		if
		:: aState[i] == 2 && !aGivenUp[i] && role[i] == OWNER && !PENDING(i) &&
			aEpoch[i] == kEpoch[i] && aRev[i] == kRev[i] && !sole[i] ->
			granted[i] = MAX2(granted[i], aSent[i] + TERM); peerClock[i] = aClock[i]
		:: else
		fi;
		clearAsk(i) }

	/* StateMachine.Grant, for the request of either other process */
	:: atomic { !dead[i] && (ASKED((i + 1) % NP, i) || ASKED((i + 2) % NP, i)) ->
		if
		:: ASKED((i + 1) % NP, i) -> c = (i + 1) % NP
		:: ASKED((i + 2) % NP, i) -> c = (i + 2) % NP
		fi;
		if
		:: aRev[c] > kRev[i] && !PENDING(i) -> adopt(i, aEpoch[c], c, i, aRev[c])
		:: else
		fi;
		if
		:: role[i] == SUCCESSOR && aRev[c] == kRev[i] && aEpoch[c] == kEpoch[i] && kOwner[i] == c && MAYGRANT(i) ->
			grantEnd[i] = now + TERM + MARGIN;
			if
			:: aEcho[c] > lastEcho[i] ->
				proven[i] = (lastEcho[i] > 0 -> lastEcho[i] + TERM : 0);
				lastEcho[i] = aEcho[c]
			:: else
			fi;
			aState[c] = 2; aClock[c] = now
		:: else -> aState[c] = 3
		fi }

	/* StateMachine.ReportSuccessorEnded, on proof that the successor has ended */
	:: atomic { !dead[i] && role[i] == OWNER && !sole[i] && !PENDING(i) && !succDead[i] && dead[kSucc[i]] ->
		succDead[i] = true;
		if
		:: now < granted[i] -> sole[i] = true; soleCap[i] = 0
		:: else
		fi }

	/* StateMachine.NeedsSuccessor, then BeginWrite(WriteSuccessor) or BeginWrite(WriteUnrecordedEpoch) */
	:: atomic { !dead[i] && role[i] == OWNER && !PENDING(i) && writes < MAXWRITES &&
		(sole[i] || succDead[i] || SILENT(i)) ->
		if
		:: c = (i + 1) % NP
		:: c = (i + 2) % NP
		:: c = NONE
		fi;
		begin(i, kEpoch[i], i, c) }

	/* a claim by the successor after GrantExpired, or on proof that the owner has ended */
	:: atomic { !dead[i] && role[i] == SUCCESSOR && !PENDING(i) && writes < MAXWRITES &&
		(now > grantEnd[i] || dead[kOwner[i]]) ->
		if
		:: c = (i + 1) % NP
		:: c = (i + 2) % NP
		:: c = NONE
		fi;
		begin(i, kEpoch[i] + 1, i, c) }

	/* StateMachine.TakeOverUnrecorded */
	:: atomic { !dead[i] && role[i] == SUCCESSOR && !PENDING(i) && dead[kOwner[i]] && HELD(i) ->
		kEpoch[i]++; kOwner[i] = i; kSucc[i] = NONE;
		role[i] = OWNER; clearOwner(i); clearSuccessor(i); sole[i] = true }

	/* Controller.probeHolders: there is no record, or proof that the owner and the successor have ended */
	:: atomic { !dead[i] && role[i] == BYSTANDER && !PENDING(i) && found[i] == 0 &&
		(kOwner[i] == NONE || (dead[kOwner[i]] && (kSucc[i] == NONE || dead[kSucc[i]]))) ->
		found[i] = kRev[i] + 1 }

	/* Controller.actAsBystander: a claim under the record with which the shard was found free */
	:: atomic { !dead[i] && role[i] == BYSTANDER && !PENDING(i) && writes < MAXWRITES && FOUNDFREE(i) ->
		found[i] = 0;
		if
		:: c = (i + 1) % NP
		:: c = (i + 2) % NP
		:: c = NONE
		fi;
		begin(i, kEpoch[i] + 1, i, c) }

	/* StateMachine.FinishWrite */
	:: atomic { !dead[i] && wState[i] == APPLIED ->
		if
		:: sRev == wRev[i] -> adopt(i, wEpoch[i], wOwner[i], wSucc[i], wRev[i])
		:: else -> role[i] = BYSTANDER; clearOwner(i); clearSuccessor(i)
		fi;
		clearWrite(i) }
	:: atomic { !dead[i] && wState[i] == REFUSED ->
		clearWrite(i); role[i] = BYSTANDER; clearOwner(i); clearSuccessor(i) }
	:: atomic { !dead[i] && wState[i] == SENT && !storeUp ->
		/* the process gives up a write that was certainly not sent */
		clearWrite(i); soleCap[i] = 0;
		if
		:: role[i] == OWNER -> since[i] = now
		:: else
		fi }

	/* the process dies */
	:: atomic { !dead[i] && deaths < MAXDEAD && role[i] != BYSTANDER ->
		deaths++; dead[i] = true; clearOwner(i); clearSuccessor(i);
		if
		:: wState[i] != SENT -> clearWrite(i)
		:: else
		fi }
	od
}

/* The store applies a write at any time after it was sent, also if the writer has died. */
proctype Store() {
	byte i;
end:	do
	:: atomic { storeUp && (wState[0] == SENT || wState[1] == SENT || wState[2] == SENT) ->
		if
		:: wState[0] == SENT -> i = 0
		:: wState[1] == SENT -> i = 1
		:: wState[2] == SENT -> i = 2
		fi;
		if
		:: sRev == wExpect[i] ->
			sRev++; sEpoch = wEpoch[i]; sOwner = wOwner[i]; sSucc = wSucc[i];
			wRev[i] = sRev; wState[i] = APPLIED
		:: else -> wState[i] = REFUSED
		fi;
		if
		:: dead[i] -> clearWrite(i)
		:: else
		fi }
	:: atomic { storeUp && outages < 1 -> storeUp = false; outages++ }
	:: atomic { !storeUp -> storeUp = true }
	od
}

proctype Clock() {
end:	do
	:: now < MAXT -> now++
	od
}

active proctype Invariant() {
end:	atomic { (BOTH(0, 1) || BOTH(0, 2) || BOTH(1, 2)) -> assert(false) }
}

init {
	atomic {
#ifndef EMPTY
		kEpoch[0] = 1; kOwner[0] = 0; kSucc[0] = 1; kRev[0] = 1; role[0] = OWNER; since[0] = 1; lastAsk[0] = 1;
#endif
		run Store(); run Clock(); run Process(0); run Process(1); run Process(2)
	}
}
