package lease

import (
	"maps"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Status describes an instance's lease and the configuration in force under it.
type Status struct {
	Lease            view.LeaseState            `json:"lease"`
	LeftMilliseconds int64                      `json:"leftMilliseconds"`
	Revision         model.Revision             `json:"revision"`
	TableVersion     uint64                     `json:"tableVersion"`
	Instances        int                        `json:"instances"`
	Evacuated        []model.AvailabilityZoneID `json:"evacuated,omitempty"`
	ZonesOut         []model.AvailabilityZoneID `json:"zonesOut,omitempty"`
	// CatalogTerm and CatalogSequence are the position of the list of targets.
	CatalogTerm     uint64 `json:"catalogTerm,omitempty"`
	CatalogSequence uint64 `json:"catalogSequence,omitempty"`
}

// Status returns the current status of the lease.
func (m *Module) Status() Status {
	v := m.views.View()
	s := Status{
		Lease: m.Lease(), LeftMilliseconds: m.LeaseLeft().Milliseconds(), Revision: v.Revision,
		TableVersion: v.Routing.Version(), Instances: len(v.Instances),
		Evacuated: slices.Sorted(maps.Keys(v.Evacuated)), ZonesOut: slices.Sorted(maps.Keys(v.ZonesOut)),
	}
	if v.Catalog != nil {
		s.CatalogTerm, s.CatalogSequence = v.Catalog.Position.Term, v.Catalog.Position.Sequence
	}
	return s
}
