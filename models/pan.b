	switch (t->back) {
	default: Uerror("bad return move");
	case  0: goto R999; /* nothing to undo */

		 /* PROC :init: */
	case 3: // STATE 12
		sv_restor();
		goto R999;
	case 4: // STATE 15
		sv_restor();
		goto R999;
	case 5: // STATE 18
		sv_restor();
		goto R999;
	case 6: // STATE 21
		sv_restor();
		goto R999;
	case 7: // STATE 24
		sv_restor();
		goto R999;
	case 8: // STATE 27
		sv_restor();
		goto R999;

	case 9: // STATE 28
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 10: // STATE 35
		;
		((P0 *)_this)->before = trpt->bup.oval;
		;
		goto R999;

	case 11: // STATE 30
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 12: // STATE 35
		;
		((P0 *)_this)->before = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 14: // STATE 38
		;
		now.held[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 15: // STATE 40
		goto R999;
;
		;
		
	case 17: // STATE 46
		;
		now.held[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 18: // STATE 48
		goto R999;
;
		
	case 19: // STATE 54
		goto R999;

	case 20: // STATE 56
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 22: // STATE 64
		;
		((P0 *)_this)->k = trpt->bup.ovals[2];
		((P0 *)_this)->low = trpt->bup.ovals[1];
	/* 0 */	((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 23: // STATE 64
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 24: // STATE 64
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 25: // STATE 76
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		now.everywhere = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 26: // STATE 76
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 27: // STATE 76
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 28: // STATE 79
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 29: // STATE 89
		;
		((P0 *)_this)->before = trpt->bup.ovals[3];
		((P0 *)_this)->i = trpt->bup.ovals[2];
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 30: // STATE 91
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 31: // STATE 98
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 32: // STATE 93
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 33: // STATE 98
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 34: // STATE 100
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 36: // STATE 109
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		now.flight[ Index(((P0 *)_this)->j, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 37: // STATE 111
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 38: // STATE 113
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 39: // STATE 119
		;
		((P0 *)_this)->before = trpt->bup.oval;
		;
		goto R999;

	case 40: // STATE 121
		;
		now.held[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;
;
		
	case 41: // STATE 123
		goto R999;
;
		
	case 42: // STATE 127
		goto R999;

	case 43: // STATE 128
		;
		now.flight[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;

	case 44: // STATE 130
		;
		now.losses = trpt->bup.oval;
		;
		goto R999;

	case 45: // STATE 134
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 47: // STATE 142
		;
		((P0 *)_this)->k = trpt->bup.ovals[2];
		((P0 *)_this)->low = trpt->bup.ovals[1];
	/* 0 */	((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 48: // STATE 142
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 49: // STATE 142
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 50: // STATE 154
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		now.everywhere = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 51: // STATE 154
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 52: // STATE 154
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 53: // STATE 157
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 54: // STATE 167
		;
		((P0 *)_this)->before = trpt->bup.ovals[3];
		((P0 *)_this)->i = trpt->bup.ovals[2];
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;
	case 55: // STATE 172
		sv_restor();
		goto R999;
	case 56: // STATE 176
		sv_restor();
		goto R999;
	case 57: // STATE 180
		sv_restor();
		goto R999;

	case 58: // STATE 182
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 59: // STATE 184
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 60: // STATE 190
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->others = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 62: // STATE 198
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->others = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 63: // STATE 198
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 64: // STATE 198
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 65: // STATE 204
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 66: // STATE 212
		;
		((P0 *)_this)->others = trpt->bup.ovals[6];
		((P0 *)_this)->i = trpt->bup.ovals[5];
		now.asked[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[4];
		now.serving[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[3];
		now.held[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[2];
		now.restarts = trpt->bup.ovals[1];
	/* 0 */	((P0 *)_this)->others = trpt->bup.ovals[0];
		;
		;
		ungrab_ints(trpt->bup.ovals, 7);
		goto R999;

	case 67: // STATE 214
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 68: // STATE 221
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 69: // STATE 216
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 70: // STATE 221
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;

	case 71: // STATE 223
		;
		((P0 *)_this)->j = trpt->bup.oval;
		;
		goto R999;
;
		;
		
	case 73: // STATE 238
		;
		((P0 *)_this)->j = trpt->bup.ovals[3];
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.asked[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[1];
		now.held[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 4);
		goto R999;

	case 74: // STATE 238
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		now.asked[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 75: // STATE 238
		;
		((P0 *)_this)->j = trpt->bup.ovals[2];
		((P0 *)_this)->i = trpt->bup.ovals[1];
		now.asked[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 76: // STATE 240
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 77: // STATE 242
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 78: // STATE 248
		;
		now.serving[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.oval;
		;
		goto R999;

	case 79: // STATE 250
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;
;
		;
		
	case 81: // STATE 258
		;
		((P0 *)_this)->k = trpt->bup.ovals[2];
		((P0 *)_this)->low = trpt->bup.ovals[1];
	/* 0 */	((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 82: // STATE 258
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 83: // STATE 258
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 84: // STATE 270
		;
		((P0 *)_this)->k = trpt->bup.ovals[1];
		now.everywhere = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 2);
		goto R999;

	case 85: // STATE 270
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 86: // STATE 270
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 87: // STATE 273
		;
		((P0 *)_this)->k = trpt->bup.oval;
		;
		goto R999;

	case 88: // STATE 282
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		((P0 *)_this)->k = trpt->bup.ovals[1];
		((P0 *)_this)->low = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 89: // STATE 285
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 90: // STATE 294
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.cuts = trpt->bup.ovals[1];
		now.cut[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 91: // STATE 287
		;
		((P0 *)_this)->i = trpt->bup.oval;
		;
		goto R999;

	case 92: // STATE 294
		;
		((P0 *)_this)->i = trpt->bup.ovals[2];
		now.cuts = trpt->bup.ovals[1];
		now.cut[ Index(((P0 *)_this)->i, 3) ] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;

	case 93: // STATE 299
		;
		now.cut[2] = trpt->bup.ovals[2];
		now.cut[1] = trpt->bup.ovals[1];
		now.cut[0] = trpt->bup.ovals[0];
		;
		ungrab_ints(trpt->bup.ovals, 3);
		goto R999;
;
		;
		;
		;
		;
		;
		
	case 97: // STATE 308
		;
		p_restor(II);
		;
		;
		goto R999;
	}

