package consensus

// VoteAnswer is what a voter last answered to the vote requests of this member, since
// this member last heard from a leader.
type VoteAnswer struct {
	Voter Member
	// Answered is false if no answer has arrived.
	Answered bool
	Granted  bool
	// Refusal says why the vote was not granted.
	Refusal Refusal
	// Unanswered is the number of requests since the last answer.
	Unanswered int
}

// Campaign is how far a member without a leader has come in becoming the leader.
type Campaign struct {
	// Eligible reports whether this member may become leader.
	Eligible bool
	// LastIndex and LastTerm are those of the last entry of its log.
	LastIndex, LastTerm uint64
	// Answers has an element for each other voter of its membership.
	Answers []VoteAnswer
}

// Campaign returns the state of this member's campaign.
func (r *Raft) Campaign() Campaign {
	c := Campaign{Eligible: r.canCampaign(), LastIndex: r.log.lastIndex(), LastTerm: r.log.lastTerm()}
	for _, m := range r.membership.Voters {
		if m == r.cfg.Self {
			continue
		}
		answer := VoteAnswer{Voter: m}
		if known := r.answers[m]; known != nil {
			answer = *known
		}
		c.Answers = append(c.Answers, answer)
	}
	return c
}

// voteAnswers holds the latest answer of each voter that was asked.
type voteAnswers map[Member]*VoteAnswer

func (a voteAnswers) recordRequest(m Member) {
	if a[m] == nil {
		a[m] = &VoteAnswer{Voter: m}
	}
	a[m].Unanswered++
}

// recordReply ignores replies of members that were not asked.
func (a voteAnswers) recordReply(m Message) {
	answer := a[m.From]
	if answer == nil {
		return
	}
	answer.Answered, answer.Unanswered = true, 0
	answer.Granted, answer.Refusal = m.VoteReply.Granted, m.VoteReply.Refusal
}
