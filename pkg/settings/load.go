package settings

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, fmt.Errorf("read settings %s: %w", file, err)
	}
	s := new(Settings)
	if err := json.Unmarshal(standard, s); err != nil {
		return nil, fmt.Errorf("read settings %s: %w", file, err)
	}
	return s, nil
}
