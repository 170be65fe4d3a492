#define rand	pan_rand
#define pthread_equal(a,b)	((a)==(b))
#if defined(HAS_CODE) && defined(VERBOSE)
	#ifdef BFS_PAR
		bfs_printf("Pr: %d Tr: %d\n", II, t->forw);
	#else
		cpu_printf("Pr: %d Tr: %d\n", II, t->forw);
	#endif
#endif
	switch (t->forw) {
	default: Uerror("bad forward move");
	case 0:	/* if without executable clauses */
		continue;
	case 1: /* generic 'goto' or 'skip' */
		IfNotBlocked
		_m = 3; goto P999;
	case 2: /* generic 'else' */
		IfNotBlocked
		if (trpt->o_pm&1) continue;
		_m = 3; goto P999;

		 /* PROC :init: */
	case 3: // STATE 12 - ticket-spread.pml:103 - [D_STEP103]
		IfNotBlocked

		reached[0][12] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_000_0: /* 2 */
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
S_008_0: /* 2 */
S_007_0: /* 2 */
S_001_0: /* 2 */
		if (!((((int)((P0 *)_this)->i)<3)))
			goto S_007_1;
S_002_0: /* 2 */
		now.serving[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("serving[:init::i]", ((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
S_003_0: /* 2 */
		now.asked[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("asked[:init::i]", ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
S_004_0: /* 2 */
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		goto S_008_0; /* ';' */
S_007_1: /* 3 */
S_005_0: /* 2 */
		/* else */;
S_006_0: /* 2 */
		goto S_009_0;	/* 'goto' */
S_007_2: /* 3 */
		Uerror("blocking sel in d_step (nr.0, near line 105)");
S_009_0: /* 2 */
		goto S_010_0;	/* 'break' */
S_010_0: /* 2 */
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		goto S_305_0;
S_305_0: /* 1 */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 4: // STATE 15 - ticket-spread.pml:114 - [D_STEP114]
		if (!(boq == -1 && (((int)now.published)==0)))
			continue;

		reached[0][15] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_012_0: /* 2 */
		if (!((((int)now.published)==0)))
			Uerror("block in d_step seq");
S_013_0: /* 2 */
		now.published = 2;
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 5: // STATE 18 - ticket-spread.pml:115 - [D_STEP115]
		if (!(boq == -1 && (((int)now.published)==2)))
			continue;

		reached[0][18] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_015_0: /* 2 */
		if (!((((int)now.published)==2)))
			Uerror("block in d_step seq");
S_016_0: /* 2 */
		now.published = 4;
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 6: // STATE 21 - ticket-spread.pml:116 - [D_STEP116]
		if (!(boq == -1 && (((int)now.published)==4)))
			continue;

		reached[0][21] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_018_0: /* 2 */
		if (!((((int)now.published)==4)))
			Uerror("block in d_step seq");
S_019_0: /* 2 */
		now.published = 5;
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 7: // STATE 24 - ticket-spread.pml:117 - [D_STEP117]
		if (!(boq == -1 && (((int)now.published)==5)))
			continue;

		reached[0][24] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_021_0: /* 2 */
		if (!((((int)now.published)==5)))
			Uerror("block in d_step seq");
S_022_0: /* 2 */
		now.published = 7;
#ifdef VAR_RANGES
		logval("published", ((int)now.published));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 8: // STATE 27 - ticket-spread.pml:119 - [D_STEP119]
		if (!(boq == -1 && ((((int)now.stale)<((int)now.published))&&(((int)now.published)!=5))))
			continue;

		reached[0][27] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_024_0: /* 2 */
		if (!(((((int)now.stale)<((int)now.published))&&(((int)now.published)!=5))))
			Uerror("block in d_step seq");
S_025_0: /* 2 */
		now.stale = ((int)now.published);
#ifdef VAR_RANGES
		logval("stale", ((int)now.stale));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 9: // STATE 28 - ticket-spread.pml:123 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][28] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 10: // STATE 31 - ticket-spread.pml:123 - [goto :b2] (0:52:1 - 1)
		IfNotBlocked
		reached[0][31] = 1;
		;
		/* merge: before = held[i](52, 35, 52) */
		reached[0][35] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->before);
		((P0 *)_this)->before = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval(":init::before", ((int)((P0 *)_this)->before));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 11: // STATE 29 - ticket-spread.pml:123 - [((i<(3-1)))] (32:0:1 - 1)
		IfNotBlocked
		reached[0][29] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 30, 32) */
		reached[0][30] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 33, 32) */
		reached[0][33] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 12: // STATE 35 - ticket-spread.pml:124 - [before = held[i]] (0:52:1 - 2)
		IfNotBlocked
		reached[0][35] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->before);
		((P0 *)_this)->before = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval(":init::before", ((int)((P0 *)_this)->before));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 13: // STATE 36 - ticket-spread.pml:126 - [(((published>held[i])||((published==7)&&(held[i]!=7))))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][36] = 1;
		if (!(((((int)now.published)>((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]))||((((int)now.published)==7)&&(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])!=7)))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 14: // STATE 37 - ticket-spread.pml:45 - [((published>held[i]))] (87:0:1 - 1)
		IfNotBlocked
		reached[0][37] = 1;
		if (!((((int)now.published)>((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]))))
			continue;
		/* merge: held[i] = published(87, 38, 87) */
		reached[0][38] = 1;
		(trpt+1)->bup.oval = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.held[ Index(((P0 *)_this)->i, 3) ] = ((int)now.published);
#ifdef VAR_RANGES
		logval("held[:init::i]", ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: .(goto)(87, 42, 87) */
		reached[0][42] = 1;
		;
		/* merge: .(goto)(87, 53, 87) */
		reached[0][53] = 1;
		;
		/* merge: assert((!(serving[i])||(held[i]>=before)))(87, 54, 87) */
		reached[0][54] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 4 */
	case 15: // STATE 40 - ticket-spread.pml:46 - [(1)] (87:0:0 - 1)
		IfNotBlocked
		reached[0][40] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(87, 42, 87) */
		reached[0][42] = 1;
		;
		/* merge: .(goto)(87, 53, 87) */
		reached[0][53] = 1;
		;
		/* merge: assert((!(serving[i])||(held[i]>=before)))(87, 54, 87) */
		reached[0][54] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 3 */
	case 16: // STATE 44 - ticket-spread.pml:127 - [(((stale>0)&&(stale!=held[i])))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][44] = 1;
		if (!(((((int)now.stale)>0)&&(((int)now.stale)!=((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 17: // STATE 45 - ticket-spread.pml:45 - [((stale>held[i]))] (87:0:1 - 1)
		IfNotBlocked
		reached[0][45] = 1;
		if (!((((int)now.stale)>((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]))))
			continue;
		/* merge: held[i] = stale(87, 46, 87) */
		reached[0][46] = 1;
		(trpt+1)->bup.oval = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.held[ Index(((P0 *)_this)->i, 3) ] = ((int)now.stale);
#ifdef VAR_RANGES
		logval("held[:init::i]", ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: .(goto)(87, 50, 87) */
		reached[0][50] = 1;
		;
		/* merge: .(goto)(87, 53, 87) */
		reached[0][53] = 1;
		;
		/* merge: assert((!(serving[i])||(held[i]>=before)))(87, 54, 87) */
		reached[0][54] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 4 */
	case 18: // STATE 48 - ticket-spread.pml:46 - [(1)] (87:0:0 - 1)
		IfNotBlocked
		reached[0][48] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(87, 50, 87) */
		reached[0][50] = 1;
		;
		/* merge: .(goto)(87, 53, 87) */
		reached[0][53] = 1;
		;
		/* merge: assert((!(serving[i])||(held[i]>=before)))(87, 54, 87) */
		reached[0][54] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 3 */
	case 19: // STATE 54 - ticket-spread.pml:129 - [assert((!(serving[i])||(held[i]>=before)))] (0:87:0 - 7)
		IfNotBlocked
		reached[0][54] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 0 */
	case 20: // STATE 55 - ticket-spread.pml:60 - [low = 255] (0:67:2 - 1)
		IfNotBlocked
		reached[0][55] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = 255;
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: k = 0(67, 56, 67) */
		reached[0][56] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 68, 67) */
		reached[0][68] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 21: // STATE 57 - ticket-spread.pml:63 - [((k<3))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][57] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 22: // STATE 58 - ticket-spread.pml:65 - [((serving[k]&&(held[k]<low)))] (67:0:3 - 1)
		IfNotBlocked
		reached[0][58] = 1;
		if (!((((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ])&&(((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ])<((int)((P0 *)_this)->low)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: low */  (trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((P0 *)_this)->low;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->low = 0;
		/* merge: low = held[k](67, 59, 67) */
		reached[0][59] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = ((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ]);
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: .(goto)(67, 63, 67) */
		reached[0][63] = 1;
		;
		/* merge: k = (k+1)(67, 64, 67) */
		reached[0][64] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 68, 67) */
		reached[0][68] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 23: // STATE 61 - ticket-spread.pml:66 - [(1)] (67:0:1 - 1)
		IfNotBlocked
		reached[0][61] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(67, 63, 67) */
		reached[0][63] = 1;
		;
		/* merge: k = (k+1)(67, 64, 67) */
		reached[0][64] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 68, 67) */
		reached[0][68] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 24: // STATE 64 - ticket-spread.pml:68 - [k = (k+1)] (0:67:1 - 3)
		IfNotBlocked
		reached[0][64] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 68, 67) */
		reached[0][68] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 25: // STATE 70 - ticket-spread.pml:72 - [(((low!=255)&&(low>everywhere)))] (82:0:2 - 1)
		IfNotBlocked
		reached[0][70] = 1;
		if (!(((((int)((P0 *)_this)->low)!=255)&&(((int)((P0 *)_this)->low)>((int)now.everywhere)))))
			continue;
		/* merge: everywhere = low(82, 71, 82) */
		reached[0][71] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.everywhere);
		now.everywhere = ((int)((P0 *)_this)->low);
#ifdef VAR_RANGES
		logval("everywhere", ((int)now.everywhere));
#endif
		;
		/* merge: .(goto)(82, 75, 82) */
		reached[0][75] = 1;
		;
		/* merge: k = 0(82, 76, 82) */
		reached[0][76] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 83, 82) */
		reached[0][83] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 26: // STATE 73 - ticket-spread.pml:73 - [(1)] (82:0:1 - 1)
		IfNotBlocked
		reached[0][73] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(82, 75, 82) */
		reached[0][75] = 1;
		;
		/* merge: k = 0(82, 76, 82) */
		reached[0][76] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 83, 82) */
		reached[0][83] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 27: // STATE 76 - ticket-spread.pml:75 - [k = 0] (0:82:1 - 3)
		IfNotBlocked
		reached[0][76] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 83, 82) */
		reached[0][83] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 28: // STATE 77 - ticket-spread.pml:77 - [((k<3))] (82:0:1 - 1)
		IfNotBlocked
		reached[0][77] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		/* merge: assert((!(serving[k])||(held[k]>=everywhere)))(82, 78, 82) */
		reached[0][78] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ])>=((int)now.everywhere))), "( !(serving[k])||(held[k]>=everywhere))", II, tt, t);
		/* merge: k = (k+1)(82, 79, 82) */
		reached[0][79] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 83, 82) */
		reached[0][83] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 29: // STATE 85 - ticket-spread.pml:82 - [low = 0] (0:305:4 - 3)
		IfNotBlocked
		reached[0][85] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = 0;
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: k = 0(305, 86, 305) */
		reached[0][86] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: i = 0(305, 88, 305) */
		reached[0][88] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: before = 0(305, 89, 305) */
		reached[0][89] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->before);
		((P0 *)_this)->before = 0;
#ifdef VAR_RANGES
		logval(":init::before", ((int)((P0 *)_this)->before));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 30: // STATE 91 - ticket-spread.pml:136 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][91] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 31: // STATE 94 - ticket-spread.pml:136 - [goto :b5] (0:102:1 - 1)
		IfNotBlocked
		reached[0][94] = 1;
		;
		/* merge: j = 0(102, 98, 102) */
		reached[0][98] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 103, 102) */
		reached[0][103] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 32: // STATE 92 - ticket-spread.pml:136 - [((i<(3-1)))] (95:0:1 - 1)
		IfNotBlocked
		reached[0][92] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 93, 95) */
		reached[0][93] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 96, 95) */
		reached[0][96] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 33: // STATE 98 - ticket-spread.pml:137 - [j = 0] (0:102:1 - 2)
		IfNotBlocked
		reached[0][98] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 103, 102) */
		reached[0][103] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 34: // STATE 99 - ticket-spread.pml:137 - [((j<(3-1)))] (102:0:1 - 1)
		IfNotBlocked
		reached[0][99] = 1;
		if (!((((int)((P0 *)_this)->j)<(3-1))))
			continue;
		/* merge: j = (j+1)(0, 100, 102) */
		reached[0][100] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = (((int)((P0 *)_this)->j)+1);
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 103, 102) */
		reached[0][103] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 35: // STATE 105 - ticket-spread.pml:142 - [(((((i!=j)&&(held[i]!=held[j]))&&(held[i]>0))&&(flight[j]!=held[i])))] (0:0:0 - 2)
		IfNotBlocked
		reached[0][105] = 1;
		if (!(((((((int)((P0 *)_this)->i)!=((int)((P0 *)_this)->j))&&(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])!=((int)now.held[ Index(((int)((P0 *)_this)->j), 3) ])))&&(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>0))&&(((int)now.flight[ Index(((int)((P0 *)_this)->j), 3) ])!=((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 36: // STATE 106 - ticket-spread.pml:143 - [(((held[i]>held[j])||(losses>0)))] (305:0:3 - 1)
		IfNotBlocked
		reached[0][106] = 1;
		if (!(((((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>((int)now.held[ Index(((int)((P0 *)_this)->j), 3) ]))||(((int)now.losses)>0))))
			continue;
		/* merge: flight[j] = held[i](305, 107, 305) */
		reached[0][107] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.flight[ Index(((int)((P0 *)_this)->j), 3) ]);
		now.flight[ Index(((P0 *)_this)->j, 3) ] = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("flight[:init::j]", ((int)now.flight[ Index(((int)((P0 *)_this)->j), 3) ]));
#endif
		;
		/* merge: i = 0(305, 108, 305) */
		reached[0][108] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(305, 109, 305) */
		reached[0][109] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 37: // STATE 111 - ticket-spread.pml:150 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][111] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 38: // STATE 112 - ticket-spread.pml:150 - [((i<(3-1)))] (115:0:1 - 1)
		IfNotBlocked
		reached[0][112] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 113, 115) */
		reached[0][113] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 116, 115) */
		reached[0][116] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 39: // STATE 118 - ticket-spread.pml:151 - [(((flight[i]>0)&&!(cut[i])))] (126:0:1 - 2)
		IfNotBlocked
		reached[0][118] = 1;
		if (!(((((int)now.flight[ Index(((int)((P0 *)_this)->i), 3) ])>0)&& !(((int)now.cut[ Index(((int)((P0 *)_this)->i), 3) ])))))
			continue;
		/* merge: before = held[i](0, 119, 126) */
		reached[0][119] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->before);
		((P0 *)_this)->before = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval(":init::before", ((int)((P0 *)_this)->before));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 40: // STATE 120 - ticket-spread.pml:45 - [((flight[i]>held[i]))] (131:0:1 - 1)
		IfNotBlocked
		reached[0][120] = 1;
		if (!((((int)now.flight[ Index(((int)((P0 *)_this)->i), 3) ])>((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]))))
			continue;
		/* merge: held[i] = flight[i](131, 121, 131) */
		reached[0][121] = 1;
		(trpt+1)->bup.oval = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.held[ Index(((P0 *)_this)->i, 3) ] = ((int)now.flight[ Index(((int)((P0 *)_this)->i), 3) ]);
#ifdef VAR_RANGES
		logval("held[:init::i]", ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: .(goto)(131, 125, 131) */
		reached[0][125] = 1;
		;
		/* merge: assert((!(serving[i])||(held[i]>=before)))(131, 127, 131) */
		reached[0][127] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 3 */
	case 41: // STATE 123 - ticket-spread.pml:46 - [(1)] (131:0:0 - 1)
		IfNotBlocked
		reached[0][123] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(131, 125, 131) */
		reached[0][125] = 1;
		;
		/* merge: assert((!(serving[i])||(held[i]>=before)))(131, 127, 131) */
		reached[0][127] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 2 */
	case 42: // STATE 127 - ticket-spread.pml:154 - [assert((!(serving[i])||(held[i]>=before)))] (0:131:0 - 3)
		IfNotBlocked
		reached[0][127] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ])>=((int)((P0 *)_this)->before))), "( !(serving[i])||(held[i]>=before))", II, tt, t);
		_m = 3; goto P999; /* 0 */
	case 43: // STATE 128 - ticket-spread.pml:156 - [flight[i] = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][128] = 1;
		(trpt+1)->bup.oval = ((int)now.flight[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.flight[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("flight[:init::i]", ((int)now.flight[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 44: // STATE 129 - ticket-spread.pml:157 - [((losses>0))] (165:0:1 - 1)
		IfNotBlocked
		reached[0][129] = 1;
		if (!((((int)now.losses)>0)))
			continue;
		/* merge: losses = (losses-1)(0, 130, 165) */
		reached[0][130] = 1;
		(trpt+1)->bup.oval = ((int)now.losses);
		now.losses = (((int)now.losses)-1);
#ifdef VAR_RANGES
		logval("losses", ((int)now.losses));
#endif
		;
		/* merge: .(goto)(0, 132, 165) */
		reached[0][132] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 45: // STATE 133 - ticket-spread.pml:60 - [low = 255] (0:145:2 - 1)
		IfNotBlocked
		reached[0][133] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = 255;
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: k = 0(145, 134, 145) */
		reached[0][134] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 146, 145) */
		reached[0][146] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 46: // STATE 135 - ticket-spread.pml:63 - [((k<3))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][135] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 47: // STATE 136 - ticket-spread.pml:65 - [((serving[k]&&(held[k]<low)))] (145:0:3 - 1)
		IfNotBlocked
		reached[0][136] = 1;
		if (!((((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ])&&(((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ])<((int)((P0 *)_this)->low)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: low */  (trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((P0 *)_this)->low;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->low = 0;
		/* merge: low = held[k](145, 137, 145) */
		reached[0][137] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = ((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ]);
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: .(goto)(145, 141, 145) */
		reached[0][141] = 1;
		;
		/* merge: k = (k+1)(145, 142, 145) */
		reached[0][142] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 146, 145) */
		reached[0][146] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 48: // STATE 139 - ticket-spread.pml:66 - [(1)] (145:0:1 - 1)
		IfNotBlocked
		reached[0][139] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(145, 141, 145) */
		reached[0][141] = 1;
		;
		/* merge: k = (k+1)(145, 142, 145) */
		reached[0][142] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 146, 145) */
		reached[0][146] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 49: // STATE 142 - ticket-spread.pml:68 - [k = (k+1)] (0:145:1 - 3)
		IfNotBlocked
		reached[0][142] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 146, 145) */
		reached[0][146] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 50: // STATE 148 - ticket-spread.pml:72 - [(((low!=255)&&(low>everywhere)))] (160:0:2 - 1)
		IfNotBlocked
		reached[0][148] = 1;
		if (!(((((int)((P0 *)_this)->low)!=255)&&(((int)((P0 *)_this)->low)>((int)now.everywhere)))))
			continue;
		/* merge: everywhere = low(160, 149, 160) */
		reached[0][149] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.everywhere);
		now.everywhere = ((int)((P0 *)_this)->low);
#ifdef VAR_RANGES
		logval("everywhere", ((int)now.everywhere));
#endif
		;
		/* merge: .(goto)(160, 153, 160) */
		reached[0][153] = 1;
		;
		/* merge: k = 0(160, 154, 160) */
		reached[0][154] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 161, 160) */
		reached[0][161] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 51: // STATE 151 - ticket-spread.pml:73 - [(1)] (160:0:1 - 1)
		IfNotBlocked
		reached[0][151] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(160, 153, 160) */
		reached[0][153] = 1;
		;
		/* merge: k = 0(160, 154, 160) */
		reached[0][154] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 161, 160) */
		reached[0][161] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 52: // STATE 154 - ticket-spread.pml:75 - [k = 0] (0:160:1 - 3)
		IfNotBlocked
		reached[0][154] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 161, 160) */
		reached[0][161] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 53: // STATE 155 - ticket-spread.pml:77 - [((k<3))] (160:0:1 - 1)
		IfNotBlocked
		reached[0][155] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		/* merge: assert((!(serving[k])||(held[k]>=everywhere)))(160, 156, 160) */
		reached[0][156] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ])>=((int)now.everywhere))), "( !(serving[k])||(held[k]>=everywhere))", II, tt, t);
		/* merge: k = (k+1)(160, 157, 160) */
		reached[0][157] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 161, 160) */
		reached[0][161] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 54: // STATE 163 - ticket-spread.pml:82 - [low = 0] (0:305:4 - 3)
		IfNotBlocked
		reached[0][163] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = 0;
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: k = 0(305, 164, 305) */
		reached[0][164] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: i = 0(305, 166, 305) */
		reached[0][166] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: before = 0(305, 167, 305) */
		reached[0][167] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->before);
		((P0 *)_this)->before = 0;
