package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// MaxSectionBytes is the maximum size of a section.
const MaxSectionBytes = 64 << 10

// minAverageSectionBytes is the average section size below which the number of
// sections is halved. An eighth of the maximum leaves enough hysteresis that a
// number that was just doubled is not halved by the next small edit.
const minAverageSectionBytes = MaxSectionBytes / 8

// hashSizeBytes is the length of the truncated SHA-256 that identifies a section.
// 24 bytes keep the manifest short; a collision takes about 2^96 attempts.
const hashSizeBytes = 24

// Hash identifies the content of a section or manifest. "" stands for a section
// without entries, which is not stored.
type Hash string

// HashOf returns the hash of the content.
func HashOf(content []byte) Hash {
	sum := sha256.Sum256(content)
	return Hash(base64.RawURLEncoding.EncodeToString(sum[:hashSizeBytes]))
}

// Manifest lists the sections of a configuration by kind. The entries of a kind
// are distributed by the hash of their names over a number of sections that is a
// power of two.
type Manifest map[EntryKind][]Hash

// Hashes returns the distinct hashes of all stored sections, sorted.
func (m Manifest) Hashes() []Hash {
	var list []Hash
	for _, hashes := range m {
		list = append(list, hashes...)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	if len(list) > 0 && list[0] == "" {
		list = list[1:]
	}
	return list
}

// Encode returns the manifest as JSON. The output is deterministic.
func (m Manifest) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		// A map of strings always encodes.
		panic(errors.Wrap(err, "encode manifest"))
	}
	return b
}

// Hash returns the hash of the encoded manifest.
func (m Manifest) Hash() Hash { return HashOf(m.Encode()) }

// Equal reports whether both manifests list the same sections.
func (m Manifest) Equal(o Manifest) bool { return maps.EqualFunc(m, o, slices.Equal[[]Hash]) }

