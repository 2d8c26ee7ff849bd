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
	r.transferred = false
}

// followLeader notes a message of the leader of this term.
func (r *Raft) followLeader(now time.Duration, leader Member) {
	if r.role == Leader {
		panic("consensus: two leaders in one term: " + leader.String())
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(now, r.term, leader)
	}
	r.leaderContact = now
	r.campaigns = 0
	r.resetElectionDeadline(now)
}

// campaign asks the voters whether they would elect this member. The term is
// raised only after a majority said yes, so that a member which was cut off
// does not depose a working leader when it returns. Since the question does no
// harm it is repeated soon: others may hear the leader's silence a little later.
func (r *Raft) campaign(now time.Duration) {
	if !r.mayCampaign() {
		r.leader = Member{}
		return
	}
	r.role = PreCandidate
	r.leader = Member{}
	r.transferred = false
	r.votes = map[Member]bool{r.cfg.Self: true}
	if r.hasElectionQuorum() {
		r.campaignForReal(now)
		return
	}
	r.requestVotes(r.term+1, VoteRequest{Pre: true})
	r.electionDeadline = now + r.cfg.Heartbeat + r.cfg.Jitter(r.cfg.Heartbeat)
}

// mayCampaign reports whether this member may be needed as a leader. Until its
// removal is committed that includes a voter that is removed in its own log:
// it may be the only one whose log is long enough for a majority.
func (r *Raft) mayCampaign() bool {
	return r.membership.IsVoter(r.cfg.Self) || r.membershipAt(r.commit).IsVoter(r.cfg.Self)
}

// campaignForReal raises the term and asks for votes that count. It gives them
// time to come, twice as long as the campaign before: they are synced first, and
// a campaign that ends before its votes come is lost each time.
func (r *Raft) campaignForReal(now time.Duration) {
	r.role = Candidate
	r.leader = Member{}
	r.term++
	r.vote = r.cfg.Self
	r.votes = map[Member]bool{r.cfg.Self: true}
	if r.hasElectionQuorum() {
		r.becomeLeader(now)
		return
	}
	r.requestVotes(r.term, VoteRequest{Transfer: r.transferred})
	patience := min(r.cfg.Heartbeat<<min(r.campaigns, maxDoublings), r.cfg.ElectionTimeout)
	r.electionDeadline = now + patience + r.cfg.Jitter(patience)
	r.campaigns++
}

// maxDoublings bounds the growth of a campaign's time; the election timeout
// does so before.
const maxDoublings = 10

func (r *Raft) requestVotes(term uint64, v VoteRequest) {
	v.LastIndex, v.LastTerm = r.log.lastIndex(), r.log.lastTerm()
	for _, m := range r.membership.Voters {
		if m != r.cfg.Self {
			r.send(Message{To: m, Term: term, Vote: &v})
		}
	}
}

// hasElectionQuorum counts votes from exact members only: the vote of an
// instance with another disk is that of another member.
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
	// The leader's lease: whoever heard the leader within the election timeout
	// supports no other, and does not even take the higher term.
	if !m.Vote.Transfer && r.isBoundToLeader(now) {
		return
	}
	if m.Vote.Pre {
		granted := m.Term > r.term && r.isUpToDate(m.Vote)
		term := r.term
		if granted {
			term = m.Term
		}
		r.send(Message{To: m.From, Term: term, VoteReply: &VoteReply{Granted: granted, Pre: true}})
		return
	}
	if m.Term > r.term {
		r.becomeFollower(now, m.Term, Member{})
	}
	granted := m.Term == r.term && r.canVoteFor(m.From) && r.isUpToDate(m.Vote)
	if granted {
		r.vote = m.From
		r.resetElectionDeadline(now)
	}
	r.send(Message{To: m.From, VoteReply: &VoteReply{Granted: granted}})
}

func (r *Raft) isBoundToLeader(now time.Duration) bool {
	return r.role == Leader || now-r.leaderContact < r.cfg.ElectionTimeout
}

func (r *Raft) canVoteFor(m Member) bool {
	return r.vote == m || r.vote == Member{} && r.leader == Member{}
}

// isUpToDate reports whether the candidate's log holds everything that may be
// committed, as far as this member can tell.
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
		r.campaignForReal(now)
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

// stepTimeoutNow campaigns without a pre-vote: the leader gave up its lease
// before it asked for this.
func (r *Raft) stepTimeoutNow(now time.Duration, m Message) {
	if r.role == Leader || !r.mayCampaign() {
		return
	}
	r.transferred = true
	r.resetElectionDeadline(now)
	r.campaignForReal(now)
}

func (r *Raft) becomeLeader(now time.Duration) {
	r.role = Leader
	r.leader = r.cfg.Self
	r.votes = nil
	r.leaderSince = now
	r.transferee = Member{}
	r.progress = make(map[Member]*progress)
	r.syncProgress()
	r.termStart = r.log.lastIndex() + 1
	r.appendEntries([]Entry{{Term: r.term, Index: r.termStart}})
	r.nextHeartbeat = now + r.cfg.Heartbeat
	r.broadcast(now)
}

// syncProgress keeps progress for exactly the members of the group and for
// this leader itself, which may be on its way out.
func (r *Raft) syncProgress() {
	for m := range r.progress {
		if !r.membership.Contains(m) && m != r.cfg.Self {
			delete(r.progress, m)
		}
	}
	for _, m := range append(append([]Member{r.cfg.Self}, r.membership.Voters...), r.membership.Learners...) {
		if r.progress[m] == nil {
			r.progress[m] = &progress{next: r.log.lastIndex() + 1, ackedAt: neverAcked}
		}
	}
}
