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

// clusterIDBytes is long enough to make collisions of cluster IDs practically impossible.
const clusterIDBytes = 8

// BootstrapState returns the state of this voter that a bootstrap needs to know.
func (c controlServer) BootstrapState() courier.Founding {
	status := c.voter.replica.Status()
	state := courier.Founding{Identity: c.voter.identity, Cluster: status.Cluster}
	// A voter in operation can be in this state too, when its snapshot covers the whole log.
	// Bootstrapping it again with the charter of its own cluster has no effect.
	if status.Cluster != "" && status.Last == status.SnapshotIndex {
		state.Charter = courier.Charter{
			Cluster: status.Cluster,
			Voters:  status.Voters,
			Index:   status.SnapshotIndex,
		}
	}
	return state
}

// firstIndex is the log index of the initial state of a new cluster.
const firstIndex = 1

// InitialState is the state of a cluster that lost its quorum, from which a new cluster starts. The
// zero value starts with an empty state.
type InitialState struct {
	Index jury.Index
	Term  jury.Term
	// Data is a snapshot of the registry.
	Data []byte
}

// Bootstrap installs the initial state on this blank voter.
func (c controlServer) Bootstrap(ctx context.Context, charter courier.Charter) error {
	return c.voter.replica.BootstrapFrom(ctx, charter.Cluster, charter.Voters, clerk.InitialState{
		Index: charter.Index,
		Term:  charter.Term,
		Data:  charter.Data,
	})
}

// Bootstrap creates a cluster of all voters in the settings. Each of them must answer and be blank,
// or hold the charter of an earlier bootstrap that was interrupted. Otherwise Bootstrap changes
// nothing and returns a *finding.Error with each voter that prevents it.
//
// A voter that lost its disk is blank too, but the others are not, so a bootstrap run by mistake in
// place of a voter replacement is refused and does no harm. Only if all disks are lost does
// Bootstrap create a new cluster. Instances that followed the old cluster then refuse to follow the
// new one until they are restarted.
func (v *Voter) Bootstrap(ctx context.Context) error {
	return v.BootstrapFrom(ctx, InitialState{})
}

// BootstrapFrom is Bootstrap with the state of a cluster that lost its quorum. The new cluster has
// a new ID: voters of the old cluster that come back are ignored, and instances that followed the
// old cluster must be restarted.
func (v *Voter) BootstrapFrom(ctx context.Context, origin InitialState) error {
	states, err := v.collectBootstrapStates(ctx)
	if err != nil {
		return err
	}
	charter, err := newCharter(states, origin)
	if err != nil {
		return err
	}
	for _, voter := range v.options.Voters {
		if err := v.bootstrapVoter(ctx, voter, charter); err != nil {
			return errors.Wrapf(err, "chamber: voter %s; run the bootstrap again", voter.Name)
		}
	}
	return v.Control().Bootstrap(ctx, charter)
}

const (
	// bootstrapCallTimeout bounds one call to a voter. One that writes the initial state takes
	// several syncs. With the timeout of other calls, a voter on a busy disk completed the bootstrap
	// and was still reported as not answering.
	bootstrapCallTimeout = 3 * time.Second
	// bootstrapTimeout bounds all calls for one voter. A sync on a busy disk may take seconds.
	bootstrapTimeout = 15 * time.Second
)

// bootstrapVoter writes the initial state of a voter. A voter that has written the state by the time at which
// a call is given up, or writes it meanwhile, answers the next one.
func (v *Voter) bootstrapVoter(ctx context.Context, voter VoterAddress, charter courier.Charter) error {
	return repeatLate(ctx, func(ctx context.Context) error { return v.options.Calls.Bootstrap(ctx, voter.InnerAddress, charter) })
}

// repeatLate calls a voter again while the call takes too long, until bootstrapTimeout has passed.
func repeatLate(ctx context.Context, call func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
	defer cancel()
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, bootstrapCallTimeout)
		err := call(callCtx)
		cancelCall()
		if !errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
			return err
		}
	}
}

// collectBootstrapStates collects the Founding of every voter, including this one.
func (v *Voter) collectBootstrapStates(ctx context.Context) ([]courier.Founding, error) {
	var findings finding.List
	states := []courier.Founding{v.Control().BootstrapState()}
	for _, voter := range v.options.Voters {
		var state courier.Founding
		err := repeatLate(ctx, func(ctx context.Context) (err error) {
			state, err = v.options.Calls.BootstrapState(ctx, voter.InnerAddress)
			return err
		})
		if err != nil {
			findings.Add(finding.Place{File: voter.Name}, err.Error(), "start this voter before the bootstrap")
			continue
		}
		states = append(states, state)
	}
	return states, findings.Err()
}

// newCharter returns the charter for the voters that reported states. If one of them prevents the
// bootstrap, newCharter returns a *finding.Error.
func newCharter(states []courier.Founding, origin InitialState) (courier.Charter, error) {
	var findings finding.List
	charter := courier.Charter{}
	identities := make([]jury.Identity, 0, len(states))
	for _, state := range states {
		identities = append(identities, state.Identity)
		if state.Cluster == "" {
			continue
		}
		place := finding.Place{File: state.Identity.Instance()}
		switch {
		case state.Charter.Cluster == "":
			findings.Add(place, "this voter is at work in cluster "+state.Cluster,
				"to bring back a voter that lost its disk, replace it; do not bootstrap")
		case state.Charter.Index != max(origin.Index, firstIndex):
			findings.Add(place, fmt.Sprintf("this voter was founded from the state at index %d", state.Charter.Index),
				"run the bootstrap with the state that was given first")
		case charter.Cluster != "" && charter.Cluster != state.Cluster:
			findings.Add(place, "this voter was founded in another cluster, "+state.Cluster,
				"stop it and remove its data folder, unless the others are the wrong ones")
		default:
			charter = state.Charter
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
	return completeCharter(charter, identities, origin)
}

// completeCharter sets the fields of a charter that are still missing. The cluster ID is derived
// from the voters and the initial state, so that concurrent bootstraps of the same voters create
// one cluster, and bootstraps of different voters never share one.
func completeCharter(charter courier.Charter, identities []jury.Identity, origin InitialState) (courier.Charter, error) {
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

// clusterID returns the ID of the cluster that a charter creates. Each identity contains a random
// number that was generated with the data folder, so that different sets of voters have different
// IDs.
func clusterID(charter courier.Charter) string {
	sum := sha256.New()
	for _, identity := range charter.Voters {
		fmt.Fprintf(sum, "%s\n", identity)
	}
	fmt.Fprintf(sum, "%d %d\n", charter.Index, charter.Term)
	sum.Write(charter.Data)
	return hex.EncodeToString(sum.Sum(nil)[:clusterIDBytes])
}
