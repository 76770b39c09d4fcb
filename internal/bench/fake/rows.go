package fake

import (
	"context"
	"slices"
	"sort"
	"strings"

	"turmericcove.org/cove"
)

// maxRowVersions is the number of states kept of each row, for reads that return
// an older state and for Rollback.
const maxRowVersions = 64

// maxTokens is the number of used tokens that are kept, the newest ones.
const maxTokens = 1 << 18

// rowVersion is the state of a row as of commit seq.
type rowVersion struct {
	seq    uint64
	row    cove.Row
	exists bool
}

type table struct {
	seq  uint64
	rows map[string][]rowVersion
	keys []string // sorted; includes deleted rows
	// tokens holds, for each used token, whether its commit applied.
	tokens map[string]bool
	// tokenOrder lists the used tokens, oldest first.
	tokenOrder []string
}

func newTable() table {
	return table{rows: make(map[string][]rowVersion), tokens: make(map[string]bool)}
}

// rowAt returns the state of a row as of commit seq.
func (t *table) rowAt(key string, seq uint64) (cove.Row, bool) {
	vs := t.rows[key]
	for i := len(vs) - 1; i >= 0; i-- {
		if vs[i].seq <= seq {
			return vs[i].row, vs[i].exists
		}
	}
	return cove.Row{}, false
}

func (t *table) put(key string, v rowVersion) {
	vs, ok := t.rows[key]
	if !ok {
		i := sort.SearchStrings(t.keys, key)
		t.keys = append(t.keys, "")
		copy(t.keys[i+1:], t.keys[i:])
		t.keys[i] = key
	}
	if len(vs) == maxRowVersions {
		vs = vs[1:]
	}
	t.rows[key] = append(vs, v)
}

// Get implements cove.TableStore.
func (p *Platform) Get(ctx context.Context, key string) (cove.Row, error) {
	err := p.begin(ctx, &p.reads)
	defer p.mu.Unlock()
	if err != nil {
		return cove.Row{}, err
	}
	p.counts.Reads++
	row, ok := p.table.rowAt(key, p.readSeq())
	if !ok {
		return cove.Row{}, cove.ErrNotFound
	}
	return row, nil
}

// List implements cove.TableStore.
func (p *Platform) List(ctx context.Context, prefix, after string, limit int) ([]cove.Row, error) {
	err := p.begin(ctx, &p.reads)
	defer p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	p.counts.Reads++
	seq := p.readSeq()
	var out []cove.Row
	for i := sort.SearchStrings(p.table.keys, max(prefix, after)); i < len(p.table.keys) && len(out) < limit; i++ {
		key := p.table.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key <= after {
			continue
		}
		if row, ok := p.table.rowAt(key, seq); ok {
			out = append(out, row)
		}
	}
	return out, nil
}

// readSeq returns the sequence number of the commit whose state a read returns.
func (p *Platform) readSeq() uint64 {
	if p.faults.OlderShare == 0 || p.rng.Float64() >= p.faults.OlderShare {
		return p.table.seq
	}
	lag := uint64(1 + p.rng.IntN(max(1, p.faults.OlderCommits)))
	return p.table.seq - min(lag, p.table.seq)
}

// Commit implements cove.TableStore, except that it does not find out the
// outcome of a commit whose response was lost: it returns ErrUnavailable.
func (p *Platform) Commit(ctx context.Context, token string, writes []cove.Write) error {
	_, err := p.commit(ctx, token, writes)
	return err
}

func (p *Platform) commit(ctx context.Context, token string, writes []cove.Write) (applied bool, err error) {
	err = p.begin(ctx, &p.commits)
	defer p.mu.Unlock()
	if err != nil {
		return false, err
	}
	p.counts.Commits++
	applied, err = p.table.commit(token, writes)
	if err != nil {
		p.counts.Conflicts++
	}
	if p.loseAnswer() {
		return false, errAnswerLost
	}
	return applied, err
}

func (t *table) commit(token string, writes []cove.Write) (bool, error) {
	if applied, used := t.tokens[token]; used {
		return applied, nil
	}
	if len(writes) == 0 {
		t.recordToken(token, false)
		return false, nil
	}
	if failed := t.conflicts(writes); len(failed) > 0 {
		return false, &cove.ConflictError{Rows: failed}
	}
	t.recordToken(token, true)
	writes = slices.DeleteFunc(slices.Clone(writes), func(w cove.Write) bool { return w.Check })
	if len(writes) == 0 {
		return true, nil
	}
	t.seq++
	for _, w := range writes {
		row := cove.Row{Key: w.Key, Revision: t.seq, Token: token, Value: append([]byte(nil), w.Value...)}
		t.put(w.Key, rowVersion{seq: t.seq, row: row, exists: !w.Delete})
	}
	return true, nil
}

// recordToken stores whether the commit of a token applied, and drops the oldest
// token if there are too many.
func (t *table) recordToken(token string, applied bool) {
	if len(t.tokenOrder) == maxTokens {
		delete(t.tokens, t.tokenOrder[0])
		t.tokenOrder = t.tokenOrder[1:]
	}
	t.tokens[token] = applied
	t.tokenOrder = append(t.tokenOrder, token)
}

// conflicts returns the current rows of the writes whose condition does not hold.
func (t *table) conflicts(writes []cove.Write) []cove.Row {
	var out []cove.Row
	for _, w := range writes {
		row, ok := t.rowAt(w.Key, t.seq)
		if !ok {
			row = cove.Row{Key: w.Key}
		}
		if row.Revision != w.IfRevision {
			out = append(out, row)
		}
	}
	return out
}

// lookUpToken returns whether the token was used and whether its commit applied.
func (p *Platform) lookUpToken(ctx context.Context, token string) (applied, used bool, err error) {
	err = p.begin(ctx, &p.reads)
	defer p.mu.Unlock()
	if err != nil {
		return false, false, err
	}
	p.counts.Reads++
	applied, used = p.table.tokens[token]
	return applied, used, nil
}

// ClearTable deletes all rows and tokens of the table service. Revisions continue
// from the highest one.
func (p *Platform) ClearTable() {
	p.mu.Lock()
	defer p.mu.Unlock()
	seq := p.table.seq
	p.table = newTable()
	p.table.seq = seq
}

// Rollback reverts the last n commits of the table service, as a restore from a
// backup does. Revisions continue from the highest one.
func (p *Platform) Rollback(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	to := p.table.seq - min(uint64(n), p.table.seq)
	for key := range p.table.rows {
		row, ok := p.table.rowAt(key, to)
		p.table.rows[key] = []rowVersion{{seq: p.table.seq, row: row, exists: ok}}
	}
}

// CorruptRow replaces the value of a row without a commit, to simulate damaged
// data.
func (p *Platform) CorruptRow(key string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.seq++
	row := cove.Row{Key: key, Revision: p.table.seq, Token: "damage", Value: value}
	p.table.put(key, rowVersion{seq: p.table.seq, row: row, exists: true})
}
