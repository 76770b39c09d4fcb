package fake

import (
	"bytes"
	"context"
	"sort"
	"strings"

	"turmericcove.org/cove"
)

var (
	_ cove.TableStore  = (*Platform)(nil)
	_ cove.ObjectStore = (*Platform)(nil)
	_ cove.HostList    = (*Platform)(nil)
)

// GetObject implements cove.ObjectStore.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	err := p.begin(ctx, &p.reads)
	defer p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	p.counts.ObjectReads++
	data, ok := p.objects[name]
	if !ok {
		return nil, cove.ErrNotFound
	}
	return data, nil
}

// PutObject implements cove.ObjectStore. Storing the same bytes again succeeds.
func (p *Platform) PutObject(ctx context.Context, name string, data []byte) error {
	err := p.begin(ctx, &p.commits)
	defer p.mu.Unlock()
	if err != nil {
		return err
	}
	p.counts.ObjectWrites++
	old, ok := p.objects[name]
	if ok && !bytes.Equal(old, data) {
		return errExists
	}
	p.objects[name] = append([]byte(nil), data...)
	if p.loseAnswer() {
		return errAnswerLost
	}
	return nil
}

// ListObjects implements cove.ObjectStore.
func (p *Platform) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	err := p.begin(ctx, &p.reads)
	defer p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	p.counts.ObjectReads++
	var names []string
	for name := range p.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// DeleteObject implements cove.ObjectStore. It succeeds if there is no such
// object.
func (p *Platform) DeleteObject(ctx context.Context, name string) error {
	err := p.begin(ctx, &p.commits)
	defer p.mu.Unlock()
	if err != nil {
		return err
	}
	p.counts.ObjectWrites++
	delete(p.objects, name)
	if p.loseAnswer() {
		return errAnswerLost
	}
	return nil
}
