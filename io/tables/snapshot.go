package tables

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"auburnstack/core/table"
	"auburnstack/io/platform"
)

// chunkBytes is the maximum size of one chunk of a snapshot. The key-value service accepts values of up to one
// megabyte, and the base64 encoding in JSON enlarges each chunk.
const chunkBytes = 600 << 10

// snapshot is the stored form of complete tables.
type snapshot struct {
	Routes string
	Pools  string
}

func chunkKey(reference table.SnapshotReference, chunk int) string {
	return fmt.Sprintf("tables/snapshot/%d-%s/%d", reference.Revision, reference.ID, chunk)
}

// writeSnapshot stores complete tables in chunks under separate keys. The chunks are used only once a head, the value
// of HeadKey, refers to them.
func (f *Follower) writeSnapshot(
	ctx context.Context, id table.EditID, tables *table.Tables,
) (table.SnapshotReference, error) {
	reference := table.SnapshotReference{Revision: tables.Revision, ID: id}
	value, err := json.Marshal(snapshot{Routes: tables.Text(table.Routes), Pools: tables.Text(table.Pools)})
	if err != nil {
		return reference, errors.WithStack(err)
	}
	for len(value) > 0 {
		size := min(chunkBytes, len(value))
		if err := f.overwrite(ctx, chunkKey(reference, reference.Chunks), value[:size]); err != nil {
			return reference, err
		}
		value = value[size:]
		reference.Chunks++
	}
	return reference, nil
}

// overwrite reads the key's current revision and replaces its value with a compare-and-swap.
func (f *Follower) overwrite(ctx context.Context, key string, value []byte) error {
	entry, err := f.store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = f.store.CompareAndSwap(ctx, key, entry.Revision, value, 0)
	return err
}

func (f *Follower) readSnapshot(ctx context.Context, reference table.SnapshotReference) (*table.Tables, error) {
	if reference.Chunks == 0 {
		return table.Empty(), nil
	}
	var value []byte
	for chunk := range reference.Chunks {
		entry, err := f.store.Get(ctx, chunkKey(reference, chunk))
		if err != nil {
			return nil, err
		}
		value = append(value, entry.Value...)
	}
	var content snapshot
	if err := json.Unmarshal(value, &content); err != nil {
		return nil, errors.WithMessage(ErrDamaged, err.Error())
	}
	return table.Parse(reference.Revision, content.Routes, content.Pools)
}

// dropSnapshot empties the chunks of the snapshot old, unless current refers to the same snapshot.
func (f *Follower) dropSnapshot(ctx context.Context, old, current table.SnapshotReference) {
	if old == current {
		return
	}
	for chunk := range old.Chunks {
		if err := f.overwrite(ctx, chunkKey(old, chunk), nil); errors.Is(err, platform.ErrUnavailable) {
			return
		}
	}
}
