package declaration

import (
	"fmt"
	"path"
	"regexp"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

// Upper bounds of declared numbers. They are above the sizes that the system is
// designed for, and keep sums far from overflow. maxMemory is in bytes; maxCount
// bounds numbers of accelerators, engines and failure domains.
const (
	maxMemory                = Bytes(4 << 40)
	maxAcceleratorsPerLayout = 64
	maxCount                 = 100_000
	maxCopies                = 10_000
	maxPriority              = 9
	maxReservePercent        = 90
	maxWeight                = 1000
)

var (
	// namePattern allows only characters that need no escaping in a URL path,
	// since callers address services by their names there.
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	// modelNamePattern also allows slashes and colons, which are common in names
	// of models.
	modelNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}$`)
	methodPattern    = regexp.MustCompile(`^([A-Z]{1,20}|\*)$`)
)

// validator checks one content and adds its findings to the list findings.
type validator struct {
	content  content
	sources  sourceMap
	findings *finding.List

	failureDomains     namespace
	acceleratorClasses namespace
	services           namespace
	// targets holds models and adapters. They share a namespace because callers
	// refer to both in the same way.
	targets    namespace
	presets    namespace
	workspaces namespace
	// modelsOfService holds the models that each service uses, by the name of the
	// service.
	modelsOfService map[string][]string
}

// validate adds a finding for each invalid value in c and for each conflict
// between its declarations.
func validate(c content, sources sourceMap, findings *finding.List) {
	v := &validator{
		content: c, sources: sources, findings: findings,
		failureDomains: newNamespace(), acceleratorClasses: newNamespace(), services: newNamespace(), targets: newNamespace(), presets: newNamespace(),
		workspaces:      newNamespace(),
		modelsOfService: map[string][]string{},
	}
	v.collectNames()
	for i, class := range c.AcceleratorClasses {
		v.checkAcceleratorClass(elementPath("accelerator-classes", i), class)
	}
	for i, service := range c.Services {
		v.checkService(elementPath("services", i), service)
	}
	for i, model := range c.Models {
		v.checkModel(elementPath("models", i), model)
	}
	for i, adapter := range c.Adapters {
		v.checkAdapter(elementPath("adapters", i), adapter)
	}
	v.checkPresets()
	v.checkWorkspaces()
	if findings.Len() == 0 {
		v.checkCapacity()
	}
}

// addFinding adds a finding at path, unless the value there already has one.
func (v *validator) addFinding(path, problem, advice string) {
	if v.sources.invalid[path] {
		return
	}
	v.findings.Add(v.sources.placeOf(path), problem, advice)
}

// addMissingKey adds a finding for a missing key of the element at path.
func (v *validator) addMissingKey(path, key, example string) {
	v.addFinding(path+"."+key, fmt.Sprintf("key %q is missing", key), fmt.Sprintf("write %s = %s", key, example))
}

// checkRange adds a finding if number, the value of key at path, is out of bounds.
func (v *validator) checkRange(path, key string, number, minimum, maximum int) {
	if number < minimum || number > maximum {
		v.addFinding(path+"."+key, fmt.Sprintf("%q must be from %d to %d, not %d", key, minimum, maximum, number),
			fmt.Sprintf("write for example %s = %d", key, minimum))
	}
}

// checkMemory adds a finding if size, the value of key at path, is out of bounds.
func (v *validator) checkMemory(path, key string, size, minimum Bytes) {
	if size == 0 && minimum > 0 {
		v.addMissingKey(path, key, `"18 GiB"`)
		return
	}
	if size < minimum || size > maxMemory {
		v.addFinding(path+"."+key, fmt.Sprintf("%q must be from %d B to %s, not %d B", key, minimum, maxMemory, size),
			"write for example "+key+` = "18 GiB"`)
	}
}

func (v *validator) collectNames() {
	c := v.content
	for i, d := range c.FailureDomains {
		v.declareName(v.failureDomains, elementPath("failure-domains", i), "failure domain", d.Name, namePattern)
	}
	for i, a := range c.AcceleratorClasses {
		v.declareName(v.acceleratorClasses, elementPath("accelerator-classes", i), "accelerator class", a.Name, namePattern)
	}
	for i, s := range c.Services {
		v.declareName(v.services, elementPath("services", i), "service", s.Name, namePattern)
		v.modelsOfService[s.Name] = append(v.modelsOfService[s.Name], s.Models...)
	}
	for i, m := range c.Models {
		v.declareName(v.targets, elementPath("models", i), "model", m.Name, modelNamePattern)
	}
	for i, a := range c.Adapters {
		v.declareName(v.targets, elementPath("adapters", i), "adapter", a.Name, modelNamePattern)
	}
	for i, p := range c.Presets {
		v.declareName(v.presets, elementPath("presets", i), "preset", p.Name, namePattern)
	}
	for i, w := range c.Workspaces {
		v.declareName(v.workspaces, elementPath("workspaces", i), "workspace", w.Name, namePattern)
	}
}

// declareName adds name to space, or adds a finding if name is invalid or already
// in use.
func (v *validator) declareName(space namespace, path, kind, name string, pattern *regexp.Regexp) {
	if name == "" {
		v.addMissingKey(path, "name", `"..."`)
		return
	}
	namePath := path + ".name"
	if !pattern.MatchString(name) {
		v.addFinding(namePath, fmt.Sprintf("%s cannot be called %q", kind, name),
			"begin with a letter or digit, then write letters, digits, dots, dashes and underscores")
		return
	}
	if owner, taken := space.owners[name]; taken {
		v.addFinding(namePath, fmt.Sprintf("%s %q is already the name of the %s at %s", kind, name, owner.kind, owner.place),
			"remove one or write another name")
		return
	}
	space.owners[name] = nameOwner{kind: kind, place: v.sources.placeOf(namePath)}
}

// checkReference reports whether space has a declaration of kind called name, and
// adds a finding if not.
func (v *validator) checkReference(space namespace, referencePath, kind, name string) bool {
	owner, ok := space.owners[name]
	if ok && owner.kind == kind {
		return true
	}
	candidates := space.namesOfKind(kind)
	advice := fmt.Sprintf("declare it, or write one of the %d %ss that are declared", len(candidates), kind)
	if nearest, ok := form.Nearest(name, candidates); ok {
		advice = fmt.Sprintf("write %q", nearest)
	}
	problem := fmt.Sprintf("%s %q is not declared", kind, name)
	if ok {
		problem = fmt.Sprintf("%q is not a %s but the %s at %s", name, kind, owner.kind, owner.place)
	}
	v.addFinding(referencePath, problem, advice)
	return false
}

func (v *validator) checkAcceleratorClass(path string, class AcceleratorClass) {
	v.checkMemory(path, "memory", class.Memory, 1)
	v.checkRange(path, "count", class.Count, 1, maxCount)
}

func (v *validator) checkService(path string, service Service) {
	v.checkGoal(path+".goal", service.Goal)
	for i, model := range service.Models {
		v.checkReference(v.targets, elementPath(path+".models", i), "model", model)
	}
	v.checkUnique(path+".models", service.Models)
	switch service.Kind {
	case ModelBacked:
		v.checkModelBacked(path, service)
	case Plain:
		v.checkPlain(path, service)
	case "":
		v.addMissingKey(path, "kind", `"model-backed" or "plain"`)
	default:
		v.addFinding(path+".kind", fmt.Sprintf("%q cannot be %q", "kind", service.Kind), `write "model-backed" or "plain"`)
	}
}

func (v *validator) checkModelBacked(path string, service Service) {
	if len(service.Models) == 0 {
		v.addMissingKey(path, "models", `["..."]`)
	}
	if len(service.NonRepeatable) > 0 {
		v.addFinding(path+".non-repeatable", "a model-backed service has no calls to list",
			"write non-idempotent = true if its completions have effects")
	}
	if len(service.Repeatable) > 0 {
		v.addFinding(path+".repeatable", "a model-backed service has no calls to list", "leave it out")
	}
}

func (v *validator) checkPlain(path string, service Service) {
	if len(service.Models) > 0 {
		v.addFinding(path+".models", "a plain service uses no models", `leave it out, or write kind = "model-backed"`)
	}
	if service.NonIdempotent {
		v.addFinding(path+".non-idempotent", "a plain service names its calls",
			`write for example non-repeatable = ["POST /bookings"]`)
	}
	for i, call := range service.NonRepeatable {
		v.checkCall(elementPath(path+".non-repeatable", i), call)
	}
	for i, call := range service.Repeatable {
		v.checkCall(elementPath(path+".repeatable", i), call)
	}
	v.checkUnique(path+".non-repeatable", callStrings(service.NonRepeatable))
	v.checkUnique(path+".repeatable", callStrings(service.Repeatable))
	nonRepeatable := map[string]bool{}
	for _, call := range service.NonRepeatable {
		nonRepeatable[call.String()] = true
	}
	for i, call := range service.Repeatable {
		if nonRepeatable[call.String()] {
			v.addFinding(elementPath(path+".repeatable", i), fmt.Sprintf("%q is in non-repeatable as well", call), "leave one out")
		}
	}
}

func callStrings(calls []Call) []string {
	formatted := make([]string, 0, len(calls))
	for _, call := range calls {
		formatted = append(formatted, call.String())
	}
	return formatted
}

func (v *validator) checkCall(callPath string, call Call) {
	const example = `write for example "POST /bookings/*"`
	_, err := path.Match(call.Path, "/")
	prefix, _ := strings.CutSuffix(call.Path, "/**")
	switch {
	case !methodPattern.MatchString(call.Method) || !strings.HasPrefix(call.Path, "/"):
		v.addFinding(callPath, fmt.Sprintf("%q is no method and path", call), example)
	case err != nil:
		v.addFinding(callPath, fmt.Sprintf("%q is no pattern of a path", call.Path), example)
	case strings.Contains(prefix, "**"):
		v.addFinding(callPath, fmt.Sprintf("** may only be the last segment of %q", call.Path), `write for example "POST /bookings/**"`)
	case prefix != "" && path.Clean(prefix) != prefix:
		v.addFinding(callPath, fmt.Sprintf("%q never matches a call", call.Path), fmt.Sprintf("write %q", path.Clean(prefix)))
	default:
	}
}

func (v *validator) checkGoal(path string, goal Goal) {
	v.checkDuration(path, "first-token", goal.FirstToken)
	v.checkDuration(path, "between-tokens", goal.BetweenTokens)
	v.checkDuration(path, "deadline", goal.Deadline)
	v.checkRange(path, "priority", goal.Priority, 0, maxPriority)
	if goal.Deadline > 0 && goal.Deadline <= goal.FirstToken {
		v.addFinding(path+".deadline", fmt.Sprintf("the deadline %s is not after the first token's goal %s", goal.Deadline, goal.FirstToken),
			"write a longer deadline")
	}
}

func (v *validator) checkDuration(path, key string, d time.Duration) {
	if d < 0 || d > maxDuration {
		v.addFinding(path+"."+key, fmt.Sprintf("%q must be from 0s to %s, not %s", key, maxDuration, d), "write for example \"540ms\"")
	}
}

func (v *validator) checkModel(path string, model Model) {
	v.checkMemory(path, "kv-space", model.KVCacheMemory, 0)
	if len(model.Layouts) == 0 {
		v.addMissingKey(path, "layouts", `[{ accelerators = 1, memory = "18 GiB" }]`)
	}
	acceleratorCounts := make([]string, 0, len(model.Layouts))
	for i, layout := range model.Layouts {
		layoutPath := elementPath(path+".layouts", i)
		v.checkRange(layoutPath, "accelerators", layout.Accelerators, 1, maxAcceleratorsPerLayout)
		v.checkMemory(layoutPath, "memory", layout.Memory, 1)
		acceleratorCounts = append(acceleratorCounts, fmt.Sprintf("%d accelerators", layout.Accelerators))
	}
	v.checkUnique(path+".layouts", acceleratorCounts)
	v.checkVersions(path, model)
}

func (v *validator) checkVersions(path string, model Model) {
	if len(model.Versions) == 0 {
		v.addMissingKey(path, "versions", `[{ name = "1", weights = "..." }]`)
		return
	}
	versionNames := make([]string, 0, len(model.Versions))
	selected := false
	for i, version := range model.Versions {
		versionPath := elementPath(path+".versions", i)
		versionNames = append(versionNames, version.Name)
		if version.Name == "" {
			v.addMissingKey(versionPath, "name", `"1"`)
			continue
		}
		if version.Weights == "" {
			v.addMissingKey(versionPath, "weights", `"..."`)
		}
		selected = selected || version.Name == model.Version
	}
	v.checkUnique(path+".versions", versionNames)
	switch {
	case model.Version == "":
		v.addMissingKey(path, "version", fmt.Sprintf("%q", model.Versions[0].Name))
	case !selected:
		advice := "write one of " + strings.Join(versionNames, ", ")
		if nearest, ok := form.Nearest(model.Version, versionNames); ok {
			advice = fmt.Sprintf("write %q", nearest)
		}
		v.addFinding(path+".version", fmt.Sprintf("version %q is not among the versions", model.Version), advice)
	default:
	}
}

func (v *validator) checkAdapter(path string, adapter Adapter) {
	v.checkMemory(path, "memory", adapter.Memory, 1)
	if adapter.Weights == "" {
		v.addMissingKey(path, "weights", `"..."`)
	}
	modelDeclared := false
	if adapter.Model == "" {
		v.addMissingKey(path, "model", `"..."`)
	} else {
		modelDeclared = v.checkReference(v.targets, path+".model", "model", adapter.Model)
	}
	v.checkUnique(path+".services", adapter.Services)
	for i, service := range adapter.Services {
		servicePath := elementPath(path+".services", i)
		if v.checkReference(v.services, servicePath, "service", service) && modelDeclared && v.usesOtherModelsOnly(service, adapter.Model) {
			v.addFinding(servicePath, fmt.Sprintf("service %q does not use model %q, which the adapter is loaded beside", service, adapter.Model),
				fmt.Sprintf("write %q among the models of that service, or leave the service out", adapter.Model))
		}
	}
}

// usesOtherModelsOnly reports whether all models of service are declared and none
// of them is model. A service with an undeclared model already has a finding: that
// model may be a misspelling of model, so that a finding for the adapter would
// report the same mistake twice.
func (v *validator) usesOtherModelsOnly(service, model string) bool {
	for _, used := range v.modelsOfService[service] {
		if used == model || v.targets.owners[used].kind != "model" {
			return false
		}
	}
	return true
}

// checkUnique adds a finding for each duplicate in values, the list at path. It
// ignores empty values, which have findings of their own.
func (v *validator) checkUnique(path string, values []string) {
	firstIndex := map[string]int{}
	for i, value := range values {
		first, duplicate := firstIndex[value]
		if !duplicate || value == "" {
			firstIndex[value] = i
			continue
		}
		v.addFinding(elementPath(path, i), fmt.Sprintf("%q stands twice, first at %s", value, v.sources.placeOf(elementPath(path, first))), "leave one out")
	}
}
