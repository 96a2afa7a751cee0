package mesh

import (
	"bytes"
	"compress/gzip"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/azurehatch/azurehatch/internal/mesh/meshpb"
	"github.com/azurehatch/azurehatch/internal/platform"
)

func encodeItem(i platform.Item) *meshpb.Item {
	return &meshpb.Item{Key: i.Key, Value: i.Value, Revision: int64(i.Revision)}
}

func decodeItem(i *meshpb.Item) platform.Item {
	return platform.Item{Key: i.GetKey(), Value: i.GetValue(), Revision: platform.Revision(i.GetRevision())}
}

// ChangeList holds changes that a follower of the store passes on.
type ChangeList struct {
	Events []platform.Event
	// Listed is true if the changes were found in a list of all items, whose keys are in
	// Keys.
	Listed bool
	Keys   []string
}

// Pack encodes changes for the field Packed of meshpb.Changes.
func Pack(c ChangeList) ([]byte, error) {
	list := &meshpb.ChangeList{Listed: c.Listed, Keys: c.Keys}
	for _, ev := range c.Events {
		list.Changes = append(list.Changes, &meshpb.Change{Item: encodeItem(ev.Item), Deleted: ev.Deleted})
	}
	encoded, err := proto.Marshal(list)
	if err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if _, err := w.Write(encoded); err != nil {
		return nil, errors.Wrap(err, "compress changes")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress changes")
	}
	return buf.Bytes(), nil
}

// Unpack decodes the field Packed of meshpb.Changes.
func Unpack(packed []byte) (ChangeList, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return ChangeList{}, errors.Wrap(err, "decompress changes")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return ChangeList{}, errors.Wrap(err, "decompress changes")
	}
	var list meshpb.ChangeList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return ChangeList{}, errors.Wrap(err, "decode changes")
	}
	out := ChangeList{Listed: list.Listed, Keys: list.Keys}
	for _, c := range list.Changes {
		out.Events = append(out.Events, platform.Event{Item: decodeItem(c.Item), Deleted: c.Deleted})
	}
	return out, nil
}
