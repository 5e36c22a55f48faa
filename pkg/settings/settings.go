// Package settings reads a process's start-up settings, such as addresses, its
// failure domain, operator tokens and limits, from an INI file.
//
// A process reads its settings through a Reader. The Reader collects all errors
// with their section and key, so that an operator sees all of them at once. Keys
// that are in the file but were never read are reported as unknown.
package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/sequoiacove/sequoiacove/pkg/result"
)

// Reader reads typed keys from an INI file and collects all errors.
type Reader struct {
	file     *ini.File
	readKeys map[settingKey]bool
	errors   []string
}

type settingKey struct{ section, key string }

// Parse parses INI text. Comments must be on lines of their own, because a value
// such as a token may contain a comment character.
func Parse(text []byte) (*Reader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		return nil, result.New(result.SettingsInvalid, "%v", err)
	}
	return &Reader{file: file, readKeys: make(map[settingKey]bool)}, nil
}

// AddError records an error for a key; Err returns it.
func (r *Reader) AddError(section, key, format string, args ...any) {
	r.errors = append(r.errors, fmt.Sprintf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
}

// readRaw returns the value of a key, reports whether it is set, and marks the key
// as read. An empty value counts as not set, because templates leave a value
// empty if the platform does not provide it.
func (r *Reader) readRaw(section, key string) (string, bool) {
	r.readKeys[settingKey{section, key}] = true
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	v := strings.TrimSpace(s.Key(key).String())
	return v, v != ""
}

// String returns the value of a required key.
func (r *Reader) String(section, key string) string {
	v, ok := r.readRaw(section, key)
	if !ok || v == "" {
		r.AddError(section, key, "required")
	}
	return v
}

// StringOr returns the value of a key, or fallback if it is not set.
func (r *Reader) StringOr(section, key, fallback string) string {
	if v, ok := r.readRaw(section, key); ok {
		return v
	}
	return fallback
}

// OneOf returns a value that must be one of choices; the first is the default.
func (r *Reader) OneOf(section, key string, choices ...string) string {
	v := r.StringOr(section, key, choices[0])
	if slices.Contains(choices, v) {
		return v
	}
	r.AddError(section, key, "%q is not one of %s", v, strings.Join(choices, ", "))
	return choices[0]
}

// Address returns a required IP address and port. With port 0 the operating
// system chooses one.
func (r *Reader) Address(section, key string) string {
	v := r.String(section, key)
	if v == "" {
		return v
	}
	r.checkAddress(section, key, v)
	return v
}

func (r *Reader) checkAddress(section, key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		r.AddError(section, key, "%q is not an IP address and port", address)
	}
}

// AddressOr returns an IP address and port, or fallback if the key is not set.
// The fallback is not checked and may be empty.
func (r *Reader) AddressOr(section, key, fallback string) string {
	if _, ok := r.readRaw(section, key); !ok {
		return fallback
	}
	return r.Address(section, key)
}

// Addresses returns the IP addresses and ports in a comma-separated list, which
// may be empty.
func (r *Reader) Addresses(section, key string) []string {
	v := r.StringOr(section, key, "")
	var list []string
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		r.checkAddress(section, key, part)
		list = append(list, part)
	}
	return list
}

// Int returns an integer from low to high, or fallback if the key is not set.
func (r *Reader) Int(section, key string, fallback, low, high int) int {
	if _, ok := r.readRaw(section, key); !ok {
		return fallback
	}
	v, err := r.file.Section(section).Key(key).Int()
	if err != nil || v < low || v > high {
		r.AddError(section, key, "must be a whole number from %d to %d", low, high)
		return fallback
	}
	return v
}

// Float returns a number from low to high, or fallback if the key is not set.
func (r *Reader) Float(section, key string, fallback, low, high float64) float64 {
	if _, ok := r.readRaw(section, key); !ok {
		return fallback
	}
	v, err := r.file.Section(section).Key(key).Float64()
	if err != nil || !(v >= low && v <= high) {
		r.AddError(section, key, "must be a number from %g to %g", low, high)
		return fallback
	}
	return v
}

// Duration returns a duration such as "250ms" from low to high, or fallback if the
// key is not set.
func (r *Reader) Duration(section, key string, fallback, low, high time.Duration) time.Duration {
	raw, ok := r.readRaw(section, key)
	if !ok {
		return fallback
	}
	v, err := time.ParseDuration(raw)
	if err != nil || v < low || v > high {
		r.AddError(section, key, "must be a duration from %v to %v", low, high)
		return fallback
	}
	return v
}

// Section returns all keys and values of a section and marks them as read.
func (r *Reader) Section(section string) map[string]string {
	values := make(map[string]string)
	s, err := r.file.GetSection(section)
	if err != nil {
		return values
	}
	for _, key := range s.Keys() {
		values[key.Name()] = strings.TrimSpace(key.String())
		r.readKeys[settingKey{section, key.Name()}] = true
	}
	return values
}

// Err returns all collected errors and an error for each key that was never read.
func (r *Reader) Err() error {
	messages := append([]string(nil), r.errors...)
	for _, s := range r.file.Sections() {
		for _, key := range s.Keys() {
			if !r.readKeys[settingKey{s.Name(), key.Name()}] {
				messages = append(messages, fmt.Sprintf("[%s] %s: unknown key", s.Name(), key.Name()))
			}
		}
	}
	if len(messages) == 0 {
		return nil
	}
	slices.Sort(messages)
	return result.New(result.SettingsInvalid, "%s", strings.Join(messages, "; "))
}