#ifdef VAR_RANGES
		logval(":init::before", ((int)((P0 *)_this)->before));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 55: // STATE 172 - ticket-spread.pml:163 - [D_STEP163]
		if (!(boq == -1 && ((((int)now.flight[0])>0)&&(((int)now.losses)>0))))
			continue;

		reached[0][172] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_168_0: /* 2 */
		if (!(((((int)now.flight[0])>0)&&(((int)now.losses)>0))))
			Uerror("block in d_step seq");
S_169_0: /* 2 */
		now.flight[0] = 0;
#ifdef VAR_RANGES
		logval("flight[0]", ((int)now.flight[0]));
#endif
		;
S_170_0: /* 2 */
		now.losses = (((int)now.losses)-1);
#ifdef VAR_RANGES
		logval("losses", ((int)now.losses));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 56: // STATE 176 - ticket-spread.pml:164 - [D_STEP164]
		if (!(boq == -1 && ((((int)now.flight[1])>0)&&(((int)now.losses)>0))))
			continue;

		reached[0][176] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_172_0: /* 2 */
		if (!(((((int)now.flight[1])>0)&&(((int)now.losses)>0))))
			Uerror("block in d_step seq");
S_173_0: /* 2 */
		now.flight[1] = 0;
#ifdef VAR_RANGES
		logval("flight[1]", ((int)now.flight[1]));
