package consensus

import "time"

func (r *Raft) becomeFollower(now time.Duration, term uint64, leader Member) {
	if term > r.term {
		r.term = term
		r.vote = Member{}
	}
	if r.role != Follower {
		r.resetElectionDeadline(now)
	}
	r.role = Follower
	r.leader = leader
	r.votes = nil
	r.progress = nil
	r.transferee = Member{}
	r.transferRequested = false
}

// recordLeaderContact handles evidence that leader leads the current term.
func (r *Raft) recordLeaderContact(now time.Duration, leader Member) {
	if r.role == Leader {
		panic("consensus: two leaders in one term: " + leader.String())
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(now, r.term, leader)
	}
	r.lastLeaderContact = now
	r.electionAttempts = 0
	r.answers = nil
	// The leader sends nothing during its steps, which are assumed to be as slow.
	r.waitForElection(now, r.electionTimeout()+r.stepTime)
}

// startPreVote asks the voters whether they would elect this member. The term is
// incremented only after a majority agrees, so that a member that was partitioned
// away does not depose a working leader when it returns. A pre-vote changes no
// state at the receivers and is therefore retried after one to two heartbeats:
// other voters may notice the loss of the leader a little later.
func (r *Raft) startPreVote(now time.Duration) {
	if !r.canCampaign() {
		r.leader = Member{}
		return
	}
	r.role = PreCandidate
	r.leader = Member{}
	r.transferRequested = false
	r.votes = map[Member]bool{r.cfg.Self: true}
	if r.hasElectionQuorum() {
		r.startElection(now)
		return
	}
	r.requestVotes(r.term+1, VoteRequest{Pre: true})
	r.waitForElection(now, r.cfg.Heartbeat+r.cfg.Jitter(r.cfg.Heartbeat))
}

// canCampaign reports whether this member may become leader. A voter whose removal
// is in its own log but not yet committed still may: it can be the only member
// whose log is up to date enough to win a majority.
func (r *Raft) canCampaign() bool {
	return r.membership.IsVoter(r.cfg.Self) || r.membershipAt(r.commit).IsVoter(r.cfg.Self)
}

