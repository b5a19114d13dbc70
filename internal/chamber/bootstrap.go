package chamber

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/clerk"
	"github.com/lovagelift/lovagelift/internal/courier"
	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/jury"
	"github.com/lovagelift/lovagelift/internal/registry"
)

// clusterIDBytes makes two clusters of one name as good as impossible.
const clusterIDBytes = 8

// Founding returns what a bootstrap must know of this voter.
func (c control) Founding() courier.Founding {
	status := c.voter.clerk.Status()
	founding := courier.Founding{Identity: c.voter.identity, Cluster: status.Cluster}
	// A voter at work may stand like this for a moment too. To be given the
	// charter of its own cluster again changes nothing there.
	if status.Cluster != "" && status.Last == status.SnapshotIndex {
		founding.Charter = courier.Charter{
			Cluster: status.Cluster,
			Voters:  status.Voters,
			Index:   status.SnapshotIndex,
		}
	}
	return founding
}

// firstIndex is the index of the state that a new cluster begins with.
const firstIndex = 1

// Origin is the state of a cluster that lost its majority, to begin another
// with. The zero value stands for a new beginning.
type Origin struct {
	Index jury.Index
	Term  jury.Term
	// Data is a snapshot of the registry.
	Data []byte
}

// Bootstrap makes this blank voter one of a new cluster.
func (c control) Bootstrap(ctx context.Context, charter courier.Charter) error {
	return c.voter.clerk.BootstrapFrom(ctx, charter.Cluster, charter.Voters, clerk.InitialState{
		Index: charter.Index,
		Term:  charter.Term,
		Data:  charter.Data,
	})
}

// Bootstrap founds the cluster of all voters that the settings name. Every one
// of them must answer and be blank, or hold the charter of an earlier bootstrap
// that was cut off. If one does not, Bootstrap changes nothing and returns a
// *finding.Error that names each.
//
// A voter that lost its disk is blank too, but the others are not: a bootstrap
// in the place of a replacement is refused and does no harm. Only when all disks
// are lost does it found a new cluster, and whoever knew the old one refuses to
// follow it until it is restarted.
func (v *Voter) Bootstrap(ctx context.Context) error {
	return v.BootstrapFrom(ctx, Origin{})
}

// BootstrapFrom is Bootstrap with the state of a cluster that lost its majority.
// The new cluster has a name of its own: a voter of the old one that comes back
// is not listened to, and instances that followed the old one must be restarted.
func (v *Voter) BootstrapFrom(ctx context.Context, origin Origin) error {
	foundings, err := v.foundings(ctx)
	if err != nil {
		return err
	}
	charter, err := charterOf(foundings, origin)
	if err != nil {
		return err
	}
	for _, voter := range v.options.Voters {
		if err := v.bootstrapAt(ctx, voter, charter); err != nil {
			return errors.Wrapf(err, "chamber: voter %s; run the bootstrap again", voter.Name)
		}
	}
	return v.Control().Bootstrap(ctx, charter)
}

// bootstrapTimeout bounds the writing of a voter's first state. It is synced several times:
// with the time of a usual call, a voter on a busy disk carried the bootstrap out and was
// reported as one that did not answer.
const bootstrapTimeout = 3 * time.Second

func (v *Voter) bootstrapAt(ctx context.Context, voter VoterAddress, charter courier.Charter) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	return v.options.Calls.Bootstrap(ctx, voter.InnerAddress, charter)
}

// foundings asks all voters, this one included.
func (v *Voter) foundings(ctx context.Context) ([]courier.Founding, error) {
	var findings finding.List
	foundings := []courier.Founding{v.Control().Founding()}
	for _, voter := range v.options.Voters {
		founding, err := v.options.Calls.Founding(ctx, voter.InnerAddress)
		if err != nil {
			findings.Add(finding.Place{File: voter.Name}, err.Error(), "start this voter before the bootstrap")
			continue
		}
		foundings = append(foundings, founding)
	}
	return foundings, findings.Err()
}

// charterOf returns the charter for voters that told what they hold.
func charterOf(foundings []courier.Founding, origin Origin) (courier.Charter, error) {
	var findings finding.List
	charter := courier.Charter{}
	identities := make([]jury.Identity, 0, len(foundings))
	for _, founding := range foundings {
		identities = append(identities, founding.Identity)
		if founding.Cluster == "" {
			continue
		}
		place := finding.Place{File: founding.Identity.Instance()}
		switch {
		case founding.Charter.Cluster == "":
			findings.Add(place, "this voter is at work in cluster "+founding.Cluster,
				"to bring back a voter that lost its disk, replace it; do not bootstrap")
		case founding.Charter.Index != max(origin.Index, firstIndex):
			findings.Add(place, fmt.Sprintf("this voter was founded from the state at index %d", founding.Charter.Index),
				"run the bootstrap with the state that was given first")
		case charter.Cluster != "" && charter.Cluster != founding.Cluster:
			findings.Add(place, "this voter was founded in another cluster, "+founding.Cluster,
				"stop it and remove its data folder, unless the others are the wrong ones")
		default:
			charter = founding.Charter
		}
	}
	slices.Sort(identities)
	if charter.Cluster != "" && !slices.Equal(charter.Voters, identities) {
		findings.Add(finding.Place{File: charter.Cluster}, "the cluster was founded for other voters",
			"start the voters that it was founded for")
	}
	if err := findings.Err(); err != nil {
		return courier.Charter{}, err
	}
	return complete(charter, identities, origin)
}

// complete fills in what a charter lacks. The cluster's name follows from its
// voters and its first state: bootstraps of the same voters that run at once
// found one cluster, and those of other voters never the same.
func complete(charter courier.Charter, identities []jury.Identity, origin Origin) (courier.Charter, error) {
	charter.Voters = identities
	charter.Index, charter.Term, charter.Data = origin.Index, origin.Term, origin.Data
	if origin.Index == 0 {
		data, err := registry.New().Snapshot()
		if err != nil {
			return courier.Charter{}, err
		}
		charter.Data = data
	}
	if charter.Cluster == "" {
		charter.Cluster = clusterID(charter)
	}
	return charter, nil
}

// clusterID returns the name of the cluster that a charter founds. Identities
// hold a number that was drawn with the data folder, so that no two sets of
// voters have one name.
func clusterID(charter courier.Charter) string {
	sum := sha256.New()
	for _, identity := range charter.Voters {
		fmt.Fprintf(sum, "%s\n", identity)
	}
	fmt.Fprintf(sum, "%d %d\n", charter.Index, charter.Term)
	sum.Write(charter.Data)
	return hex.EncodeToString(sum.Sum(nil)[:clusterIDBytes])
}
