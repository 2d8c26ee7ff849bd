package standin

import (
	"fmt"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/standin/content"
	"radishturn.example/radishturn/pkg/targetproto"
)

// snapshotKey identifies a snapshot of a collection.
type snapshotKey struct {
	collection model.CollectionID
	snapshot   model.SnapshotID
}

// partitionMaps holds the partition map (the leaves and their document counts) and
// the contents of the leaves of every snapshot.
type partitionMaps struct {
	snapshots []model.Snapshot
	leaves    map[snapshotKey]map[model.LeafID]*leafContent
}

func newPartitionMaps(collections []Collection) *partitionMaps {
	p := &partitionMaps{leaves: make(map[snapshotKey]map[model.LeafID]*leafContent)}
	for i := range collections {
		c := &collections[i]
		for sequence, s := range c.Snapshots {
			p.add(c, s, uint64(sequence+1))
		}
	}
	return p
}

func (p *partitionMaps) add(c *Collection, s Snapshot, sequence uint64) {
	snapshot := model.Snapshot{Collection: c.ID, ID: s.ID, Sequence: sequence}
	leaves := make(map[model.LeafID]*leafContent)
	for _, leaf := range c.leafIDs(s.Leaves) {
		part := model.LeafPart{Leaf: leaf, Documents: content.DocumentCount(c.ID, s.ID, leaf, c.MinDocumentsPerLeaf)}
		snapshot.Leaves = append(snapshot.Leaves, part)
		leaves[leaf] = newLeafContent(c.ID, s.ID, part)
	}
	p.snapshots = append(p.snapshots, snapshot)
	p.leaves[snapshotKey{c.ID, s.ID}] = leaves
}

// leaf returns the content of a leaf in a snapshot, or nil if the snapshot does
// not have the leaf.
func (p *partitionMaps) leaf(c model.CollectionID, s model.SnapshotID, l model.LeafID) *leafContent {
	return p.leaves[snapshotKey{c, s}][l]
}

// leafIDs returns the IDs of the leaves of all services. leaves is the number of
// leaves of each service; 0 means c.Leaves.
func (c *Collection) leafIDs(leaves int) []model.LeafID {
	if leaves == 0 {
		leaves = c.Leaves
	}
	var ids []model.LeafID
	for service := range c.Services {
		name := model.ServiceID(fmt.Sprintf("svc-%02d", service+1))
		for leaf := range leaves {
			ids = append(ids, model.LeafID{Service: name, Leaf: leaf + 1})
		}
	}
	return ids
}

// leafStrings caches the request paths and header values of all leaves.
type leafStrings struct {
	query, order map[model.LeafID]string
	// headerValue holds the values of targetproto.HeaderLeaf.
	headerValue map[model.LeafID][]string
}

func newLeafStrings(collections []Collection) leafStrings {
	p := leafStrings{
		query:       make(map[model.LeafID]string),
		order:       make(map[model.LeafID]string),
		headerValue: make(map[model.LeafID][]string),
	}
	for _, c := range collections {
		for _, l := range c.leafIDs(c.maxLeaves()) {
			p.query[l] = targetproto.QueryPath(l)
			p.order[l] = targetproto.OrderPath(l)
			p.headerValue[l] = []string{l.String()}
		}
	}
	return p
}
