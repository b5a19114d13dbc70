package desk

import (
	"net/http"
	"time"

	"github.com/lovagelift/lovagelift/internal/declaration"
	"github.com/lovagelift/lovagelift/internal/outcome"
	"github.com/lovagelift/lovagelift/internal/shutdown"
	"github.com/lovagelift/lovagelift/internal/workspace"
)

// serviceHeader names the service that a completion belongs to. Without it, the first declared
// service that uses the model determines the goal.
const serviceHeader = "Lovagelift-Service"

// admittedRequest holds the parameters of an admitted request, taken from one configuration.
type admittedRequest struct {
	service string
	// declared is the zero value if the service is not declared.
	declared declaration.Service
	goal     declaration.Goal
	// weight is the service's share among services of the same priority.
	weight    float64
	arrivedAt time.Time
	deadline  time.Time
	// workspace is the caller's, or nil if none is declared.
	workspace *workspace.Workspace
}

// admit admits or refuses a request before any of it is sent to an upstream. It reads all
// parameters of the request from one configuration snapshot, so that a change of the preset
// cannot mix old and new values.
func (s *Server) admit(header http.Header, service, model string) (admittedRequest, *RefusalError) {
	now := s.options.Now()
	if refusal := s.options.Instance.CheckAdmission(now); refusal != nil {
		return admittedRequest{}, refusal
	}
	configuration := s.options.Instance.Configuration()
	a := admittedRequest{service: service, arrivedAt: now}
	if service != "" {
		a.declared, _ = configuration.Declarations.Service(service)
	} else {
		a.declared, _ = configuration.Declarations.FirstServiceUsing(model)
		a.service = a.declared.Name
	}
	a.goal = a.declared.Goal
	if model != "" {
		a.goal = a.goal.WithDefaults(s.options.Limits.DefaultGoal)
	}
	if a.declared.Name == "" {
		// Priority 0 is the highest. Only declared services may have it.
		a.goal.Priority = declaration.DefaultPriority
	}
	var refusal *RefusalError
	a.workspace, refusal = s.workspaces.authorize(header, configuration, a.service)
	if refusal != nil {
		return admittedRequest{}, refusal
	}
	a.weight = configuration.Preset.Share(a.declared.Name)
	deadline := a.goal.Deadline
	if deadline == 0 {
		deadline = s.options.Limits.DefaultDeadline
	}
	a.deadline = now.Add(deadline)
	if !s.isSentInTime(a, model) {
		return admittedRequest{}, s.stoppingRefusal(outcome.NotRun, shutdown.ReasonTooLong)
	}
	s.shutdown.CountTaken(now)
	return a, nil
}
