package mesh

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sequoiacove/sequoiacove/pkg/balance"
	"github.com/sequoiacove/sequoiacove/pkg/catalog"
	"github.com/sequoiacove/sequoiacove/pkg/event"
	"github.com/sequoiacove/sequoiacove/pkg/revision"
	"github.com/sequoiacove/sequoiacove/pkg/steering"
)

func in(era, number int64) revision.Revision { return revision.Revision{Era: era, Number: number} }

// reencode decodes what one release sends as another one does.
func reencode(t *testing.T, from, to any) error {
	data, err := cbor.Marshal(from)
	require.NoError(t, err)
	return cbor.Unmarshal(data, to)
}

// meshInEras returns a mesh that sends nothing of an instance whose tables are of two eras.
func meshInEras(t *testing.T) *Mesh {
	m, _ := quietMesh(t)
	m.config.Self = Member{ID: "sender", Region: "n", Domain: "n-a", Address: "127.0.0.1:9"}
	m.config.LocalStatus = func() Status {
		return Status{State: Serving, DirectivesRevision: in(3, 5), UpstreamsRevision: in(2, 90)}
	}
	m.config.Notices = func() balance.Notices { return balance.Notices{} }
	return m
}

// Guards against revisions whose era is lost on the way, in full and short heartbeats.
func TestHeartbeatsCarryEras(t *testing.T) {
	sender := meshInEras(t)
	receiver, from := quietMesh(t)
	short, full := sender.heartbeats(false)
	for n, h := range []*heartbeat{full, short} {
		var msg message
		require.NoError(t, reencode(t, &message{ID: "sender", Incarnation: 1, Sequence: uint64(n + 1), Heartbeat: h}, &msg))
		receiver.handleMessage(&msg, from)
		require.Equal(t, in(3, 5), receiver.Live()[0].DirectivesRevision)
		require.Equal(t, in(2, 90), receiver.Live()[0].UpstreamsRevision)
	}
}

// Guards against revisions whose era is lost on the way to another region.
func TestDigestsCarryEras(t *testing.T) {
	sender := meshInEras(t)
	receiver, _ := quietMesh(t)
	receiver.config.Self.Region = "s"
	self := sender.config.Self
	self.Status = sender.config.LocalStatus()
	d := &digest{Region: "n"}
	sender.addRegionMembers(d, self)
	var msg message
	require.NoError(t, reencode(t, &message{ID: "sender", Digest: d}, &msg))
	receiver.handleDigest(&msg)
	require.Equal(t, in(3, 5), receiver.Live()[0].DirectivesRevision)
	require.Equal(t, in(2, 90), receiver.Live()[0].UpstreamsRevision)
}

// Guards against a heartbeat of a release without eras that counts as ahead of a table of an
// era, or proves it, because its number is higher.
func TestHeartbeatWithoutEraIsNeverAhead(t *testing.T) {
	receiver, from := quietMesh(t)
	older := struct {
		_           struct{} `cbor:",toarray"`
		ID          string
		Incarnation uint64
		Sequence    uint64
		HasLoad     bool
		InFlight    []uint32
		Heartbeat   map[int]any
		Digest      *digest
	}{ID: "older", Incarnation: 1, Sequence: 1, Heartbeat: map[int]any{1: "n", 5: 900, 6: 900, 17: []int{0, 0, 0}}}
	var msg message
	require.NoError(t, reencode(t, &older, &msg))
	receiver.handleMessage(&msg, from)
	m := receiver.Live()[0]
	require.Equal(t, at(900), m.DirectivesRevision)
	require.False(t, m.Proofs.Directives.IsZero())
	require.False(t, m.DirectivesRevision.After(in(1, 1)) || m.UpstreamsRevision.After(in(1, 1)))
	c := catalogInEra(t, 1)
	c.Confirm(m.DirectivesRevision, m.UpstreamsRevision, m.Proofs, m.ID)
	require.Equal(t, catalog.Proofs{}, c.Proofs())
}

// rowDecoder decodes all rows as nothing that is in use.
var rowDecoder = catalog.Decoder{
	Directive: func(string, []byte) (steering.Directive, error) { return steering.Directive{}, nil },
	Upstream:  func(key string, _ []byte) (steering.Upstream, error) { return steering.Upstream{ID: key}, nil },
}

// catalogInEra returns a catalog that holds a row of both tables of revision 8 of an era.
func catalogInEra(t *testing.T, era int64) *catalog.Catalog {
	c := catalog.New(catalog.Options{Now: time.Now, Logger: event.DiscardLogger(), Decode: rowDecoder})
	l := catalog.Listing{Revision: in(era, 8), Rows: []catalog.Row{{Key: "k", Value: []byte("v"), Revision: in(era, 2)}}}
	require.NoError(t, c.Merge(catalog.Snapshot{Directives: l, Upstreams: l}, "peer", time.Now()))
	return c
}