// startElection increments the term and requests binding votes. The timeout doubles
// with each attempt, because voters sync a vote before they reply: with a fixed
// timeout shorter than that delay, every election would be lost.
func (r *Raft) startElection(now time.Duration) {
	r.role = Candidate
	r.leader = Member{}
	r.term++
	r.vote = r.cfg.Self
	r.votes = map[Member]bool{r.cfg.Self: true}
	if r.hasElectionQuorum() {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(r.term, VoteRequest{Transfer: r.transferRequested})
	timeout := min(r.cfg.Heartbeat<<min(r.electionAttempts, maxBackoffDoublings), r.cfg.ElectionTimeout)
	r.waitForElection(now, timeout+r.cfg.Jitter(timeout))
	r.electionAttempts++
}

// maxBackoffDoublings limits the shift of the backoff in startElection; the
// election timeout caps the result earlier.
const maxBackoffDoublings = 10

func (r *Raft) requestVotes(term uint64, v VoteRequest) {
	v.LastIndex, v.LastTerm = r.log.lastIndex(), r.log.lastTerm()
	if r.answers == nil {
		r.answers = make(voteAnswers)
	}
	for _, m := range r.membership.Voters {
		if m != r.cfg.Self {
			r.answers.recordRequest(m)
			r.send(Message{To: m, Term: term, Vote: &v})
		}
	}
}

// hasElectionQuorum reports whether a majority of voters granted its vote. Votes
// are matched by instance and disk: an instance with a new disk is a different
// member.
func (r *Raft) hasElectionQuorum() bool {
	n := 0
	for _, m := range r.membership.Voters {
		if r.votes[m] {
			n++
		}
	}
	return n >= r.membership.quorum()
}

func (r *Raft) stepVoteRequest(now time.Duration, m Message) {
	// Leader lease: a member that heard from the leader within the election
	// timeout ignores the request and does not adopt the higher term.
	if !m.Vote.Transfer && r.hasRecentLeader(now) {
		r.refuseInSenderTerm(m, RecentLeader)
		return
	}
	if m.Vote.Pre {
		granted := m.Term > r.term && r.isUpToDate(m.Vote)
		reply, term := &VoteReply{Granted: granted, Pre: true}, m.Term
		if !granted {
			reply.Refusal, term = r.refusal(m), r.term
		}
		r.send(Message{To: m.From, Term: term, VoteReply: reply})
		return
	}
	if m.Term > r.term {
		r.becomeFollower(now, m.Term, Member{})
	}
	granted := m.Term == r.term && r.canVoteFor(m.From) && r.isUpToDate(m.Vote)
	reply := &VoteReply{Granted: granted}
	if granted {
		r.vote = m.From
		r.resetElectionDeadline(now)
	} else {
		reply.Refusal = r.refusal(m)
	}
	r.send(Message{To: m.From, VoteReply: reply})
}

// refusal returns why the vote that m requests is not granted.
func (r *Raft) refusal(m Message) Refusal {
	switch {
	case m.Term < r.term || m.Vote.Pre && m.Term == r.term:
		return OlderTerm
	case !r.isUpToDate(m.Vote):
		return LogBehind
	}
	return VotedForOther
}

// refuseInSenderTerm tells the sender of a vote request why it is ignored. The reply
// has the sender's term, not the one of this member: it must not change the sender's
// state.
func (r *Raft) refuseInSenderTerm(m Message, why Refusal) {
	term := m.Term
	if m.Vote.Pre {
		term--
	}
	if term == 0 {
		return // send would fill in this member's term
	}
	r.send(Message{To: m.From, Term: term, VoteReply: &VoteReply{Pre: m.Vote.Pre, Refusal: why}})
}

// hasRecentLeader reports whether this member is the leader or has heard from one
// within the election timeout.
func (r *Raft) hasRecentLeader(now time.Duration) bool {
	return r.role == Leader || now-r.lastLeaderContact < r.cfg.ElectionTimeout
}

func (r *Raft) canVoteFor(m Member) bool {
	return r.vote == m || r.vote == Member{} && r.leader == Member{}
}

// isUpToDate reports whether the candidate's log is at least as up to date as this
// member's log, so that it holds every entry that this member knows may be committed.
func (r *Raft) isUpToDate(v *VoteRequest) bool {
	if v.LastTerm != r.log.lastTerm() {
		return v.LastTerm > r.log.lastTerm()
	}
	return v.LastIndex >= r.log.lastIndex()
}

func (r *Raft) stepPreVoteReply(now time.Duration, m Message) {
	if r.role != PreCandidate || m.Term != r.term+1 {
		return
	}
	r.votes[m.From] = true
	if r.hasElectionQuorum() {
		r.startElection(now)
	}
}

func (r *Raft) stepVoteReply(now time.Duration, m Message) {
	if r.role != Candidate || m.VoteReply.Pre || !m.VoteReply.Granted {
		return
	}
	r.votes[m.From] = true
	if r.hasElectionQuorum() {
		r.becomeLeader(now)
	}
}

// stepTimeoutNow starts an election without a pre-vote. The leader gave up its lease
// before it sent the request.
func (r *Raft) stepTimeoutNow(now time.Duration, m Message) {
	if r.role == Leader || !r.canCampaign() {
		return
	}
	r.transferRequested = true
	r.resetElectionDeadline(now)
	r.startElection(now)
}

func (r *Raft) becomeLeader(now time.Duration) {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.answers = nil
	r.leaderSince = now
	r.transferee = Member{}
	r.progress = make(map[Member]*progress)
	r.alignProgress()
	r.termStart = r.log.lastIndex() + 1
	r.appendEntries([]Entry{{Term: r.term, Index: r.termStart}})
	r.nextHeartbeat = now + r.cfg.Heartbeat
	r.broadcast(now)
}

// alignProgress makes the progress map match the membership. It always keeps the
// leader itself, which may already be removed from the membership.
func (r *Raft) alignProgress() {
	for m := range r.progress {
		if !r.membership.Contains(m) && m != r.cfg.Self {
			delete(r.progress, m)
		}
	}
	for _, m := range append(append([]Member{r.cfg.Self}, r.membership.Voters...), r.membership.Learners...) {
		if r.progress[m] == nil {
			r.progress[m] = r.newProgress()
		}
	}
}