#endif
		;
S_174_0: /* 2 */
		now.losses = (((int)now.losses)-1);
#ifdef VAR_RANGES
		logval("losses", ((int)now.losses));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 57: // STATE 180 - ticket-spread.pml:165 - [D_STEP165]
		if (!(boq == -1 && ((((int)now.flight[2])>0)&&(((int)now.losses)>0))))
			continue;

		reached[0][180] = 1;
		reached[0][t->st] = 1;
		reached[0][tt] = 1;

		if (TstOnly) return 1;

		sv_save();
		S_176_0: /* 2 */
		if (!(((((int)now.flight[2])>0)&&(((int)now.losses)>0))))
			Uerror("block in d_step seq");
S_177_0: /* 2 */
		now.flight[2] = 0;
#ifdef VAR_RANGES
		logval("flight[2]", ((int)now.flight[2]));
#endif
		;
S_178_0: /* 2 */
		now.losses = (((int)now.losses)-1);
#ifdef VAR_RANGES
		logval("losses", ((int)now.losses));
#endif
		;
		goto S_305_0; /* ';' */

#if defined(C_States) && (HAS_TRACK==1)
		c_update((uchar *) &(now.c_state[0]));
#endif
		_m = 3; goto P999;

	case 58: // STATE 181 - ticket-spread.pml:169 - [((restarts>0))] (186:0:1 - 1)
		IfNotBlocked
		reached[0][181] = 1;
		if (!((((int)now.restarts)>0)))
			continue;
		/* merge: i = 0(0, 182, 186) */
		reached[0][182] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 187, 186) */
		reached[0][187] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 59: // STATE 183 - ticket-spread.pml:170 - [((i<(3-1)))] (186:0:1 - 1)
		IfNotBlocked
		reached[0][183] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 184, 186) */
		reached[0][184] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 187, 186) */
		reached[0][187] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 60: // STATE 189 - ticket-spread.pml:87 - [others = 0] (0:201:2 - 1)
		IfNotBlocked
		reached[0][189] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->others);
		((P0 *)_this)->others = 0;