// Guards against eras that are lost in the request for a snapshot or in its answer.
func TestSnapshotTransferKeepsEras(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	known := KnownRevisions{DirectivesRevision: in(4, 2), UpstreamsRevision: in(3, 900), LargeRow: catalog.RowRevision{Key: "config", Revision: in(4, 1)}}
	want := Changes{Tables: catalog.Snapshot{
		Directives: catalog.Listing{Revision: in(4, 9), Since: in(4, 2), Rows: []catalog.Row{{Key: "config", Revision: in(4, 9), Value: []byte("d"), BaseRevision: in(4, 1), Digest: []byte("x")}, {Key: "e", Revision: in(4, 8), Deleted: true}}},
		Upstreams:  catalog.Listing{Revision: in(4, 9), Rows: []catalog.Row{{Key: "u", Revision: in(4, 3), Value: []byte("v")}}}}}
	requests := make(chan KnownRevisions, 1)
	go ServeSnapshots(l, time.Now, func(k KnownRevisions) Changes { requests <- k; return want })
	got, _, err := FetchSnapshot(context.Background(), l.Addr().String(), time.Now, known, nil)
	require.NoError(t, err)
	require.Equal(t, known, <-requests)
	require.Equal(t, want, got)
}

// olderRequest, olderRow, olderListing and olderChanges are the messages of releases without
// eras.
type olderRequest struct {
	DirectivesRevision int64  `cbor:"1,keyasint,omitempty"`
	UpstreamsRevision  int64  `cbor:"2,keyasint,omitempty"`
	DescriptionVersion uint64 `cbor:"3,keyasint,omitempty"`
	AcceptsCompression bool   `cbor:"4,keyasint,omitempty"`
	LargeRow           struct {
		_        struct{} `cbor:",toarray"`
		Key      string
		Revision int64
	} `cbor:"5,keyasint,omitempty"`
}

type olderRow struct {
	Key          string `cbor:"1,keyasint"`
	Value        []byte `cbor:"2,keyasint,omitempty"`
	Revision     int64  `cbor:"3,keyasint"`
	Deleted      bool   `cbor:"4,keyasint,omitempty"`
	BaseRevision int64  `cbor:"7,keyasint,omitempty"`
}

type olderListing struct {
	Rows     []olderRow `cbor:"1,keyasint"`
	Revision int64      `cbor:"2,keyasint"`
	Since    int64      `cbor:"3,keyasint,omitempty"`
}

type olderChanges struct {
	Tables struct {
		Directives olderListing `cbor:"1,keyasint"`
		Upstreams  olderListing `cbor:"2,keyasint"`
	} `cbor:"1,keyasint"`
}

// Guards against an older release that takes the whole table for the changes since a revision
// of another era with the same number, or that can't read the answer.
func TestOlderReleaseGetsTheWholeTable(t *testing.T) {
	c := catalogInEra(t, 2)
	var r request
	require.NoError(t, reencode(t, &olderRequest{DirectivesRevision: 8, UpstreamsRevision: 3}, &r))
	require.Equal(t, at(8), r.DirectivesRevision)
	s := c.Snapshot(r.DirectivesRevision, r.UpstreamsRevision, r.LargeRow)
	require.True(t, s.Directives.Since.IsZero() && s.Upstreams.Since.IsZero())
	var older olderChanges
	require.NoError(t, reencode(t, &Changes{Tables: s}, &older))
	require.Equal(t, olderListing{Revision: 8, Rows: []olderRow{{Key: "k", Value: []byte("v"), Revision: 2}}}, older.Tables.Directives)
}

// Guards against an older release that can't read the requests of instances that know an era,
// so that they never learn what it alone has, such as a newer description.
func TestOlderReleaseReadsRequestsWithEras(t *testing.T) {
	var older olderRequest
	r := request{KnownRevisions{DirectivesRevision: in(2, 8), UpstreamsRevision: in(2, 9), DescriptionVersion: 4, LargeRow: catalog.RowRevision{Key: "config", Revision: in(2, 7)}}, true}
	require.NoError(t, reencode(t, &r, &older))
	require.EqualValues(t, 8, older.DirectivesRevision)
	require.EqualValues(t, 9, older.UpstreamsRevision)
	require.EqualValues(t, 4, older.DescriptionVersion)
	require.EqualValues(t, 7, older.LargeRow.Revision)
}
