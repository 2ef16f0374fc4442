package service

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"cherryhub/internal/settings"
)

// Config is a router's configuration.
type Config struct {
	Name, Listen, Discovery string
	MemoryBytes             int64
	MaxSockets              int
	InitialList             json.RawMessage // an engine list in discovery's format to start with, nil if none
	Settings                settings.Settings
}

// ConfigError reports an invalid configuration and names the field.
type ConfigError struct{ error }

func (e ConfigError) Unwrap() error { return e.error }

func configErrorf(format string, a ...any) error { return ConfigError{fmt.Errorf(format, a...)} }

// Accepted ranges of the limits.
const (
	minMemoryMB = 24
	maxMemoryMB = 1 << 20
	minSockets  = 64
	maxSockets  = 1 << 20
)

// Load reads the file named by EDGE_CONFIG. EDGE_NAME and EDGE_LISTEN take precedence over the file, as they belong to
// this process; the file takes precedence over EDGE_DISCOVERY, as it may be replaced while the process runs.
func Load(getenv func(string) string) (*Config, error) {
	file := getenv("EDGE_CONFIG")
	if file == "" {
		return nil, configErrorf("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, configErrorf("EDGE_CONFIG: %w", err)
	}
	c, err := Parse(text)
	if err != nil {
		return nil, err
	}
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if v := getenv("EDGE_DISCOVERY"); v != "" && c.Discovery == "" {
		c.Discovery = v
	}
	return c, c.validate()
}

// Parse parses a configuration file. It does not check the addresses.
func Parse(text []byte) (*Config, error) {
	var raw struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Seed      string `json:"seed"`
		Limits    struct {
			Memory  int64 `json:"memory_mb"`
			Sockets int   `json:"sockets"`
		} `json:"limits"`
		Known    json.RawMessage `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, configErrorf("config: %s: got a %s, expected a %s, at byte %d", typeErr.Field, typeErr.Value, typeErr.Type, typeErr.Offset)
		}
		return nil, configErrorf("config: %w", err)
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return nil, configErrorf("config: seed: %q: expected 16 hexadecimal digits", raw.Seed)
	}
	if m := raw.Limits.Memory; m < minMemoryMB || m > maxMemoryMB {
		return nil, configErrorf("config: limits.memory_mb: %d: expected %d to %d", m, minMemoryMB, maxMemoryMB)
	}
	if n := raw.Limits.Sockets; n < minSockets || n > maxSockets {
		return nil, configErrorf("config: limits.sockets: %d: expected %d to %d", n, minSockets, maxSockets)
	}
	if len(raw.Settings) == 0 {
		return nil, configErrorf("config: settings: missing")
	}
	parsed, err := settings.Parse(raw.Settings)
	if err == nil {
		err = parsed.Validate()
	}
	if err != nil {
		return nil, configErrorf("config: %w", err)
	}
	parsed.Decide.Seed = seed
	return &Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, MemoryBytes: raw.Limits.Memory << 20,
		MaxSockets: raw.Limits.Sockets, InitialList: raw.Known, Settings: parsed}, nil
}

func (c *Config) validate() error {
	for name, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return configErrorf("config: %s: %q: expected HOST:PORT", name, address)
		}
	}
	return nil
}