#ifdef VAR_RANGES
		logval(":init::others", ((int)((P0 *)_this)->others));
#endif
		;
		/* merge: k = 0(201, 190, 201) */
		reached[0][190] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 202, 201) */
		reached[0][202] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 61: // STATE 191 - ticket-spread.pml:90 - [((k<3))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][191] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 62: // STATE 192 - ticket-spread.pml:92 - [(((k!=i)&&serving[k]))] (201:0:2 - 1)
		IfNotBlocked
		reached[0][192] = 1;
		if (!(((((int)((P0 *)_this)->k)!=((int)((P0 *)_this)->i))&&((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ]))))
			continue;
		/* merge: others = (others+1)(201, 193, 201) */
		reached[0][193] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->others);
		((P0 *)_this)->others = (((int)((P0 *)_this)->others)+1);
#ifdef VAR_RANGES
		logval(":init::others", ((int)((P0 *)_this)->others));
#endif
		;
		/* merge: .(goto)(201, 197, 201) */
		reached[0][197] = 1;
		;
		/* merge: k = (k+1)(201, 198, 201) */
		reached[0][198] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 202, 201) */
		reached[0][202] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 63: // STATE 195 - ticket-spread.pml:93 - [(1)] (201:0:1 - 1)
		IfNotBlocked
		reached[0][195] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(201, 197, 201) */
		reached[0][197] = 1;
		;
		/* merge: k = (k+1)(201, 198, 201) */
		reached[0][198] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 202, 201) */
		reached[0][202] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 64: // STATE 198 - ticket-spread.pml:95 - [k = (k+1)] (0:201:1 - 3)
		IfNotBlocked
		reached[0][198] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 202, 201) */
		reached[0][202] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 65: // STATE 204 - ticket-spread.pml:98 - [k = 0] (0:206:1 - 3)
		IfNotBlocked
		reached[0][204] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 66: // STATE 206 - ticket-spread.pml:172 - [((others>0))] (305:0:7 - 1)
		IfNotBlocked
		reached[0][206] = 1;
		if (!((((int)((P0 *)_this)->others)>0)))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: others */  (trpt+1)->bup.ovals = grab_ints(7);
		(trpt+1)->bup.ovals[0] = ((P0 *)_this)->others;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->others = 0;
		/* merge: restarts = (restarts-1)(305, 207, 305) */
		reached[0][207] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.restarts);
		now.restarts = (((int)now.restarts)-1);
