package lease

import (
	"maps"
	"slices"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/view"
)

// Status is how an instance stands with its lease, and what is in force under it.
type Status struct {
	Lease            view.LeaseState            `json:"lease"`
	LeftMilliseconds int64                      `json:"leftMilliseconds"`
	Revision         model.Revision             `json:"revision"`
	TableVersion     uint64                     `json:"tableVersion"`
	Instances        int                        `json:"instances"`
	Evacuated        []model.AvailabilityZoneID `json:"evacuated,omitempty"`
	ZonesOut         []model.AvailabilityZoneID `json:"zonesOut,omitempty"`
	// CatalogTerm and CatalogSequence say how far the list of targets was followed.
	CatalogTerm     uint64 `json:"catalogTerm,omitempty"`
	CatalogSequence uint64 `json:"catalogSequence,omitempty"`
}

// Status returns how the instance stands now.
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
