package journal_test

import (
	"testing"

	"radishturn.example/radishturn/pkg/journal"
	"radishturn.example/radishturn/pkg/journal/journaltest"
)

// FuzzOpen replaces the segment by arbitrary bytes: the folder is either rejected,
// or it opens and restores the same state each time.
func FuzzOpen(f *testing.F) {
	disk := &journaltest.Disk{}
	j, _, err := journal.Open(options(disk))
	if err != nil {
		f.Fatal(err)
	}
	for index := uint64(1); index <= 3; index++ {
		if err := j.Append(hardState(index), entries(1, index, index)); err != nil {
			f.Fatal(err)
		}
	}
	name := segments(disk)[0]
	whole := disk.Content(name)
	f.Add(whole)
	f.Add(whole[:len(whole)-5])
	f.Add(append(whole[:len(whole):len(whole)], make([]byte, 600)...))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, content []byte) {
		disk.SetContent(name, content)
		disk.Crash(nil)
		_, first, err := journal.Open(options(disk))
		if err != nil {
			return
		}
		disk.Crash(nil)
		_, second, err := journal.Open(options(disk))
		if err != nil {
			t.Fatalf("opened once but not again: %v", err)
		}
		if len(first.State.Entries) != len(second.State.Entries) || first.State.HardState != second.State.HardState {
			t.Fatalf("restored %+v, then %+v", first.State, second.State)
		}
	})
}