#ifdef VAR_RANGES
		logval("restarts", ((int)now.restarts));
#endif
		;
		/* merge: held[i] = 0(305, 208, 305) */
		reached[0][208] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.held[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("held[:init::i]", ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: serving[i] = 0(305, 209, 305) */
		reached[0][209] = 1;
		(trpt+1)->bup.ovals[3] = ((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.serving[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("serving[:init::i]", ((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: asked[i] = 0(305, 210, 305) */
		reached[0][210] = 1;
		(trpt+1)->bup.ovals[4] = ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.asked[ Index(((P0 *)_this)->i, 3) ] = 0;
#ifdef VAR_RANGES
		logval("asked[:init::i]", ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: i = 0(305, 211, 305) */
		reached[0][211] = 1;
		(trpt+1)->bup.ovals[5] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: others = 0(305, 212, 305) */
		reached[0][212] = 1;
		(trpt+1)->bup.ovals[6] = ((int)((P0 *)_this)->others);
		((P0 *)_this)->others = 0;
#ifdef VAR_RANGES
		logval(":init::others", ((int)((P0 *)_this)->others));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 7 */
	case 67: // STATE 214 - ticket-spread.pml:179 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][214] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 68: // STATE 217 - ticket-spread.pml:179 - [goto :b12] (0:225:1 - 1)
		IfNotBlocked
		reached[0][217] = 1;
		;
		/* merge: j = 0(225, 221, 225) */
		reached[0][221] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 226, 225) */
		reached[0][226] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 69: // STATE 215 - ticket-spread.pml:179 - [((i<(3-1)))] (218:0:1 - 1)
		IfNotBlocked
		reached[0][215] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 216, 218) */
		reached[0][216] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 219, 218) */
		reached[0][219] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 70: // STATE 221 - ticket-spread.pml:180 - [j = 0] (0:225:1 - 2)
		IfNotBlocked
		reached[0][221] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 226, 225) */
		reached[0][226] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 71: // STATE 222 - ticket-spread.pml:180 - [((j<(3-1)))] (225:0:1 - 1)
		IfNotBlocked
		reached[0][222] = 1;
		if (!((((int)((P0 *)_this)->j)<(3-1))))
			continue;
		/* merge: j = (j+1)(0, 223, 225) */
		reached[0][223] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = (((int)((P0 *)_this)->j)+1);
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 226, 225) */
		reached[0][226] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 72: // STATE 228 - ticket-spread.pml:181 - [(((((i!=j)&&!(asked[i]))&&serving[j])&&!(cut[i])))] (0:0:0 - 2)
		IfNotBlocked
		reached[0][228] = 1;
		if (!(((((((int)((P0 *)_this)->i)!=((int)((P0 *)_this)->j))&& !(((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ])))&&((int)now.serving[ Index(((int)((P0 *)_this)->j), 3) ]))&& !(((int)now.cut[ Index(((int)((P0 *)_this)->i), 3) ])))))
			continue;
		_m = 3; goto P999; /* 0 */
	case 73: // STATE 229 - ticket-spread.pml:45 - [((held[j]>held[i]))] (305:0:4 - 1)
		IfNotBlocked
		reached[0][229] = 1;
		if (!((((int)now.held[ Index(((int)((P0 *)_this)->j), 3) ])>((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]))))
			continue;
		/* merge: held[i] = held[j](305, 230, 305) */
		reached[0][230] = 1;
		(trpt+1)->bup.ovals = grab_ints(4);
		(trpt+1)->bup.ovals[0] = ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.held[ Index(((P0 *)_this)->i, 3) ] = ((int)now.held[ Index(((int)((P0 *)_this)->j), 3) ]);
#ifdef VAR_RANGES
		logval("held[:init::i]", ((int)now.held[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: .(goto)(305, 234, 305) */
		reached[0][234] = 1;
		;
		/* merge: asked[i] = 1(305, 236, 305) */
		reached[0][236] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.asked[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("asked[:init::i]", ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: i = 0(305, 237, 305) */
		reached[0][237] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(305, 238, 305) */
		reached[0][238] = 1;
		(trpt+1)->bup.ovals[3] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 6 */
	case 74: // STATE 232 - ticket-spread.pml:46 - [(1)] (305:0:3 - 1)
		IfNotBlocked
		reached[0][232] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(305, 234, 305) */
		reached[0][234] = 1;
		;
		/* merge: asked[i] = 1(305, 236, 305) */
		reached[0][236] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.asked[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("asked[:init::i]", ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: i = 0(305, 237, 305) */
		reached[0][237] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(305, 238, 305) */
		reached[0][238] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 5 */
	case 75: // STATE 236 - ticket-spread.pml:183 - [asked[i] = 1] (0:305:3 - 3)
		IfNotBlocked
		reached[0][236] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.asked[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("asked[:init::i]", ((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: i = 0(305, 237, 305) */
		reached[0][237] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: j = 0(305, 238, 305) */
		reached[0][238] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->j);
		((P0 *)_this)->j = 0;
#ifdef VAR_RANGES
		logval(":init::j", ((int)((P0 *)_this)->j));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 76: // STATE 240 - ticket-spread.pml:188 - [i = 0] (0:0:1 - 1)
		IfNotBlocked
		reached[0][240] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		_m = 3; goto P999; /* 0 */
	case 77: // STATE 241 - ticket-spread.pml:188 - [((i<(3-1)))] (244:0:1 - 1)
		IfNotBlocked
		reached[0][241] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 242, 244) */
		reached[0][242] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 245, 244) */
		reached[0][245] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 78: // STATE 247 - ticket-spread.pml:192 - [((!(serving[i])&&asked[i]))] (281:0:1 - 2)
		IfNotBlocked
		reached[0][247] = 1;
		if (!(( !(((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]))&&((int)now.asked[ Index(((int)((P0 *)_this)->i), 3) ]))))
			continue;
		/* merge: serving[i] = 1(0, 248, 281) */
		reached[0][248] = 1;
		(trpt+1)->bup.oval = ((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.serving[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("serving[:init::i]", ((int)now.serving[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		_m = 3; goto P999; /* 1 */
	case 79: // STATE 249 - ticket-spread.pml:60 - [low = 255] (0:261:2 - 1)
		IfNotBlocked
		reached[0][249] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = 255;
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: k = 0(261, 250, 261) */
		reached[0][250] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 262, 261) */
		reached[0][262] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 80: // STATE 251 - ticket-spread.pml:63 - [((k<3))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][251] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		_m = 3; goto P999; /* 0 */
	case 81: // STATE 252 - ticket-spread.pml:65 - [((serving[k]&&(held[k]<low)))] (261:0:3 - 1)
		IfNotBlocked
		reached[0][252] = 1;
		if (!((((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ])&&(((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ])<((int)((P0 *)_this)->low)))))
			continue;
		if (TstOnly) return 1; /* TT */
		/* dead 1: low */  (trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((P0 *)_this)->low;
#ifdef HAS_CODE
		if (!readtrail)
#endif
			((P0 *)_this)->low = 0;
		/* merge: low = held[k](261, 253, 261) */
		reached[0][253] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = ((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ]);
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: .(goto)(261, 257, 261) */
		reached[0][257] = 1;
		;
		/* merge: k = (k+1)(261, 258, 261) */
		reached[0][258] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 262, 261) */
		reached[0][262] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 82: // STATE 255 - ticket-spread.pml:66 - [(1)] (261:0:1 - 1)
		IfNotBlocked
		reached[0][255] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(261, 257, 261) */
		reached[0][257] = 1;
		;
		/* merge: k = (k+1)(261, 258, 261) */
		reached[0][258] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 262, 261) */
		reached[0][262] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 83: // STATE 258 - ticket-spread.pml:68 - [k = (k+1)] (0:261:1 - 3)
		IfNotBlocked
		reached[0][258] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 262, 261) */
		reached[0][262] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 84: // STATE 264 - ticket-spread.pml:72 - [(((low!=255)&&(low>everywhere)))] (276:0:2 - 1)
		IfNotBlocked
		reached[0][264] = 1;
		if (!(((((int)((P0 *)_this)->low)!=255)&&(((int)((P0 *)_this)->low)>((int)now.everywhere)))))
			continue;
		/* merge: everywhere = low(276, 265, 276) */
		reached[0][265] = 1;
		(trpt+1)->bup.ovals = grab_ints(2);
		(trpt+1)->bup.ovals[0] = ((int)now.everywhere);
		now.everywhere = ((int)((P0 *)_this)->low);
#ifdef VAR_RANGES
		logval("everywhere", ((int)now.everywhere));
#endif
		;
		/* merge: .(goto)(276, 269, 276) */
		reached[0][269] = 1;
		;
		/* merge: k = 0(276, 270, 276) */
		reached[0][270] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 277, 276) */
		reached[0][277] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 85: // STATE 267 - ticket-spread.pml:73 - [(1)] (276:0:1 - 1)
		IfNotBlocked
		reached[0][267] = 1;
		if (!(1))
			continue;
		/* merge: .(goto)(276, 269, 276) */
		reached[0][269] = 1;
		;
		/* merge: k = 0(276, 270, 276) */
		reached[0][270] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 277, 276) */
		reached[0][277] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 86: // STATE 270 - ticket-spread.pml:75 - [k = 0] (0:276:1 - 3)
		IfNotBlocked
		reached[0][270] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 277, 276) */
		reached[0][277] = 1;
		;
		_m = 3; goto P999; /* 1 */
	case 87: // STATE 271 - ticket-spread.pml:77 - [((k<3))] (276:0:1 - 1)
		IfNotBlocked
		reached[0][271] = 1;
		if (!((((int)((P0 *)_this)->k)<3)))
			continue;
		/* merge: assert((!(serving[k])||(held[k]>=everywhere)))(276, 272, 276) */
		reached[0][272] = 1;
		spin_assert(( !(((int)now.serving[ Index(((int)((P0 *)_this)->k), 3) ]))||(((int)now.held[ Index(((int)((P0 *)_this)->k), 3) ])>=((int)now.everywhere))), "( !(serving[k])||(held[k]>=everywhere))", II, tt, t);
		/* merge: k = (k+1)(276, 273, 276) */
		reached[0][273] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = (((int)((P0 *)_this)->k)+1);
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: .(goto)(0, 277, 276) */
		reached[0][277] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 88: // STATE 279 - ticket-spread.pml:82 - [low = 0] (0:305:3 - 3)
		IfNotBlocked
		reached[0][279] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)((P0 *)_this)->low);
		((P0 *)_this)->low = 0;
#ifdef VAR_RANGES
		logval(":init::low", ((int)((P0 *)_this)->low));
#endif
		;
		/* merge: k = 0(305, 280, 305) */
		reached[0][280] = 1;
		(trpt+1)->bup.ovals[1] = ((int)((P0 *)_this)->k);
		((P0 *)_this)->k = 0;
#ifdef VAR_RANGES
		logval(":init::k", ((int)((P0 *)_this)->k));
#endif
		;
		/* merge: i = 0(305, 282, 305) */
		reached[0][282] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 89: // STATE 284 - ticket-spread.pml:200 - [((cuts>0))] (289:0:1 - 1)
		IfNotBlocked
		reached[0][284] = 1;
		if (!((((int)now.cuts)>0)))
			continue;
		/* merge: i = 0(0, 285, 289) */
		reached[0][285] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 290, 289) */
		reached[0][290] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 90: // STATE 288 - ticket-spread.pml:200 - [goto :b17] (0:305:3 - 1)
		IfNotBlocked
		reached[0][288] = 1;
		;
		/* merge: cut[i] = 1(305, 292, 305) */
		reached[0][292] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.cut[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.cut[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("cut[:init::i]", ((int)now.cut[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: cuts = (cuts-1)(305, 293, 305) */
		reached[0][293] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.cuts);
		now.cuts = (((int)now.cuts)-1);
#ifdef VAR_RANGES
		logval("cuts", ((int)now.cuts));
#endif
		;
		/* merge: i = 0(305, 294, 305) */
		reached[0][294] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 91: // STATE 286 - ticket-spread.pml:200 - [((i<(3-1)))] (289:0:1 - 1)
		IfNotBlocked
		reached[0][286] = 1;
		if (!((((int)((P0 *)_this)->i)<(3-1))))
			continue;
		/* merge: i = (i+1)(0, 287, 289) */
		reached[0][287] = 1;
		(trpt+1)->bup.oval = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = (((int)((P0 *)_this)->i)+1);
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 290, 289) */
		reached[0][290] = 1;
		;
		_m = 3; goto P999; /* 2 */
	case 92: // STATE 292 - ticket-spread.pml:200 - [cut[i] = 1] (0:305:3 - 2)
		IfNotBlocked
		reached[0][292] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.cut[ Index(((int)((P0 *)_this)->i), 3) ]);
		now.cut[ Index(((P0 *)_this)->i, 3) ] = 1;
#ifdef VAR_RANGES
		logval("cut[:init::i]", ((int)now.cut[ Index(((int)((P0 *)_this)->i), 3) ]));
#endif
		;
		/* merge: cuts = (cuts-1)(305, 293, 305) */
		reached[0][293] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.cuts);
		now.cuts = (((int)now.cuts)-1);
#ifdef VAR_RANGES
		logval("cuts", ((int)now.cuts));
#endif
		;
		/* merge: i = 0(305, 294, 305) */
		reached[0][294] = 1;
		(trpt+1)->bup.ovals[2] = ((int)((P0 *)_this)->i);
		((P0 *)_this)->i = 0;
#ifdef VAR_RANGES
		logval(":init::i", ((int)((P0 *)_this)->i));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 3 */
	case 93: // STATE 296 - ticket-spread.pml:201 - [(((cut[0]||cut[1])||cut[2]))] (305:0:3 - 1)
		IfNotBlocked
		reached[0][296] = 1;
		if (!(((((int)now.cut[0])||((int)now.cut[1]))||((int)now.cut[2]))))
			continue;
		/* merge: cut[0] = 0(305, 297, 305) */
		reached[0][297] = 1;
		(trpt+1)->bup.ovals = grab_ints(3);
		(trpt+1)->bup.ovals[0] = ((int)now.cut[0]);
		now.cut[0] = 0;
#ifdef VAR_RANGES
		logval("cut[0]", ((int)now.cut[0]));
#endif
		;
		/* merge: cut[1] = 0(305, 298, 305) */
		reached[0][298] = 1;
		(trpt+1)->bup.ovals[1] = ((int)now.cut[1]);
		now.cut[1] = 0;
#ifdef VAR_RANGES
		logval("cut[1]", ((int)now.cut[1]));
#endif
		;
		/* merge: cut[2] = 0(305, 299, 305) */
		reached[0][299] = 1;
		(trpt+1)->bup.ovals[2] = ((int)now.cut[2]);
		now.cut[2] = 0;
#ifdef VAR_RANGES
		logval("cut[2]", ((int)now.cut[2]));
#endif
		;
		/* merge: .(goto)(0, 306, 305) */
		reached[0][306] = 1;
		;
		_m = 3; goto P999; /* 4 */
	case 94: // STATE 301 - ticket-spread.pml:204 - [(timeout)] (0:0:0 - 1)
		IfNotBlocked
		reached[0][301] = 1;
		if (!(((trpt->tau)&1)))
			continue;
		_m = 1; goto P999; /* 0 */
	case 95: // STATE 302 - ticket-spread.pml:205 - [assert((((held[0]==7)&&(held[1]==7))&&(held[2]==7)))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][302] = 1;
		spin_assert((((((int)now.held[0])==7)&&(((int)now.held[1])==7))&&(((int)now.held[2])==7)), "(((held[0]==7)&&(held[1]==7))&&(held[2]==7))", II, tt, t);
		_m = 3; goto P999; /* 0 */
	case 96: // STATE 303 - ticket-spread.pml:206 - [assert(((serving[0]&&serving[1])&&serving[2]))] (0:0:0 - 1)
		IfNotBlocked
		reached[0][303] = 1;
		spin_assert(((((int)now.serving[0])&&((int)now.serving[1]))&&((int)now.serving[2])), "((serving[0]&&serving[1])&&serving[2])", II, tt, t);
		_m = 3; goto P999; /* 0 */
	case 97: // STATE 308 - ticket-spread.pml:209 - [-end-] (0:0:0 - 3)
		IfNotBlocked
		reached[0][308] = 1;
		if (!delproc(1, II)) continue;
		_m = 3; goto P999; /* 0 */
	case  _T5:	/* np_ */
		if (!((!(trpt->o_pm&4) && !(trpt->tau&128))))
			continue;
		/* else fall through */
	case  _T2:	/* true */
		_m = 3; goto P999;
#undef rand
	}