// Split returns the manifest of c and its sections. It keeps the previous
// manifest's number of sections where possible, so that an edit of one entry
// changes only one section.
func Split(c *Config, previous Manifest) (Manifest, map[Hash][]byte, error) {
	s := splitter{manifest: make(Manifest), sections: make(map[Hash][]byte), previous: previous}
	if err := errors.WithStack(firstError(
		splitKind(&s, EntryService, c.Services), splitKind(&s, EntryEndpoint, c.Endpoints),
		splitKind(&s, EntryAccount, c.Accounts), splitKind(&s, EntryBudget, c.Budgets),
		splitKind(&s, EntryOperator, c.Operators))); err != nil {
		return nil, nil, err
	}
	return s.manifest, s.sections, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

type splitter struct {
	manifest, previous Manifest
	sections           map[Hash][]byte
}

// encodedEntry is one entry of a section, encoded as a line of JSON.
type encodedEntry struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

func splitKind[V any](s *splitter, kind EntryKind, entries map[string]V) error {
	if len(entries) == 0 {
		return nil
	}
	names := slices.Sorted(maps.Keys(entries))
	lines := make([][]byte, len(names))
	total := 0
	for i, name := range names {
		line, err := encodeLine(name, entries[name])
		if err != nil {
			return err
		}
		if len(line)+len(sectionHeader(kind)) > MaxSectionBytes {
			return errors.Errorf("%s %s takes %d bytes, more than a section of %d bytes", kind, name, len(line), MaxSectionBytes)
		}
		lines[i] = line
		total += len(line)
	}
	count := max(1, len(s.previous[kind]))
	for count > 1 && total < count*minAverageSectionBytes {
		count /= 2
	}
	for {
		contents, ok := distribute(kind, names, lines, count)
		if ok {
			s.addSections(kind, contents)
			return nil
		}
		count *= 2
	}
}

func encodeLine(name string, value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	line, err := json.Marshal(encodedEntry{Name: name, Value: raw})
	return append(line, '\n'), errors.WithStack(err)
}

// sectionHeader returns the first line of a section. It
// distinguishes sections of different kinds.
func sectionHeader(kind EntryKind) []byte { return []byte(string(kind) + "\n") }

// shardIndex returns the index of the section that holds the entry. count is a
// power of two.
func shardIndex(name string, count int) int { return int(xxhash.Sum64String(name) & uint64(count-1)) }

// distribute returns the contents of count sections, or false if one of them
// would exceed MaxSectionBytes.
func distribute(kind EntryKind, names []string, lines [][]byte, count int) ([][]byte, bool) {
	contents := make([][]byte, count)
	for i, name := range names {
		shard := shardIndex(name, count)
		if contents[shard] == nil {
			contents[shard] = sectionHeader(kind)
		}
		contents[shard] = append(contents[shard], lines[i]...)
		if len(contents[shard]) > MaxSectionBytes {
			return nil, false
		}
	}
	return contents, true
}

func (s *splitter) addSections(kind EntryKind, contents [][]byte) {
	hashes := make([]Hash, len(contents))
	for i, content := range contents {
		if content != nil {
			hashes[i] = HashOf(content)
			s.sections[hashes[i]] = content
		}
	}
	s.manifest[kind] = hashes
}

// Join builds the configuration of a manifest. Sections that the previous
// manifest lists at the same index are not decoded again: their entries are taken
// from the previous configuration. Both may be nil. The function section returns
// the content of a section.
func Join(previous *Config, previousManifest, m Manifest, section func(Hash) ([]byte, bool)) (*Config, error) {
	if previous == nil {
		previous, previousManifest = New(), nil
	}
	j := joiner{previous: previousManifest, manifest: m, section: section}
	c := &Config{}
	var errs [5]error
	c.Services, errs[0] = joinKind(&j, EntryService, previous.Services)
	c.Endpoints, errs[1] = joinKind(&j, EntryEndpoint, previous.Endpoints)
	c.Accounts, errs[2] = joinKind(&j, EntryAccount, previous.Accounts)
	c.Budgets, errs[3] = joinKind(&j, EntryBudget, previous.Budgets)
	c.Operators, errs[4] = joinKind(&j, EntryOperator, previous.Operators)
	if err := firstError(errs[:]...); err != nil {
		return nil, err
	}
	return c, nil
}

type joiner struct {
	previous, manifest Manifest
	section            func(Hash) ([]byte, bool)
}

func joinKind[V any](j *joiner, kind EntryKind, entries map[string]V) (map[string]V, error) {
	oldHashes, newHashes := j.previous[kind], j.manifest[kind]
	if slices.Equal(oldHashes, newHashes) {
		return entries, nil
	}
	count := len(newHashes)
	if count&(count-1) != 0 {
		return nil, errors.Errorf("manifest has %d sections of kind %s, not a power of two", count, kind)
	}
	result := make(map[string]V, len(entries))
	reuse := len(oldHashes) == count
	if reuse {
		for name, v := range entries {
			if shard := shardIndex(name, count); oldHashes[shard] == newHashes[shard] {
				result[name] = v
			}
		}
	}
	for i, hash := range newHashes {
		if hash == "" || (reuse && oldHashes[i] == hash) {
			continue
		}
		content, ok := j.section(hash)
		if !ok {
			return nil, errors.Errorf("section %s of kind %s is missing", hash, kind)
		}
		if err := decodeSection(kind, hash, content, result); err != nil {
			return nil, err
		}
	}
	return result, nil
}

func decodeSection[V any](kind EntryKind, hash Hash, content []byte, into map[string]V) error {
	if HashOf(content) != hash {
		return errors.Errorf("content of section %s of kind %s does not match its hash", hash, kind)
	}
	rest, ok := bytes.CutPrefix(content, sectionHeader(kind))
	if !ok {
		return errors.Errorf("section %s is not of kind %s", hash, kind)
	}
	for line := range bytes.Lines(rest) {
		var e encodedEntry
		if err := json.Unmarshal(line, &e); err != nil {
			return errors.Wrapf(err, "decode section %s of kind %s", hash, kind)
		}
		var v V
		if err := json.Unmarshal(e.Value, &v); err != nil {
			return errors.Wrapf(err, "decode section %s: %s %s", hash, kind, e.Name)
		}
		into[e.Name] = v
	}
	return nil
}
