//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"time"
)

const host = "pupu76.example"

// rollOut moves a service to a version and waits until that is completed.
func (f *fleet) rollOut(service, version string) error {
	order := fmt.Sprintf(`{"service":%q,"target-version":%q,"duration-s":12}`, service, version)
	if status, _ := f.order("POST", "/Rollouts.Start", order, 5*time.Second); status != 200 {
		return fmt.Errorf("the roll-out was not acknowledged (%d)", status)
	}
	var reply struct {
		State string `json:"state"`
	}
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		_, text := f.order("GET", "/Rollouts.Get/"+service, "", 5*time.Second)
		if err := json.Unmarshal([]byte(text), &reply); err == nil && reply.State == "completed" {
			return nil
		}
	}
	return fmt.Errorf("the roll-out is %q", reply.State)
}
