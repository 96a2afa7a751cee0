package budget

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"maps"
	"slices"

	"github.com/pkg/errors"
)

// wireRecord is the stored form of a Record: JSON with short names, compressed
// with DEFLATE. Names of failure domains are replaced by their index in Domains,
// because at the target size each of the 531 budgets of a shard has a grant in
// 14 failure domains.
type wireRecord struct {
	Version int                   `json:"v"`
	Domains []wireDomain          `json:"d"`
	Budgets []wireBudget          `json:"b"`
	Totals  map[string]wireTotals `json:"a,omitempty"`
	Bills   []wireBill            `json:"r,omitempty"`
	TopUps  []string              `json:"t,omitempty"`
}

// wireTotals is the stored form of Totals: requests, tokens spent.
type wireTotals [2]int64

type wireDomain struct {
	Name       string                 `json:"n"`
	Epoch      uint64                 `json:"e"`
	Owner      string                 `json:"o"`
	Seq        uint64                 `json:"s"`
	Unmirrored bool                   `json:"1,omitempty"`
	Members    []string               `json:"m,omitempty"`
	Waiting    []string               `json:"w,omitempty"`
	Decision   Decision               `json:"x,omitempty"`
	Holders    map[string]HolderState `json:"h,omitempty"`
	Tombstones []Tombstone            `json:"c,omitempty"`
}

type wireBudget struct {
	ID      string `json:"i"`
	Prepaid int64  `json:"p"`
	Spent   int64  `json:"s,omitempty"`
	Removed bool   `json:"x,omitempty"`
	// Grants holds for each grant the index in wireRecord.Domains, Tokens,
	// OldTokens and Rate.
	Grants [][4]int64 `json:"g,omitempty"`
}

type wireBill struct {
	ID          string `json:"i"`
	Budget      string `json:"b"`
	Tokens      int64  `json:"n"`
	Unix        int64  `json:"t"`
	Keyed       bool   `json:"k,omitempty"`
	Provisional bool   `json:"p,omitempty"`
	Key         *Key   `json:"r,omitempty"`
}

const wireVersion = 1

// maxDecoded limits the decoded size of a record in bytes, as a guard against a
// damaged value.
const maxDecoded = 64 << 20

// compressors and decompressors are kept for reuse, because each has tens to
// hundreds of kilobytes of tables. A channel keeps a few of them, whereas
// sync.Pool would drop them at each garbage collection.
var (
	compressors   = make(chan *flate.Writer, 4)
	decompressors = make(chan io.ReadCloser, 4)
)

func compressor(w io.Writer) (*flate.Writer, error) {
	select {
	case z := <-compressors:
		z.Reset(w)
		return z, nil
	default:
		return flate.NewWriter(w, flate.BestSpeed)
	}
}

func decompressor(r io.Reader) io.ReadCloser {
	select {
	case z := <-decompressors:
		if reset, ok := z.(flate.Resetter); ok && reset.Reset(r, nil) == nil {
			return z
		}
	default:
	}
	return flate.NewReader(r)
}

// putInPool keeps z for reuse unless the pool is full.
func putInPool[T any](free chan T, z T) {
	select {
	case free <- z:
	default:
	}
}

// Marshal encodes the record.
func (r *Record) Marshal() ([]byte, error) {
	w := wireRecord{Version: wireVersion, TopUps: r.TopUps, Totals: make(map[string]wireTotals, len(r.Accounts))}
	index := make(map[string]int64, len(r.Domains))
	for _, name := range slices.Sorted(maps.Keys(r.Domains)) {
		d := r.Domains[name]
		index[name] = int64(len(w.Domains))
		w.Domains = append(w.Domains, wireDomain{name, d.Epoch, d.Owner, d.Seq, d.Unmirrored, d.Members, d.Waiting,
			d.Decision, d.Holders, d.Tombstones})
	}
	for _, id := range slices.Sorted(maps.Keys(r.Budgets)) {
		b := r.Budgets[id]
		wb := wireBudget{ID: id, Prepaid: b.Prepaid, Spent: b.Spent, Removed: b.Removed}
		for _, d := range w.Domains {
			if g, ok := b.Grants[d.Name]; ok {
				wb.Grants = append(wb.Grants, [4]int64{index[d.Name], g.Tokens, g.OldTokens, g.Rate})
			}
		}
		w.Budgets = append(w.Budgets, wb)
	}
	for id, t := range r.Accounts {
		w.Totals[id] = wireTotals{t.Requests, t.Spent}
	}
	for _, e := range r.Bills {
		wb := wireBill{e.ID, e.Budget, e.Tokens, e.Unix, e.Keyed, e.Provisional, nil}
		if e.Provisional {
			wb.Key = &e.Key
		}
		w.Bills = append(w.Bills, wb)
	}
	var buf bytes.Buffer
	z, err := compressor(&buf)
	if err != nil {
		return nil, errors.Wrap(err, "compress budget record")
	}
	defer putInPool(compressors, z)
	if err := json.NewEncoder(z).Encode(w); err != nil {
		return nil, errors.Wrap(err, "encode budget record")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "compress budget record")
	}
	return buf.Bytes(), nil
}

// Unmarshal decodes a record; an empty value is an empty record.
func Unmarshal(value []byte) (*Record, error) {
	r := NewRecord()
	if len(value) == 0 {
		return r, nil
	}
	var w wireRecord
	z := decompressor(bytes.NewReader(value))
	defer putInPool(decompressors, z)
	if err := json.NewDecoder(io.LimitReader(z, maxDecoded)).Decode(&w); err != nil {
		return nil, errors.Wrap(err, "decode budget record")
	}
	if w.Version != wireVersion {
		return nil, errors.Errorf("budget record has version %d, want %d", w.Version, wireVersion)
	}
	r.TopUps = w.TopUps
	for _, d := range w.Domains {
		if d.Holders == nil {
			d.Holders = make(map[string]HolderState)
		}
		r.Domains[d.Name] = &Domain{d.Epoch, d.Owner, d.Seq, d.Unmirrored, d.Members, d.Waiting,
			d.Decision, d.Holders, d.Tombstones}
	}
	for _, wb := range w.Budgets {
		b := &Budget{Prepaid: wb.Prepaid, Spent: wb.Spent, Removed: wb.Removed, Grants: make(map[string]Grant, len(wb.Grants))}
		for _, g := range wb.Grants {
			if g[0] < 0 || g[0] >= int64(len(w.Domains)) {
				return nil, errors.Errorf("budget %q: grant has unknown failure domain index %d", wb.ID, g[0])
			}
			b.Grants[w.Domains[g[0]].Name] = Grant{Tokens: g[1], OldTokens: g[2], Rate: g[3]}
		}
		r.Budgets[wb.ID] = b
	}
	for id, t := range w.Totals {
		r.Accounts[id] = &Totals{Requests: t[0], Spent: t[1]}
	}
	for _, wb := range w.Bills {
		e := RecentBill{
			ID: wb.ID, Budget: wb.Budget, Tokens: wb.Tokens, Unix: wb.Unix, Keyed: wb.Keyed,
			Provisional: wb.Provisional,
		}
		if wb.Key != nil {
			e.Key = *wb.Key
		}
		r.Bills = append(r.Bills, e)
	}
	return r, nil
}
