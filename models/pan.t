#ifdef PEG
struct T_SRC {
	char *fl; int ln;
} T_SRC[NTRANS];

void
tr_2_src(int m, char *file, int ln)
{	T_SRC[m].fl = file;
	T_SRC[m].ln = ln;
}

void
putpeg(int n, int m)
{	printf("%5d	trans %4d ", m, n);
	printf("%s:%d\n",
		T_SRC[n].fl, T_SRC[n].ln);
}
#endif

void
settable(void)
{	Trans *T;
	Trans *settr(int, int, int, int, int, char *, int, int, int);

	trans = (Trans ***) emalloc(2*sizeof(Trans **));

	/* proctype 0: :init: */

	trans[0] = (Trans **) emalloc(309*sizeof(Trans *));

/*->*/	trans[0][12]	= settr(11,32,305,3,3,"D_STEP103", 1, 2, 0);
	trans[0][306]	= settr(305,0,305,1,0,".(goto)", 0, 2, 0);
	T = trans[0][305] = settr(304,0,0,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,15,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,18,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,21,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,24,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,27,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,90,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,110,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,168,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,172,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,176,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,180,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,213,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,239,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,283,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,295,0,0,"DO", 0, 2, 0);
	T = T->nxt	= settr(304,0,300,0,0,"DO", 0, 2, 0);
	    T->nxt	= settr(304,0,301,0,0,"DO", 0, 2, 0);
/*->*/	trans[0][15]	= settr(14,32,305,4,4,"D_STEP114", 1, 2, 0);
/*->*/	trans[0][18]	= settr(17,32,305,5,5,"D_STEP115", 1, 2, 0);
/*->*/	trans[0][21]	= settr(20,32,305,6,6,"D_STEP116", 1, 2, 0);
/*->*/	trans[0][24]	= settr(23,32,305,7,7,"D_STEP117", 1, 2, 0);
/*->*/	trans[0][27]	= settr(26,32,305,8,8,"D_STEP119", 1, 2, 0);
	T = trans[ 0][90] = settr(89,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(89,2,28,0,0,"ATOMIC", 1, 2, 0);
	trans[0][28]	= settr(27,2,32,9,9,"i = 0", 1, 2, 0);
	trans[0][33]	= settr(32,2,32,1,0,".(goto)", 1, 2, 0);
	T = trans[0][32] = settr(31,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(31,2,31,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(31,2,29,0,0,"DO", 1, 2, 0);
	trans[0][31]	= settr(30,2,52,10,10,"goto :b2", 1, 2, 0); /* m: 35 -> 0,52 */
	reached0[35] = 1;
	trans[0][29]	= settr(28,2,32,11,11,"((i<(3-1)))", 1, 2, 0); /* m: 30 -> 32,0 */
	reached0[30] = 1;
	trans[0][30]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][34]	= settr(33,2,35,1,0,"break", 1, 2, 0);
	trans[0][35]	= settr(34,2,52,12,12,"before = held[i]", 1, 2, 0);
	T = trans[0][52] = settr(51,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(51,2,36,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(51,2,44,0,0,"IF", 1, 2, 0);
	trans[0][36]	= settr(35,2,43,13,0,"(((published>held[i])||((published==7)&&(held[i]!=7))))", 1, 2, 0);
	T = trans[ 0][43] = settr(42,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(42,0,41,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][41] = settr(40,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(40,2,37,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(40,2,39,0,0,"IF", 1, 2, 0);
	trans[0][37]	= settr(36,2,87,14,14,"((published>held[i]))", 1, 2, 0); /* m: 38 -> 87,0 */
	reached0[38] = 1;
	trans[0][38]	= settr(0,0,0,0,0,"held[i] = published",0,0,0);
	trans[0][42]	= settr(41,2,54,1,0,".(goto)", 1, 2, 0); /* m: 54 -> 0,87 */
	reached0[54] = 1;
	trans[0][39]	= settr(38,2,40,2,0,"else", 1, 2, 0);
	trans[0][40]	= settr(39,2,87,15,15,"(1)", 1, 2, 0); /* m: 54 -> 87,0 */
	reached0[54] = 1;
	trans[0][53]	= settr(52,2,54,1,0,".(goto)", 1, 2, 0); /* m: 54 -> 0,87 */
	reached0[54] = 1;
	trans[0][44]	= settr(43,2,51,16,0,"(((stale>0)&&(stale!=held[i])))", 1, 2, 0);
	T = trans[ 0][51] = settr(50,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(50,0,49,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][49] = settr(48,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(48,2,45,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(48,2,47,0,0,"IF", 1, 2, 0);
	trans[0][45]	= settr(44,2,87,17,17,"((stale>held[i]))", 1, 2, 0); /* m: 46 -> 87,0 */
	reached0[46] = 1;
	trans[0][46]	= settr(0,0,0,0,0,"held[i] = stale",0,0,0);
	trans[0][50]	= settr(49,2,54,1,0,".(goto)", 1, 2, 0); /* m: 54 -> 0,87 */
	reached0[54] = 1;
	trans[0][47]	= settr(46,2,48,2,0,"else", 1, 2, 0);
	trans[0][48]	= settr(47,2,87,18,18,"(1)", 1, 2, 0); /* m: 54 -> 87,0 */
	reached0[54] = 1;
	trans[0][54]	= settr(53,2,87,19,19,"assert((!(serving[i])||(held[i]>=before)))", 1, 2, 0);
	T = trans[ 0][87] = settr(86,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(86,0,55,0,0,"sub-sequence", 1, 2, 0);
	trans[0][55]	= settr(54,2,67,20,20,"low = 255", 1, 2, 0); /* m: 56 -> 0,67 */
	reached0[56] = 1;
	trans[0][56]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][68]	= settr(67,2,67,1,0,".(goto)", 1, 2, 0);
	T = trans[0][67] = settr(66,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(66,2,57,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(66,2,65,0,0,"DO", 1, 2, 0);
	trans[0][57]	= settr(56,2,62,21,0,"((k<3))", 1, 2, 0);
	T = trans[0][62] = settr(61,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(61,2,58,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(61,2,60,0,0,"IF", 1, 2, 0);
	trans[0][58]	= settr(57,2,67,22,22,"((serving[k]&&(held[k]<low)))", 1, 2, 0); /* m: 59 -> 67,0 */
	reached0[59] = 1;
	trans[0][59]	= settr(0,0,0,0,0,"low = held[k]",0,0,0);
	trans[0][63]	= settr(62,2,64,1,0,".(goto)", 1, 2, 0); /* m: 64 -> 0,67 */
	reached0[64] = 1;
	trans[0][60]	= settr(59,2,61,2,0,"else", 1, 2, 0);
	trans[0][61]	= settr(60,2,67,23,23,"(1)", 1, 2, 0); /* m: 64 -> 67,0 */
	reached0[64] = 1;
	trans[0][64]	= settr(63,2,67,24,24,"k = (k+1)", 1, 2, 0);
	trans[0][65]	= settr(64,2,74,2,0,"else", 1, 2, 0);
	trans[0][66]	= settr(65,2,74,1,0,"goto :b3", 1, 2, 0);
	trans[0][69]	= settr(68,2,74,1,0,"break", 1, 2, 0);
	T = trans[0][74] = settr(73,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(73,2,70,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(73,2,72,0,0,"IF", 1, 2, 0);
	trans[0][70]	= settr(69,2,82,25,25,"(((low!=255)&&(low>everywhere)))", 1, 2, 0); /* m: 71 -> 82,0 */
	reached0[71] = 1;
	trans[0][71]	= settr(0,0,0,0,0,"everywhere = low",0,0,0);
	trans[0][75]	= settr(74,2,76,1,0,".(goto)", 1, 2, 0); /* m: 76 -> 0,82 */
	reached0[76] = 1;
	trans[0][72]	= settr(71,2,73,2,0,"else", 1, 2, 0);
	trans[0][73]	= settr(72,2,82,26,26,"(1)", 1, 2, 0); /* m: 76 -> 82,0 */
	reached0[76] = 1;
	trans[0][76]	= settr(75,2,82,27,27,"k = 0", 1, 2, 0);
	trans[0][83]	= settr(82,2,82,1,0,".(goto)", 1, 2, 0);
	T = trans[0][82] = settr(81,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(81,2,77,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(81,2,80,0,0,"DO", 1, 2, 0);
	trans[0][77]	= settr(76,2,82,28,28,"((k<3))", 1, 2, 0); /* m: 78 -> 82,0 */
	reached0[78] = 1;
	trans[0][78]	= settr(0,0,0,0,0,"assert((!(serving[k])||(held[k]>=everywhere)))",0,0,0);
	trans[0][79]	= settr(0,0,0,0,0,"k = (k+1)",0,0,0);
	trans[0][80]	= settr(79,2,85,2,0,"else", 1, 2, 0);
	trans[0][81]	= settr(80,2,85,1,0,"goto :b4", 1, 2, 0); /* m: 85 -> 0,305 */
	reached0[85] = 1;
	trans[0][84]	= settr(83,2,85,1,0,"break", 1, 2, 0);
	trans[0][85]	= settr(84,0,305,29,29,"low = 0", 1, 2, 0); /* m: 86 -> 0,305 */
	reached0[86] = 1;
	trans[0][86]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][88]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][89]	= settr(0,0,0,0,0,"before = 0",0,0,0);
	T = trans[ 0][110] = settr(109,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(109,2,91,0,0,"ATOMIC", 1, 2, 0);
	trans[0][91]	= settr(90,2,95,30,30,"i = 0", 1, 2, 0);
	trans[0][96]	= settr(95,2,95,1,0,".(goto)", 1, 2, 0);
	T = trans[0][95] = settr(94,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(94,2,94,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(94,2,92,0,0,"DO", 1, 2, 0);
	trans[0][94]	= settr(93,2,102,31,31,"goto :b5", 1, 2, 0); /* m: 98 -> 0,102 */
	reached0[98] = 1;
	trans[0][92]	= settr(91,2,95,32,32,"((i<(3-1)))", 1, 2, 0); /* m: 93 -> 95,0 */
	reached0[93] = 1;
	trans[0][93]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][97]	= settr(96,2,98,1,0,"break", 1, 2, 0);
	trans[0][98]	= settr(97,2,102,33,33,"j = 0", 1, 2, 0);
	trans[0][103]	= settr(102,2,102,1,0,".(goto)", 1, 2, 0);
	T = trans[0][102] = settr(101,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(101,2,101,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(101,2,99,0,0,"DO", 1, 2, 0);
	trans[0][101]	= settr(100,2,105,1,0,"goto :b6", 1, 2, 0);
	trans[0][99]	= settr(98,2,102,34,34,"((j<(3-1)))", 1, 2, 0); /* m: 100 -> 102,0 */
	reached0[100] = 1;
	trans[0][100]	= settr(0,0,0,0,0,"j = (j+1)",0,0,0);
	trans[0][104]	= settr(103,2,105,1,0,"break", 1, 2, 0);
	trans[0][105]	= settr(104,2,106,35,0,"(((((i!=j)&&(held[i]!=held[j]))&&(held[i]>0))&&(flight[j]!=held[i])))", 1, 2, 0);
	trans[0][106]	= settr(105,0,305,36,36,"(((held[i]>held[j])||(losses>0)))", 1, 2, 0); /* m: 107 -> 305,0 */
	reached0[107] = 1;
	trans[0][107]	= settr(0,0,0,0,0,"flight[j] = held[i]",0,0,0);
	trans[0][108]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][109]	= settr(0,0,0,0,0,"j = 0",0,0,0);
	T = trans[ 0][168] = settr(167,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(167,2,111,0,0,"ATOMIC", 1, 2, 0);
	trans[0][111]	= settr(110,2,115,37,37,"i = 0", 1, 2, 0);
	trans[0][116]	= settr(115,2,115,1,0,".(goto)", 1, 2, 0);
	T = trans[0][115] = settr(114,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(114,2,114,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(114,2,112,0,0,"DO", 1, 2, 0);
	trans[0][114]	= settr(113,2,118,1,0,"goto :b7", 1, 2, 0);
	trans[0][112]	= settr(111,2,115,38,38,"((i<(3-1)))", 1, 2, 0); /* m: 113 -> 115,0 */
	reached0[113] = 1;
	trans[0][113]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][117]	= settr(116,2,118,1,0,"break", 1, 2, 0);
	trans[0][118]	= settr(117,2,126,39,39,"(((flight[i]>0)&&!(cut[i])))", 1, 2, 0); /* m: 119 -> 126,0 */
	reached0[119] = 1;
	trans[0][119]	= settr(0,0,0,0,0,"before = held[i]",0,0,0);
	T = trans[ 0][126] = settr(125,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(125,0,124,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][124] = settr(123,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(123,2,120,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(123,2,122,0,0,"IF", 1, 2, 0);
	trans[0][120]	= settr(119,2,131,40,40,"((flight[i]>held[i]))", 1, 2, 0); /* m: 121 -> 131,0 */
	reached0[121] = 1;
	trans[0][121]	= settr(0,0,0,0,0,"held[i] = flight[i]",0,0,0);
	trans[0][125]	= settr(124,2,127,1,0,".(goto)", 1, 2, 0); /* m: 127 -> 0,131 */
	reached0[127] = 1;
	trans[0][122]	= settr(121,2,123,2,0,"else", 1, 2, 0);
	trans[0][123]	= settr(122,2,131,41,41,"(1)", 1, 2, 0); /* m: 127 -> 131,0 */
	reached0[127] = 1;
	trans[0][127]	= settr(126,2,131,42,42,"assert((!(serving[i])||(held[i]>=before)))", 1, 2, 0);
	T = trans[0][131] = settr(130,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(130,2,128,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(130,2,129,0,0,"IF", 1, 2, 0);
	trans[0][128]	= settr(127,2,165,43,43,"flight[i] = 0", 1, 2, 0);
	trans[0][132]	= settr(131,2,165,1,0,".(goto)", 1, 2, 0);
	trans[0][129]	= settr(128,2,165,44,44,"((losses>0))", 1, 2, 0); /* m: 130 -> 165,0 */
	reached0[130] = 1;
	trans[0][130]	= settr(0,0,0,0,0,"losses = (losses-1)",0,0,0);
	T = trans[ 0][165] = settr(164,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(164,0,133,0,0,"sub-sequence", 1, 2, 0);
	trans[0][133]	= settr(132,2,145,45,45,"low = 255", 1, 2, 0); /* m: 134 -> 0,145 */
	reached0[134] = 1;
	trans[0][134]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][146]	= settr(145,2,145,1,0,".(goto)", 1, 2, 0);
	T = trans[0][145] = settr(144,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(144,2,135,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(144,2,143,0,0,"DO", 1, 2, 0);
	trans[0][135]	= settr(134,2,140,46,0,"((k<3))", 1, 2, 0);
	T = trans[0][140] = settr(139,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(139,2,136,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(139,2,138,0,0,"IF", 1, 2, 0);
	trans[0][136]	= settr(135,2,145,47,47,"((serving[k]&&(held[k]<low)))", 1, 2, 0); /* m: 137 -> 145,0 */
	reached0[137] = 1;
	trans[0][137]	= settr(0,0,0,0,0,"low = held[k]",0,0,0);
	trans[0][141]	= settr(140,2,142,1,0,".(goto)", 1, 2, 0); /* m: 142 -> 0,145 */
	reached0[142] = 1;
	trans[0][138]	= settr(137,2,139,2,0,"else", 1, 2, 0);
	trans[0][139]	= settr(138,2,145,48,48,"(1)", 1, 2, 0); /* m: 142 -> 145,0 */
	reached0[142] = 1;
	trans[0][142]	= settr(141,2,145,49,49,"k = (k+1)", 1, 2, 0);
	trans[0][143]	= settr(142,2,152,2,0,"else", 1, 2, 0);
	trans[0][144]	= settr(143,2,152,1,0,"goto :b8", 1, 2, 0);
	trans[0][147]	= settr(146,2,152,1,0,"break", 1, 2, 0);
	T = trans[0][152] = settr(151,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(151,2,148,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(151,2,150,0,0,"IF", 1, 2, 0);
	trans[0][148]	= settr(147,2,160,50,50,"(((low!=255)&&(low>everywhere)))", 1, 2, 0); /* m: 149 -> 160,0 */
	reached0[149] = 1;
	trans[0][149]	= settr(0,0,0,0,0,"everywhere = low",0,0,0);
	trans[0][153]	= settr(152,2,154,1,0,".(goto)", 1, 2, 0); /* m: 154 -> 0,160 */
	reached0[154] = 1;
	trans[0][150]	= settr(149,2,151,2,0,"else", 1, 2, 0);
	trans[0][151]	= settr(150,2,160,51,51,"(1)", 1, 2, 0); /* m: 154 -> 160,0 */
	reached0[154] = 1;
	trans[0][154]	= settr(153,2,160,52,52,"k = 0", 1, 2, 0);
	trans[0][161]	= settr(160,2,160,1,0,".(goto)", 1, 2, 0);
	T = trans[0][160] = settr(159,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(159,2,155,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(159,2,158,0,0,"DO", 1, 2, 0);
	trans[0][155]	= settr(154,2,160,53,53,"((k<3))", 1, 2, 0); /* m: 156 -> 160,0 */
	reached0[156] = 1;
	trans[0][156]	= settr(0,0,0,0,0,"assert((!(serving[k])||(held[k]>=everywhere)))",0,0,0);
	trans[0][157]	= settr(0,0,0,0,0,"k = (k+1)",0,0,0);
	trans[0][158]	= settr(157,2,163,2,0,"else", 1, 2, 0);
	trans[0][159]	= settr(158,2,163,1,0,"goto :b9", 1, 2, 0); /* m: 163 -> 0,305 */
	reached0[163] = 1;
	trans[0][162]	= settr(161,2,163,1,0,"break", 1, 2, 0);
	trans[0][163]	= settr(162,0,305,54,54,"low = 0", 1, 2, 0); /* m: 164 -> 0,305 */
	reached0[164] = 1;
	trans[0][164]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][166]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][167]	= settr(0,0,0,0,0,"before = 0",0,0,0);
/*->*/	trans[0][172]	= settr(171,32,305,55,55,"D_STEP163", 1, 2, 0);
/*->*/	trans[0][176]	= settr(175,32,305,56,56,"D_STEP164", 1, 2, 0);
/*->*/	trans[0][180]	= settr(179,32,305,57,57,"D_STEP165", 1, 2, 0);
	T = trans[ 0][213] = settr(212,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(212,2,181,0,0,"ATOMIC", 1, 2, 0);
	trans[0][181]	= settr(180,2,186,58,58,"((restarts>0))", 1, 2, 0); /* m: 182 -> 186,0 */
	reached0[182] = 1;
	trans[0][182]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][187]	= settr(186,2,186,1,0,".(goto)", 1, 2, 0);
	T = trans[0][186] = settr(185,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(185,2,185,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(185,2,183,0,0,"DO", 1, 2, 0);
	trans[0][185]	= settr(184,2,205,1,0,"goto :b10", 1, 2, 0);
	trans[0][183]	= settr(182,2,186,59,59,"((i<(3-1)))", 1, 2, 0); /* m: 184 -> 186,0 */
	reached0[184] = 1;
	trans[0][184]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][188]	= settr(187,2,205,1,0,"break", 1, 2, 0);
	T = trans[ 0][205] = settr(204,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(204,0,189,0,0,"sub-sequence", 1, 2, 0);
	trans[0][189]	= settr(188,2,201,60,60,"others = 0", 1, 2, 0); /* m: 190 -> 0,201 */
	reached0[190] = 1;
	trans[0][190]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][202]	= settr(201,2,201,1,0,".(goto)", 1, 2, 0);
	T = trans[0][201] = settr(200,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(200,2,191,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(200,2,199,0,0,"DO", 1, 2, 0);
	trans[0][191]	= settr(190,2,196,61,0,"((k<3))", 1, 2, 0);
	T = trans[0][196] = settr(195,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(195,2,192,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(195,2,194,0,0,"IF", 1, 2, 0);
	trans[0][192]	= settr(191,2,201,62,62,"(((k!=i)&&serving[k]))", 1, 2, 0); /* m: 193 -> 201,0 */
	reached0[193] = 1;
	trans[0][193]	= settr(0,0,0,0,0,"others = (others+1)",0,0,0);
	trans[0][197]	= settr(196,2,198,1,0,".(goto)", 1, 2, 0); /* m: 198 -> 0,201 */
	reached0[198] = 1;
	trans[0][194]	= settr(193,2,195,2,0,"else", 1, 2, 0);
	trans[0][195]	= settr(194,2,201,63,63,"(1)", 1, 2, 0); /* m: 198 -> 201,0 */
	reached0[198] = 1;
	trans[0][198]	= settr(197,2,201,64,64,"k = (k+1)", 1, 2, 0);
	trans[0][199]	= settr(198,2,204,2,0,"else", 1, 2, 0);
	trans[0][200]	= settr(199,2,204,1,0,"goto :b11", 1, 2, 0); /* m: 204 -> 0,206 */
	reached0[204] = 1;
	trans[0][203]	= settr(202,2,204,1,0,"break", 1, 2, 0);
	trans[0][204]	= settr(203,2,206,65,65,"k = 0", 1, 2, 0);
	trans[0][206]	= settr(205,0,305,66,66,"((others>0))", 1, 2, 0); /* m: 207 -> 305,0 */
	reached0[207] = 1;
	trans[0][207]	= settr(0,0,0,0,0,"restarts = (restarts-1)",0,0,0);
	trans[0][208]	= settr(0,0,0,0,0,"held[i] = 0",0,0,0);
	trans[0][209]	= settr(0,0,0,0,0,"serving[i] = 0",0,0,0);
	trans[0][210]	= settr(0,0,0,0,0,"asked[i] = 0",0,0,0);
	trans[0][211]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][212]	= settr(0,0,0,0,0,"others = 0",0,0,0);
	T = trans[ 0][239] = settr(238,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(238,2,214,0,0,"ATOMIC", 1, 2, 0);
	trans[0][214]	= settr(213,2,218,67,67,"i = 0", 1, 2, 0);
	trans[0][219]	= settr(218,2,218,1,0,".(goto)", 1, 2, 0);
	T = trans[0][218] = settr(217,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(217,2,217,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(217,2,215,0,0,"DO", 1, 2, 0);
	trans[0][217]	= settr(216,2,225,68,68,"goto :b12", 1, 2, 0); /* m: 221 -> 0,225 */
	reached0[221] = 1;
	trans[0][215]	= settr(214,2,218,69,69,"((i<(3-1)))", 1, 2, 0); /* m: 216 -> 218,0 */
	reached0[216] = 1;
	trans[0][216]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][220]	= settr(219,2,221,1,0,"break", 1, 2, 0);
	trans[0][221]	= settr(220,2,225,70,70,"j = 0", 1, 2, 0);
	trans[0][226]	= settr(225,2,225,1,0,".(goto)", 1, 2, 0);
	T = trans[0][225] = settr(224,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(224,2,224,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(224,2,222,0,0,"DO", 1, 2, 0);
	trans[0][224]	= settr(223,2,228,1,0,"goto :b13", 1, 2, 0);
	trans[0][222]	= settr(221,2,225,71,71,"((j<(3-1)))", 1, 2, 0); /* m: 223 -> 225,0 */
	reached0[223] = 1;
	trans[0][223]	= settr(0,0,0,0,0,"j = (j+1)",0,0,0);
	trans[0][227]	= settr(226,2,228,1,0,"break", 1, 2, 0);
	trans[0][228]	= settr(227,2,235,72,0,"(((((i!=j)&&!(asked[i]))&&serving[j])&&!(cut[i])))", 1, 2, 0);
	T = trans[ 0][235] = settr(234,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(234,0,233,0,0,"sub-sequence", 1, 2, 0);
	T = trans[0][233] = settr(232,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(232,2,229,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(232,2,231,0,0,"IF", 1, 2, 0);
	trans[0][229]	= settr(228,0,305,73,73,"((held[j]>held[i]))", 1, 2, 0); /* m: 230 -> 305,0 */
	reached0[230] = 1;
	trans[0][230]	= settr(0,0,0,0,0,"held[i] = held[j]",0,0,0);
	trans[0][234]	= settr(233,2,236,1,0,".(goto)", 1, 2, 0); /* m: 236 -> 0,305 */
	reached0[236] = 1;
	trans[0][231]	= settr(230,2,232,2,0,"else", 1, 2, 0);
	trans[0][232]	= settr(231,0,305,74,74,"(1)", 1, 2, 0); /* m: 236 -> 305,0 */
	reached0[236] = 1;
	trans[0][236]	= settr(235,0,305,75,75,"asked[i] = 1", 1, 2, 0); /* m: 237 -> 0,305 */
	reached0[237] = 1;
	trans[0][237]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][238]	= settr(0,0,0,0,0,"j = 0",0,0,0);
	T = trans[ 0][283] = settr(282,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(282,2,240,0,0,"ATOMIC", 1, 2, 0);
	trans[0][240]	= settr(239,2,244,76,76,"i = 0", 1, 2, 0);
	trans[0][245]	= settr(244,2,244,1,0,".(goto)", 1, 2, 0);
	T = trans[0][244] = settr(243,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(243,2,243,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(243,2,241,0,0,"DO", 1, 2, 0);
	trans[0][243]	= settr(242,2,247,1,0,"goto :b14", 1, 2, 0);
	trans[0][241]	= settr(240,2,244,77,77,"((i<(3-1)))", 1, 2, 0); /* m: 242 -> 244,0 */
	reached0[242] = 1;
	trans[0][242]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][246]	= settr(245,2,247,1,0,"break", 1, 2, 0);
	trans[0][247]	= settr(246,2,281,78,78,"((!(serving[i])&&asked[i]))", 1, 2, 0); /* m: 248 -> 281,0 */
	reached0[248] = 1;
	trans[0][248]	= settr(0,0,0,0,0,"serving[i] = 1",0,0,0);
	T = trans[ 0][281] = settr(280,0,0,0,0,"sub-sequence", 1, 2, 0);
	T->nxt	= settr(280,0,249,0,0,"sub-sequence", 1, 2, 0);
	trans[0][249]	= settr(248,2,261,79,79,"low = 255", 1, 2, 0); /* m: 250 -> 0,261 */
	reached0[250] = 1;
	trans[0][250]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][262]	= settr(261,2,261,1,0,".(goto)", 1, 2, 0);
	T = trans[0][261] = settr(260,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(260,2,251,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(260,2,259,0,0,"DO", 1, 2, 0);
	trans[0][251]	= settr(250,2,256,80,0,"((k<3))", 1, 2, 0);
	T = trans[0][256] = settr(255,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(255,2,252,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(255,2,254,0,0,"IF", 1, 2, 0);
	trans[0][252]	= settr(251,2,261,81,81,"((serving[k]&&(held[k]<low)))", 1, 2, 0); /* m: 253 -> 261,0 */
	reached0[253] = 1;
	trans[0][253]	= settr(0,0,0,0,0,"low = held[k]",0,0,0);
	trans[0][257]	= settr(256,2,258,1,0,".(goto)", 1, 2, 0); /* m: 258 -> 0,261 */
	reached0[258] = 1;
	trans[0][254]	= settr(253,2,255,2,0,"else", 1, 2, 0);
	trans[0][255]	= settr(254,2,261,82,82,"(1)", 1, 2, 0); /* m: 258 -> 261,0 */
	reached0[258] = 1;
	trans[0][258]	= settr(257,2,261,83,83,"k = (k+1)", 1, 2, 0);
	trans[0][259]	= settr(258,2,268,2,0,"else", 1, 2, 0);
	trans[0][260]	= settr(259,2,268,1,0,"goto :b15", 1, 2, 0);
	trans[0][263]	= settr(262,2,268,1,0,"break", 1, 2, 0);
	T = trans[0][268] = settr(267,2,0,0,0,"IF", 1, 2, 0);
	T = T->nxt	= settr(267,2,264,0,0,"IF", 1, 2, 0);
	    T->nxt	= settr(267,2,266,0,0,"IF", 1, 2, 0);
	trans[0][264]	= settr(263,2,276,84,84,"(((low!=255)&&(low>everywhere)))", 1, 2, 0); /* m: 265 -> 276,0 */
	reached0[265] = 1;
	trans[0][265]	= settr(0,0,0,0,0,"everywhere = low",0,0,0);
	trans[0][269]	= settr(268,2,270,1,0,".(goto)", 1, 2, 0); /* m: 270 -> 0,276 */
	reached0[270] = 1;
	trans[0][266]	= settr(265,2,267,2,0,"else", 1, 2, 0);
	trans[0][267]	= settr(266,2,276,85,85,"(1)", 1, 2, 0); /* m: 270 -> 276,0 */
	reached0[270] = 1;
	trans[0][270]	= settr(269,2,276,86,86,"k = 0", 1, 2, 0);
	trans[0][277]	= settr(276,2,276,1,0,".(goto)", 1, 2, 0);
	T = trans[0][276] = settr(275,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(275,2,271,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(275,2,274,0,0,"DO", 1, 2, 0);
	trans[0][271]	= settr(270,2,276,87,87,"((k<3))", 1, 2, 0); /* m: 272 -> 276,0 */
	reached0[272] = 1;
	trans[0][272]	= settr(0,0,0,0,0,"assert((!(serving[k])||(held[k]>=everywhere)))",0,0,0);
	trans[0][273]	= settr(0,0,0,0,0,"k = (k+1)",0,0,0);
	trans[0][274]	= settr(273,2,279,2,0,"else", 1, 2, 0);
	trans[0][275]	= settr(274,2,279,1,0,"goto :b16", 1, 2, 0); /* m: 279 -> 0,305 */
	reached0[279] = 1;
	trans[0][278]	= settr(277,2,279,1,0,"break", 1, 2, 0);
	trans[0][279]	= settr(278,0,305,88,88,"low = 0", 1, 2, 0); /* m: 280 -> 0,305 */
	reached0[280] = 1;
	trans[0][280]	= settr(0,0,0,0,0,"k = 0",0,0,0);
	trans[0][282]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][295] = settr(294,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(294,2,284,0,0,"ATOMIC", 1, 2, 0);
	trans[0][284]	= settr(283,2,289,89,89,"((cuts>0))", 1, 2, 0); /* m: 285 -> 289,0 */
	reached0[285] = 1;
	trans[0][285]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	trans[0][290]	= settr(289,2,289,1,0,".(goto)", 1, 2, 0);
	T = trans[0][289] = settr(288,2,0,0,0,"DO", 1, 2, 0);
	T = T->nxt	= settr(288,2,288,0,0,"DO", 1, 2, 0);
	    T->nxt	= settr(288,2,286,0,0,"DO", 1, 2, 0);
	trans[0][288]	= settr(287,0,305,90,90,"goto :b17", 1, 2, 0); /* m: 292 -> 0,305 */
	reached0[292] = 1;
	trans[0][286]	= settr(285,2,289,91,91,"((i<(3-1)))", 1, 2, 0); /* m: 287 -> 289,0 */
	reached0[287] = 1;
	trans[0][287]	= settr(0,0,0,0,0,"i = (i+1)",0,0,0);
	trans[0][291]	= settr(290,2,292,1,0,"break", 1, 2, 0);
	trans[0][292]	= settr(291,0,305,92,92,"cut[i] = 1", 1, 2, 0); /* m: 293 -> 0,305 */
	reached0[293] = 1;
	trans[0][293]	= settr(0,0,0,0,0,"cuts = (cuts-1)",0,0,0);
	trans[0][294]	= settr(0,0,0,0,0,"i = 0",0,0,0);
	T = trans[ 0][300] = settr(299,2,0,0,0,"ATOMIC", 1, 2, 0);
	T->nxt	= settr(299,2,296,0,0,"ATOMIC", 1, 2, 0);
	trans[0][296]	= settr(295,0,305,93,93,"(((cut[0]||cut[1])||cut[2]))", 1, 2, 0); /* m: 297 -> 305,0 */
	reached0[297] = 1;
	trans[0][297]	= settr(0,0,0,0,0,"cut[0] = 0",0,0,0);
	trans[0][298]	= settr(0,0,0,0,0,"cut[1] = 0",0,0,0);
	trans[0][299]	= settr(0,0,0,0,0,"cut[2] = 0",0,0,0);
	trans[0][301]	= settr(300,0,302,94,0,"(timeout)", 1, 3000, 0);
	trans[0][302]	= settr(301,0,303,95,0,"assert((((held[0]==7)&&(held[1]==7))&&(held[2]==7)))", 1, 2, 0);
	trans[0][303]	= settr(302,0,308,96,0,"assert(((serving[0]&&serving[1])&&serving[2]))", 1, 2, 0);
	trans[0][304]	= settr(303,0,308,1,0,"goto :b1", 0, 2, 0);
	trans[0][307]	= settr(306,0,308,1,0,"break", 0, 2, 0);
	trans[0][308]	= settr(307,0,0,97,97,"-end-", 0, 3500, 0);
	/* np_ demon: */
	trans[_NP_] = (Trans **) emalloc(3*sizeof(Trans *));
	T = trans[_NP_][0] = settr(9997,0,1,_T5,0,"(np_)", 1,2,0);
	    T->nxt	  = settr(9998,0,0,_T2,0,"(1)",   0,2,0);
	T = trans[_NP_][1] = settr(9999,0,1,_T5,0,"(np_)", 1,2,0);
}

Trans *
settr(	int t_id, int a, int b, int c, int d,
	char *t, int g, int tpe0, int tpe1)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	tmp->atom  = a&(6|32);	/* only (2|8|32) have meaning */
	if (!g) tmp->atom |= 8;	/* no global references */
	tmp->st    = b;
	tmp->tpe[0] = tpe0;
	tmp->tpe[1] = tpe1;
	tmp->tp    = t;
	tmp->t_id  = t_id;
	tmp->forw  = c;
	tmp->back  = d;
	return tmp;
}

Trans *
cpytr(Trans *a)
{	Trans *tmp = (Trans *) emalloc(sizeof(Trans));

	int i;
	tmp->atom  = a->atom;
	tmp->st    = a->st;
#ifdef HAS_UNLESS
	tmp->e_trans = a->e_trans;
	for (i = 0; i < HAS_UNLESS; i++)
		tmp->escp[i] = a->escp[i];
#endif
	tmp->tpe[0] = a->tpe[0];
	tmp->tpe[1] = a->tpe[1];
	for (i = 0; i < 6; i++)
	{	tmp->qu[i] = a->qu[i];
		tmp->ty[i] = a->ty[i];
	}
	tmp->tp    = (char *) emalloc(strlen(a->tp)+1);
	strcpy(tmp->tp, a->tp);
	tmp->t_id  = a->t_id;
	tmp->forw  = a->forw;
	tmp->back  = a->back;
	return tmp;
}

#ifndef NOREDUCE
int
srinc_set(int n)
{	if (n <= 2) return LOCAL;
	if (n <= 2+  DELTA) return Q_FULL_F; /* 's' or nfull  */
	if (n <= 2+2*DELTA) return Q_EMPT_F; /* 'r' or nempty */
	if (n <= 2+3*DELTA) return Q_EMPT_T; /* empty */
	if (n <= 2+4*DELTA) return Q_FULL_T; /* full  */
	if (n ==   5*DELTA) return GLOBAL;
	if (n ==   6*DELTA) return TIMEOUT_F;
	if (n ==   7*DELTA) return ALPHA_F;
	Uerror("cannot happen srinc_class");
	return BAD;
}
int
srunc(int n, int m)
{	switch(m) {
	case Q_FULL_F: return n-2;
	case Q_EMPT_F: return n-2-DELTA;
	case Q_EMPT_T: return n-2-2*DELTA;
	case Q_FULL_T: return n-2-3*DELTA;
	case ALPHA_F:
	case TIMEOUT_F: return 257; /* non-zero, and > MAXQ */
	}
	Uerror("cannot happen srunc");
	return 0;
}
#endif
int cnt;
#ifdef HAS_UNLESS
int
isthere(Trans *a, int b)
{	Trans *t;
	for (t = a; t; t = t->nxt)
		if (t->t_id == b)
			return 1;
	return 0;
}
#endif
#ifndef NOREDUCE
int
mark_safety(Trans *t) /* for conditional safety */
{	int g = 0, i, j, k;

	if (!t) return 0;
	if (t->qu[0])
		return (t->qu[1])?2:1;	/* marked */

	for (i = 0; i < 2; i++)
	{	j = srinc_set(t->tpe[i]);
		if (j >= GLOBAL && j != ALPHA_F)
			return -1;
		if (j != LOCAL)
		{	k = srunc(t->tpe[i], j);
			if (g == 0
			||  t->qu[0] != k
			||  t->ty[0] != j)
			{	t->qu[g] = k;
				t->ty[g] = j;
				g++;
	}	}	}
	return g;
}
#endif
void
retrans(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
	/* process n, with m states, is=initial state */
{	Trans *T0, *T1, *T2, *T3;
	Trans *T4, *T5; /* t_reverse or has_unless */
	int i;
#if defined(HAS_UNLESS) || !defined(NOREDUCE)
	int k;
#endif
#ifndef NOREDUCE
	int g, h, j, aa;
#endif
#ifdef HAS_UNLESS
	int p;
#endif
	if (state_tables >= 4)
	{	printf("STEP 1 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	do {
		for (i = 1, cnt = 0; i < m; i++)
		{	T2 = trans[n][i];
			T1 = T2?T2->nxt:(Trans *)0;
/* prescan: */		for (T0 = T1; T0; T0 = T0->nxt)
/* choice in choice */	{	if (T0->st && trans[n][T0->st]
				&&  trans[n][T0->st]->nxt)
					break;
			}
#if 0
		if (T0)
		printf("\tstate %d / %d: choice in choice\n",
		i, T0->st);
#endif
			if (T0)
			for (T0 = T1; T0; T0 = T0->nxt)
			{	T3 = trans[n][T0->st];
				if (!T3->nxt)
				{	T2->nxt = cpytr(T0);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
					continue;
				}
				do {	T3 = T3->nxt;
					T2->nxt = cpytr(T3);
					T2 = T2->nxt;
					imed(T2, T0->st, n, i);
				} while (T3->nxt);
				cnt++;
			}
		}
	} while (cnt);
	if (state_tables >= 3)
	{	printf("STEP 2 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
	for (i = 1; i < m; i++)
	{	if (trans[n][i] && trans[n][i]->nxt) /* optimize */
		{	T1 = trans[n][i]->nxt;
#if 0
			printf("\t\tpull %d (%d) to %d\n",
			T1->st, T1->forw, i);
#endif
			srcln[i] = srcln[T1->st];	/* Oyvind Teig, 5.2.0 */

			if (!trans[n][T1->st]) continue;
			T0 = cpytr(trans[n][T1->st]);
			trans[n][i] = T0;
			reach[T1->st] = 1;
			imed(T0, T1->st, n, i);
			for (T1 = T1->nxt; T1; T1 = T1->nxt)
			{
#if 0
			printf("\t\tpull %d (%d) to %d\n",
				T1->st, T1->forw, i);
#endif
		/*		srcln[i] = srcln[T1->st];  gh: not useful */
				if (!trans[n][T1->st]) continue;
				T0->nxt = cpytr(trans[n][T1->st]);
				T0 = T0->nxt;
				reach[T1->st] = 1;
				imed(T0, T1->st, n, i);
	}	}	}
	if (state_tables >= 2)
	{	printf("STEP 3 %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
		return;
	}
#ifdef HAS_UNLESS
	for (i = 1; i < m; i++)
	{	if (!trans[n][i]) continue;
		/* check for each state i if an
		 * escape to some state p is defined
		 * if so, copy and mark p's transitions
		 * and prepend them to the transition-
		 * list of state i
		 */
	 if (!like_java) /* the default */
	 {	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->e_trans = p;
				T2->nxt = trans[n][i];
				trans[n][i] = T2;
		}	}
	 } else /* outermost unless checked first */
	 {	T4 = T3 = (Trans *) 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		for (k = HAS_UNLESS-1; k >= 0; k--)
		{	if (p = T0->escp[k])
			for (T1 = trans[n][p]; T1; T1 = T1->nxt)
			{	if (isthere(trans[n][i], T1->t_id))
					continue;
				T2 = cpytr(T1);
				T2->nxt = (Trans *) 0;
				T2->e_trans = p;
				if (T3)	T3->nxt = T2;
				else	T4 = T2;
				T3 = T2;
		}	}
		if (T4)
		{	T3->nxt = trans[n][i];
			trans[n][i] = T4;
		}
	 }
	}
#endif
#ifndef NOREDUCE
	for (i = 1; i < m; i++)
	{	if (a_cycles)
		{ /* moves through these states are visible */
	#if PROG_LAB>0 && defined(HAS_NP)
			if (progstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (progstate[n][T1->st])
					goto degrade;
	#endif
			if (accpstate[n][i] || visstate[n][i])
				goto degrade;
			for (T1 = trans[n][i]; T1; T1 = T1->nxt)
				if (accpstate[n][T1->st])
					goto degrade;
		}
		T1 = trans[n][i];
		if (!T1) continue;
		g = mark_safety(T1);	/* V3.3.1 */
		if (g < 0) goto degrade; /* global */
		/* check if mixing of guards preserves reduction */
		if (T1->nxt)
		{	k = 0;
			for (T0 = T1; T0; T0 = T0->nxt)
			{	if (!(T0->atom&8))
					goto degrade;
				for (aa = 0; aa < 2; aa++)
				{	j = srinc_set(T0->tpe[aa]);
					if (j >= GLOBAL && j != ALPHA_F)
						goto degrade;
					if (T0->tpe[aa]
					&&  T0->tpe[aa]
					!=  T1->tpe[0])
						k = 1;
			}	}
			/* g = 0;	V3.3.1 */
			if (k)	/* non-uniform selection */
			for (T0 = T1; T0; T0 = T0->nxt)
			for (aa = 0; aa < 2; aa++)
			{	j = srinc_set(T0->tpe[aa]);
				if (j != LOCAL)
				{	k = srunc(T0->tpe[aa], j);
					for (h = 0; h < 6; h++)
						if (T1->qu[h] == k
						&&  T1->ty[h] == j)
							break;
					if (h >= 6)
					{	T1->qu[g%6] = k;
						T1->ty[g%6] = j;
						g++;
			}	}	}
			if (g > 6)
			{	T1->qu[0] = 0;	/* turn it off */
				printf("pan: warning, line %d, ",
					srcln[i]);
			 	printf("too many stmnt types (%d)",
					g);
			  	printf(" in selection\n");
			  goto degrade;
			}
		}
		/* mark all options global if >=1 is global */
		for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			if (!(T1->atom&8)) break;
		if (T1)
degrade:	for (T1 = trans[n][i]; T1; T1 = T1->nxt)
			T1->atom &= ~8;	/* mark as unsafe */
		/* can only mix 'r's or 's's if on same chan */
		/* and not mixed with other local operations */
		T1 = trans[n][i];
		if (!T1 || T1->qu[0]) continue;
		j = T1->tpe[0];
		if (T1->nxt && T1->atom&8)
		{ if (j == 5*DELTA)
		  {	printf("warning: line %d ", srcln[i]);
			printf("mixed condition ");
			printf("(defeats reduction)\n");
			goto degrade;
		  }
		  for (T0 = T1; T0; T0 = T0->nxt)
		  for (aa = 0; aa < 2; aa++)
		  if  (T0->tpe[aa] && T0->tpe[aa] != j)
		  {	printf("warning: line %d ", srcln[i]);
			printf("[%d-%d] mixed %stion ",
				T0->tpe[aa], j, 
				(j==5*DELTA)?"condi":"selec");
			printf("(defeats reduction)\n");
			printf("	'%s' <-> '%s'\n",
				T1->tp, T0->tp);
			goto degrade;
		} }
	}
#endif
	for (i = 1; i < m; i++)
	{	T2 = trans[n][i];
		if (!T2
		||  T2->nxt
		||  strncmp(T2->tp, ".(goto)", 7)
		||  !stopstate[n][i])
			continue;
		stopstate[n][T2->st] = 1;
	}
	if (state_tables && !verbose)
	{	if (dodot)
		{	char buf[256], *q = buf, *p = procname[n];
			while (*p != '\0')
			{	if (*p != ':')
				{	*q++ = *p;
				}
				p++;
			}
			*q = '\0';
			printf("digraph ");
			switch (Btypes[n]) {
			case I_PROC:  printf("init {\n"); break;
			case N_CLAIM: printf("claim_%s {\n", buf); break;
			case E_TRACE: printf("notrace {\n"); break;
			case N_TRACE: printf("trace {\n"); break;
			default:      printf("p_%s {\n", buf); break;
			}
			printf("size=\"8,10\";\n");
			printf("  GT [shape=box,style=dotted,label=\"%s\"];\n", buf);
			printf("  GT -> S%d;\n", is);
		} else
		{	switch (Btypes[n]) {
			case I_PROC:  printf("init\n"); break;
			case N_CLAIM: printf("claim %s\n", procname[n]); break;
			case E_TRACE: printf("notrace assertion\n"); break;
			case N_TRACE: printf("trace assertion\n"); break;
			default:      printf("proctype %s\n", procname[n]); break;
		}	}
		for (i = 1; i < m; i++)
		{	reach[i] = 1;
		}
		tagtable(n, m, is, srcln, reach);
		if (dodot) printf("}\n");
	} else
	for (i = 1; i < m; i++)
	{	int nrelse;
		if (Btypes[n] != N_CLAIM)
		{	for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			{	if (T0->st == i
				&& strcmp(T0->tp, "(1)") == 0)
				{	printf("error: proctype '%s' ",
						procname[n]);
		  			printf("line %d, state %d: has un",
						srcln[i], i);
					printf("conditional self-loop\n");
					pan_exit(1);
		}	}	}
		nrelse = 0;
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
		{	if (strcmp(T0->tp, "else") == 0)
				nrelse++;
		}
		if (nrelse > 1)
		{	printf("error: proctype '%s' state",
				procname[n]);
		  	printf(" %d, inherits %d", i, nrelse);
		  	printf(" 'else' stmnts\n");
			pan_exit(1);
	}	}
#if !defined(LOOPSTATE) && !defined(BFS_PAR)
	if (state_tables)
#endif
	do_dfs(n, m, is, srcln, reach, lpstate);

	if (!t_reverse)
	{	return;
	}
	/* process n, with m states, is=initial state -- reverse list */
	if (!state_tables && Btypes[n] != N_CLAIM)
	{	for (i = 1; i < m; i++)
		{	Trans *Tx = (Trans *) 0; /* list of escapes */
			Trans *Ty = (Trans *) 0; /* its tail element */
			T1 = (Trans *) 0; /* reversed list */
			T2 = (Trans *) 0; /* its tail */
			T3 = (Trans *) 0; /* remembers possible 'else' */

			/* find unless-escapes, they should go first */
			T4 = T5 = T0 = trans[n][i];
	#ifdef HAS_UNLESS
			while (T4 && T4->e_trans) /* escapes are first in orig list */
			{	T5 = T4;	  /* remember predecessor */
				T4 = T4->nxt;
			}
	#endif
			/* T4 points to first non-escape, T5 to its parent, T0 to original list */
			if (T4 != T0)		 /* there was at least one escape */
			{	T3 = T5->nxt;		 /* start of non-escapes */
				T5->nxt = (Trans *) 0;	 /* separate */
				Tx = T0;		 /* start of the escapes */
				Ty = T5;		 /* its tail */
				T0 = T3;		 /* the rest, to be reversed */
			}
			/* T0 points to first non-escape, Tx to the list of escapes, Ty to its tail */

			/* first tail-add non-escape transitions, reversed */
			T3 = (Trans *) 0;
			for (T5 = T0; T5; T5 = T4)
			{	T4 = T5->nxt;
	#ifdef HAS_UNLESS
				if (T5->e_trans)
				{	printf("error: cannot happen!\n");
					continue;
				}
	#endif
				if (strcmp(T5->tp, "else") == 0)
				{	T3 = T5;
					T5->nxt = (Trans *) 0;
				} else
				{	T5->nxt = T1;
					if (!T1) { T2 = T5; }
					T1 = T5;
			}	}
			/* T3 points to a possible else, which is removed from the list */
			/* T1 points to the reversed list so far (without escapes) */
			/* T2 points to the tail element -- where the else should go */
			if (T2 && T3)
			{	T2->nxt = T3;	/* add else */
			} else
			{	if (T3) /* there was an else, but there's no tail */
				{	if (!T1)	/* and no reversed list */
					{	T1 = T3; /* odd, but possible */
					} else		/* even stranger */
					{	T1->nxt = T3;
			}	}	}

			/* add in the escapes, to that they appear at the front */
			if (Tx && Ty) { Ty->nxt = T1; T1 = Tx; }

			trans[n][i] = T1;
			/* reversed, with escapes first and else last */
	}	}
	if (state_tables && verbose)
	{	printf("FINAL proctype %s\n", 
			procname[n]);
		for (i = 1; i < m; i++)
		for (T0 = trans[n][i]; T0; T0 = T0->nxt)
			crack(n, i, T0, srcln);
	}
}
void
imed(Trans *T, int v, int n, int j)	/* set intermediate state */
{	progstate[n][T->st] |= progstate[n][v];
	accpstate[n][T->st] |= accpstate[n][v];
	stopstate[n][T->st] |= stopstate[n][v];
	mapstate[n][j] = T->st;
}
void
tagtable(int n, int m, int is, short srcln[], uchar reach[])
{	Trans *z;

	if (is >= m || !trans[n][is]
	||  is <= 0 || reach[is] == 0)
		return;
	reach[is] = 0;
	if (state_tables)
	for (z = trans[n][is]; z; z = z->nxt)
	{	if (dodot)
			dot_crack(n, is, z);
		else
			crack(n, is, z, srcln);
	}

	for (z = trans[n][is]; z; z = z->nxt)
	{
#ifdef HAS_UNLESS
		int i, j;
#endif
		tagtable(n, m, z->st, srcln, reach);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			tagtable(n, m, j, srcln, reach);
		}
#endif
	}
}

extern Trans *t_id_lkup[];

void
dfs_table(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	Trans *z;

	if (is >= m || is <= 0 || !trans[n][is])
		return;
	if ((reach[is] & (4|8|16)) != 0)
	{	if ((reach[is] & (8|16)) == 16)	/* on stack, not yet recorded */
		{	lpstate[is] = 1;
			reach[is] |= 8; /* recorded */
			if (state_tables && verbose)
			{	printf("state %d line %d is a loopstate\n", is, srcln[is]);
		}	}
		return;
	}
	reach[is] |= (4|16);	/* visited | onstack */
	for (z = trans[n][is]; z; z = z->nxt)
	{	t_id_lkup[z->t_id] = z;
#ifdef HAS_UNLESS
		int i, j;
#endif
		dfs_table(n, m, z->st, srcln, reach, lpstate);
#ifdef HAS_UNLESS
		for (i = 0; i < HAS_UNLESS; i++)
		{	j = trans[n][is]->escp[i];
			if (!j) break;
			dfs_table(n, m, j, srcln, reach, lpstate);
		}
#endif
	}
	reach[is] &= ~16; /* no longer on stack */
}
void
do_dfs(int n, int m, int is, short srcln[], uchar reach[], uchar lpstate[])
{	int i;
	dfs_table(n, m, is, srcln, reach, lpstate);
	for (i = 0; i < m; i++)
		reach[i] &= ~(4|8|16);
}
void
crack(int n, int j, Trans *z, short srcln[])
{	int i;

	if (!z) return;
	printf("	state %3d -(tr %3d)-> state %3d  ",
		j, z->forw, z->st);
	printf("[id %3d tp %3d", z->t_id, z->tpe[0]);
	if (z->tpe[1]) printf(",%d", z->tpe[1]);
#ifdef HAS_UNLESS
	if (z->e_trans)
		printf(" org %3d", z->e_trans);
	else if (state_tables >= 2)
	for (i = 0; i < HAS_UNLESS; i++)
	{	if (!z->escp[i]) break;
		printf(" esc %d", z->escp[i]);
	}
#endif
	printf("]");
	printf(" [%s%s%s%s%s] %s:%d => ",
		z->atom&6?"A":z->atom&32?"D":"-",
		accpstate[n][j]?"a" :"-",
		stopstate[n][j]?"e" : "-",
		progstate[n][j]?"p" : "-",
		z->atom & 8 ?"L":"G",
		PanSource, srcln[j]);
	for (i = 0; z->tp[i]; i++)
		if (z->tp[i] == '\n')
			printf("\\n");
		else
			putchar(z->tp[i]);
	if (verbose && z->qu[0])
	{	printf("\t[");
		for (i = 0; i < 6; i++)
			if (z->qu[i])
				printf("(%d,%d)",
				z->qu[i], z->ty[i]);
		printf("]");
	}
	printf("\n");
	fflush(stdout);
}
/* spin -a m.pml; cc -o pan pan.c; ./pan -D | dot -Tps > foo.ps; ps2pdf foo.ps */
void
dot_crack(int n, int j, Trans *z)
{	int i;

	if (!z) return;
	printf("	S%d -> S%d  [color=black", j, z->st);

	if (z->atom&6) printf(",style=dashed");
	else if (z->atom&32) printf(",style=dotted");
	else if (z->atom&8) printf(",style=solid");
	else printf(",style=bold");

	printf(",label=\"");
	for (i = 0; z->tp[i]; i++)
	{	if (z->tp[i] == '\\'
		&&  z->tp[i+1] == 'n')
		{	i++; printf(" ");
		} else
		{	putchar(z->tp[i]);
	}	}
	printf("\"];\n");
	if (accpstate[n][j]) printf("  S%d [color=red,style=bold];\n", j);
	else if (progstate[n][j]) printf("  S%d [color=green,style=bold];\n", j);
	if (stopstate[n][j]) printf("  S%d [color=blue,style=bold,shape=box];\n", j);
}

#ifdef VAR_RANGES
#define BYTESIZE	32	/* 2^8 : 2^3 = 256:8 = 32 */

typedef struct Vr_Ptr {
	char	*nm;
	uchar	vals[BYTESIZE];
	struct Vr_Ptr *nxt;
} Vr_Ptr;
Vr_Ptr *ranges = (Vr_Ptr *) 0;

void
logval(char *s, int v)
{	Vr_Ptr *tmp;

	if (v<0 || v > 255) return;
	for (tmp = ranges; tmp; tmp = tmp->nxt)
		if (!strcmp(tmp->nm, s))
			goto found;
	tmp = (Vr_Ptr *) emalloc(sizeof(Vr_Ptr));
	tmp->nxt = ranges;
	ranges = tmp;
	tmp->nm = s;
found:
	tmp->vals[(v)/8] |= 1<<((v)%8);
}

void
dumpval(uchar X[], int range)
{	int w, x, i, j = -1;

	for (w = i = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
from:		if ((X[w] & (1<<x)))
		{	printf("%d", i);
			j = i;
			goto upto;
	}	}
	return;
	for (w = 0; w < range; w++)
	for (x = 0; x < 8; x++, i++)
	{
upto:		if (!(X[w] & (1<<x)))
		{	if (i-1 == j)
				printf(", ");
			else
				printf("-%d, ", i-1);
			goto from;
	}	}
	if (j >= 0 && j != 255)
		printf("-255");
}

void
dumpranges(void)
{	Vr_Ptr *tmp;
	printf("\nValues assigned within ");
	printf("interval [0..255]:\n");
	for (tmp = ranges; tmp; tmp = tmp->nxt)
	{	printf("\t%s\t: ", tmp->nm);
		dumpval(tmp->vals, BYTESIZE);
		printf("\n");
	}
}
#endif
