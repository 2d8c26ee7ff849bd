package replica

import (
	"fmt"
	"time"

	"radishturn.example/radishturn/pkg/consensus"
	"radishturn.example/radishturn/pkg/events"
)

// maxLoggedMembers limits the members in one log event.
const maxLoggedMembers = 16

// reportMissingLeader writes events while this member knows no leader. An instance that
// waits to be added to a group has no voters and reports nothing.
func (n *Node) reportMissingLeader(now time.Duration, s consensus.Status) {
	missing := s.Leader == (Member{}) && len(s.Membership.Voters) > 0
	due := n.leaderless.Due(now, missing)
	n.metrics.withoutLeader.Set(n.leaderless.Lasted(now).Seconds())
	if !due {
		return
	}
	c := n.raft.Campaign()
	events.Emit(events.NoLeader, n.self, string(roleOf(s, n.self)), s.Term, n.leaderless.Lasted(now).Milliseconds(),
		c.Eligible, c.LastIndex, c.LastTerm, memberTexts(s.Membership.Voters), len(s.Membership.Learners), answerTexts(c.Answers))
}

func memberTexts(members []Member) []string {
	var texts []string
	for _, m := range members[:min(len(members), maxLoggedMembers)] {
		texts = append(texts, m.String())
	}
	return texts
}

// answerTexts returns what each voter answered, such as "10.0.0.3/d1: log behind".
func answerTexts(answers []consensus.VoteAnswer) []string {
	var texts []string
	for _, a := range answers[:min(len(answers), maxLoggedMembers)] {
		texts = append(texts, fmt.Sprintf("%s: %s", a.Voter, answerText(a)))
	}
	return texts
}

func answerText(a consensus.VoteAnswer) string {
	if !a.Answered {
		return fmt.Sprintf("no answer to %d requests", a.Unanswered)
	}
	text := a.Refusal.String()
	if a.Granted {
		text = "granted"
	}
	// The answer to the newest request may still be on its way.
	if a.Unanswered > 1 {
		text += fmt.Sprintf(", no answer to %d requests since", a.Unanswered)
	}
	return text
}
