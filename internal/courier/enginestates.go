package courier

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lovagelift/lovagelift/internal/parcel"
)

// EngineStates are the models and the load of the engines, as known to the instance that sends
// commands to them.
type EngineStates struct {
	// Revision increases with each change. Each new leader starts from a number above all previous
	// ones.
	Revision uint64
	Engines  []EngineState
}

// EngineState is the state of one engine.
type EngineState struct {
	Name string
	// Incarnation identifies the process that holds Models. After a restart of the engine, they are
	// no longer loaded.
	Incarnation uint64
	// Age is the age of the engine's report when the EngineStates were made.
	Age time.Duration
	// Running and Queued are numbers of requests at the engine, KVUsed is the number of tokens that
	// they occupy in its memory.
	Running int
	Queued  int
	KVUsed  int
	Models  []LoadedModel
	// NextModel is the model that the engine is expected to hold next, and NextModelIn the time until
	// then, counted from when the EngineStates were made. NextModel is empty if there is none.
	NextModel   string
	NextModelIn time.Duration
}

// LoadedModel is a model that an engine can run now.
type LoadedModel struct {
	Name     string
	Adapters []string
}

// Encode returns the encoding of s for a SyncReply.
func (s EngineStates) Encode() []byte {
	buffer := parcel.AppendUint(nil, s.Revision)
	buffer = parcel.AppendUint(buffer, uint64(len(s.Engines)))
	for _, engine := range s.Engines {
		buffer = parcel.AppendBytes(buffer, engine.Name)
		buffer = parcel.AppendUint(buffer, engine.Incarnation)
		buffer = parcel.AppendBytes(buffer, engine.NextModel)
		buffer = parcel.AppendUint(buffer, uint64(max(engine.NextModelIn, 0)))
		for _, number := range []int{int(engine.Age), engine.Running, engine.Queued, engine.KVUsed, len(engine.Models)} {
			buffer = parcel.AppendUint(buffer, uint64(max(number, 0)))
		}
		for _, model := range engine.Models {
			buffer = parcel.AppendBytes(buffer, model.Name)
			buffer = parcel.AppendUint(buffer, uint64(len(model.Adapters)))
			for _, adapter := range model.Adapters {
				buffer = parcel.AppendBytes(buffer, adapter)
			}
		}
	}
	return buffer
}

// DecodeEngineStates decodes the result of EngineStates.Encode. If data is damaged, it returns an
// error.
func DecodeEngineStates(data []byte) (EngineStates, error) {
	reader := parcel.NewReader(data)
	states := EngineStates{Revision: reader.Uint()}
	for range reader.Count() {
		engine := EngineState{
			Name: reader.String(), Incarnation: reader.Uint(), NextModel: reader.String(), NextModelIn: time.Duration(reader.Uint()), Age: time.Duration(reader.Uint()),
			Running: int(reader.Uint()), Queued: int(reader.Uint()), KVUsed: int(reader.Uint()),
		}
		for range reader.Count() {
			model := LoadedModel{Name: reader.String()}
			for range reader.Count() {
				model.Adapters = append(model.Adapters, reader.String())
			}
			engine.Models = append(engine.Models, model)
		}
		states.Engines = append(states.Engines, engine)
	}
	return states, errors.Wrap(reader.End(), "courier: decoding holdings")
}
