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

// Pack encodes events for the field Packed of meshpb.Changes.
func Pack(events []platform.Event) ([]byte, error) {
	list := &meshpb.ChangeList{}
	for _, ev := range events {
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
func Unpack(packed []byte) ([]platform.Event, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes")
	}
	encoded, err := io.ReadAll(io.LimitReader(r, maxMessageBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress changes")
	}
	var list meshpb.ChangeList
	if err := proto.Unmarshal(encoded, &list); err != nil {
		return nil, errors.Wrap(err, "decode changes")
	}
	events := make([]platform.Event, 0, len(list.Changes))
	for _, c := range list.Changes {
		events = append(events, platform.Event{Item: decodeItem(c.Item), Deleted: c.Deleted})
	}
	return events, nil
}
