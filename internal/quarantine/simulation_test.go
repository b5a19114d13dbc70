package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/lovagelift/lovagelift/internal/quarantine"
)

// Bounds that the provider states for a part of a prompt that crashes engines.
const (
	contactTime = 3 * time.Second
	// toleratedCrashes is the number of crashes after which the times start.
	toleratedCrashes = 5
	maxLateSends     = 3
	minSoundShare    = 0.5
)

// partScenario is a day on which parts of prompts crash engines.
type partScenario struct {
	instances, engines int
	// soundPerSecond and harmfulPerSecond are the rates of requests.
	soundPerSecond, harmfulPerSecond float64
	// sound and harmful return the parts of the prompt of a request.
	sound, harmful func(*rand.Rand, time.Duration) []string
	// isHarmful reports whether engines crash on a part.
	isHarmful func(part string) bool
	// otherCrashInterval is the mean time between crashes for other reasons, 0 for none.
	otherCrashInterval time.Duration
	// entriesRestartAt and controlRestartAt are when all entry instances and the control instance
	// restart, 0 for never.
	entriesRestartAt, controlRestartAt time.Duration
	// untilClose is true if all responses end with their connection.
	untilClose bool
	// answerStarts is the probability that the first event of a harmful answer arrives before the
	// crash.
	answerStarts float64
	// harmfulFrom is when harmful requests begin.
	harmfulFrom time.Duration
}

const (
	simulationStep    = 10 * time.Millisecond
	simulationTime    = 60 * time.Second
	pollInterval      = 500 * time.Millisecond
	reportInterval    = 100 * time.Millisecond
	recordDelay       = 150 * time.Millisecond
	detectionDelay    = 50 * time.Millisecond
	requestsPerEngine = 24
)

// simulatedRequest is a request at an engine.
type simulatedRequest struct {
	id       string
	parts    []string
	harmful  bool
	instance int
	sentAt   time.Duration
	// answersAt and endsAt are when its first event and its last one arrive.
	answersAt, endsAt time.Duration
}

func (r simulatedRequest) suspect(now time.Duration) quarantine.Suspect {
	s := quarantine.Suspect{Digest: digest(r.id), Request: r.id, Parts: partDigests(r.parts)}
	if now > r.answersAt {
		s = s.WithAnswering(now - r.answersAt)
	}
	return s
}

func partDigests(parts []string) []quarantine.Digest {
	var digests []quarantine.Digest
	for _, part := range parts {
		digests = append(digests, quarantine.PartDigest(part))
	}
	return digests
}

// simulatedEngine is an engine that restarts under another name after a crash.
type simulatedEngine struct {
	name     string
	upAt     time.Duration
	requests []simulatedRequest
}

// partSimulation plays a partScenario with simulated time.
type partSimulation struct {
	scenario partScenario
	random   *rand.Rand
	cluster  *cluster
	watches  []*quarantine.Watch
	trials   quarantine.Trials
	// decidesSince is when the instance that decides on trials started.
	decidesSince time.Time
	engines      []*simulatedEngine
	start        time.Time
	now          time.Duration
	starts       int
	requests     int
	// pending are the updates on their way to the records, and ended the crashes that the
	// instances have not detected yet.
	pending []pendingUpdate
	ended   []endedEngine
	// crashTimes are the crashes by harmful part, and sends the times at which requests with it
	// were sent to engines.
	crashTimes, sends map[string][]time.Duration
	// soundSent and soundRefused count the sound requests by second, and soundDenied those that
	// were refused for good.
	soundSent, soundRefused [int(simulationTime/time.Second) + 1]int
	soundDenied             int
}

type pendingUpdate struct {
	at     time.Duration
	update quarantine.Update
}

type endedEngine struct {
	at   time.Duration
	name string
}

func newPartSimulation(scenario partScenario, seed uint64) *partSimulation {
	s := &partSimulation{
		scenario: scenario, random: rand.New(rand.NewPCG(seed, 57)), cluster: newCluster(quarantine.Limits{}),
		crashTimes: map[string][]time.Duration{}, sends: map[string][]time.Duration{},
	}
	s.start = s.cluster.now
	s.restartEntries()
	for range scenario.engines {
		s.engines = append(s.engines, &simulatedEngine{name: s.nextEngine()})
	}
	return s
}

func (s *partSimulation) restartEntries() {
	s.watches, s.trials, s.decidesSince = nil, quarantine.Trials{}, s.cluster.now
	for range s.scenario.instances {
		watch := quarantine.NewWatch()
		watch.ApplyNews(s.cluster.now, s.cluster.news())
		s.watches = append(s.watches, watch)
	}
}

func (s *partSimulation) nextEngine() string {
	s.starts++
	return fmt.Sprint("engine-", s.starts)
}

func (s *partSimulation) run() {
	for s.now = 0; s.now < simulationTime; s.now += simulationStep {
		s.cluster.now = s.start.Add(s.now)
		if s.now == s.scenario.entriesRestartAt && s.now > 0 {
			s.restartEntries()
		}
		if s.now == s.scenario.controlRestartAt && s.now > 0 {
			restored, err := quarantine.Restore(s.cluster.records.Snapshot())
			Expect(err).NotTo(HaveOccurred())
			s.cluster.records, s.cluster.publisher = restored, quarantine.NewPublisher(quarantine.Limits{})
		}
		s.deliver()
		s.runEngines()
		s.arrive(s.scenario.soundPerSecond, s.scenario.sound, false)
		if s.now >= s.scenario.harmfulFrom {
			s.arrive(s.scenario.harmfulPerSecond, s.scenario.harmful, true)
		}
	}
}

// happens reports whether something with a rate per second happens in this step.
func (s *partSimulation) happens(perSecond float64) bool {
	return s.random.Float64() < perSecond*simulationStep.Seconds()
}

// arrive lets requests arrive at random instances.
func (s *partSimulation) arrive(perSecond float64, parts func(*rand.Rand, time.Duration) []string, harmful bool) {
	if !s.happens(perSecond) {
		return
	}
	s.requests++
	request := simulatedRequest{
		id: fmt.Sprint("r", s.requests), parts: parts(s.random, s.now), harmful: harmful,
		instance: s.random.IntN(len(s.watches)), sentAt: s.now,
	}
	request.answersAt = s.now + time.Duration(20+s.random.IntN(180))*time.Millisecond
	request.endsAt = request.answersAt + time.Duration(300+s.random.IntN(3000))*time.Millisecond
	up := slices.DeleteFunc(slices.Clone(s.engines), func(e *simulatedEngine) bool {
		return s.now < e.upAt || len(e.requests) >= requestsPerEngine
	})
	ruling := s.rule(request)
	if !harmful {
		s.soundSent[s.now/time.Second]++
		if ruling.Decision == quarantine.DecisionRefuse {
			s.soundRefused[s.now/time.Second]++
		}
		if ruling.Decision == quarantine.DecisionRefuse && !ruling.Suspected {
			s.soundDenied++
		}
	}
	if ruling.Decision == quarantine.DecisionRefuse || len(up) == 0 {
		return
	}
	engine := up[s.random.IntN(len(up))]
	engine.requests = append(engine.requests, request)
	for _, part := range request.parts {
		if s.scenario.isHarmful(part) {
			s.sends[part] = append(s.sends[part], s.now)
		}
	}
}

func (s *partSimulation) rule(request simulatedRequest) quarantine.Ruling {
	ruling := s.watches[request.instance].Rule(s.cluster.now, digest(request.id), partDigests(request.parts)...)
	if ruling.Decision == quarantine.DecisionTry && !s.trials.Take(s.cluster.now, s.decidesSince, ruling.Trial()) {
		ruling.Decision = quarantine.DecisionRefuse
	}
	return ruling
}

// runEngines lets requests end and engines crash.
func (s *partSimulation) runEngines() {
	for _, engine := range s.engines {
		if s.now < engine.upAt {
			continue
		}
		crashes := s.scenario.otherCrashInterval > 0 && s.happens(1/s.scenario.otherCrashInterval.Seconds()/float64(len(s.engines)))
		var running []simulatedRequest
		for _, request := range engine.requests {
			switch {
			case request.harmful && s.now >= request.answersAt:
				crashes = true
				for _, part := range request.parts {
					if s.scenario.isHarmful(part) {
						s.crashTimes[part] = append(s.crashTimes[part], s.now)
					}
				}
				if s.random.Float64() >= s.scenario.answerStarts {
					request.answersAt = simulationTime
				}
				running = append(running, request)
			case s.now >= request.endsAt:
				s.succeed(engine, request)
			default:
				running = append(running, request)
			}
		}
		engine.requests = running
		if crashes {
			s.crash(engine)
		}
	}
}

// succeed ends a request with a whole response.
func (s *partSimulation) succeed(engine *simulatedEngine, request simulatedRequest) {
	watch := s.watches[request.instance]
	if !s.scenario.untilClose {
		watch.Succeeded(s.cluster.now, digest(request.id), partDigests(request.parts)...)
		return
	}
	watch.Responded(s.cluster.now, lifetime(engine.name))
	watch.Closed(s.cluster.now, endpoint(engine.name), request.suspect(s.now), partDigests(request.parts)...)
}

func (s *partSimulation) crash(engine *simulatedEngine) {
	for _, request := range engine.requests {
		s.watches[request.instance].Interrupted(s.cluster.now, endpoint(engine.name), request.suspect(s.now))
	}
	s.ended = append(s.ended, endedEngine{at: s.now + detectionDelay, name: engine.name})
	engine.requests, engine.name = nil, s.nextEngine()
	engine.upAt = s.now + time.Duration(2000+s.random.IntN(2000))*time.Millisecond
}

// deliver detects crashes, and brings reports to the records and news to the instances.
func (s *partSimulation) deliver() {
	for _, ended := range s.ended {
		if ended.at == s.now {
			for _, watch := range s.watches {
				watch.Observe(lifetime(ended.name), quarantine.StatusRefused)
			}
		}
	}
	for n, watch := range s.watches {
		tick := s.now + time.Duration(n)*37*time.Millisecond/simulationStep*simulationStep
		if tick%reportInterval == 0 {
			if update := watch.TakeDue(s.cluster.now); !update.Empty() {
				s.pending = append(s.pending, pendingUpdate{s.now + recordDelay, update})
			}
		}
		if tick%pollInterval == 0 {
			watch.Review(s.cluster.now, func(quarantine.Endpoint) quarantine.Status { return quarantine.StatusUnknown })
			watch.ApplyNews(s.cluster.now, s.cluster.news())
		}
	}
	for len(s.pending) > 0 && s.pending[0].at <= s.now {
		s.cluster.apply(s.pending[0].update)
		s.pending = s.pending[1:]
	}
}

// lateSends returns the sends of requests with a part later than contactTime after the fifth
// crash on it.
func (s *partSimulation) lateSends(part string) int {
	crashes := s.crashTimes[part]
	if len(crashes) < toleratedCrashes {
		return 0
	}
	late := 0
	for _, at := range s.sends[part] {
		if at > crashes[toleratedCrashes-1]+contactTime {
			late++
		}
	}
	return late
}

// soundShare returns the share of sound requests that are not refused from a second on.
func (s *partSimulation) soundShare(from time.Duration) float64 {
	sent, refused := 0, 0
	for second := int(from / time.Second); second < len(s.soundSent); second++ {
		sent += s.soundSent[second]
		refused += s.soundRefused[second]
	}
	return 1 - float64(refused)/float64(max(sent, 1))
}

// settledAt is when the effects of the crashes on all parts must have ended.
func (s *partSimulation) settledAt() time.Duration {
	settled := time.Duration(0)
	for _, crashes := range s.crashTimes {
		settled = max(settled, crashes[min(len(crashes), toleratedCrashes)-1]+2*contactTime)
	}
	return settled
}

// simulationSeeds returns the seeds to play. LOVAGELIFT_SEEDS sets their number.
func simulationSeeds() uint64 {
	if count, err := strconv.ParseUint(os.Getenv("LOVAGELIFT_SEEDS"), 10, 32); err == nil {
		return count
	}
	return 3
}

func pick(random *rand.Rand, prefix string, count int) string {
	return fmt.Sprint(prefix, random.IntN(count))
}

func soundParts(random *rand.Rand, _ time.Duration) []string {
	return []string{pick(random, "system", 3), pick(random, "subject", 40)}
}

func isDead(part string) bool {
	return len(part) >= 4 && part[:4] == "dead"
}

// newScenario returns a scenario whose harmful prompts have one part among those of sound ones.
func newScenario() partScenario {
	return partScenario{
		instances: 7, engines: 12, soundPerSecond: 30, harmfulPerSecond: 4, harmfulFrom: 5 * time.Second,
		sound:     soundParts,
		isHarmful: isDead,
		harmful: func(random *rand.Rand, now time.Duration) []string {
			return append(soundParts(random, now), "dead")
		},
	}
}

var _ = DescribeTable("A part of prompts that crashes engines is refused, and other prompts are not",
	func(change func(*partScenario)) {
		for seed := range simulationSeeds() {
			scenario := newScenario()
			change(&scenario)
			s := newPartSimulation(scenario, seed)
			s.run()
			for part := range s.crashTimes {
				Expect(s.lateSends(part)).To(BeNumerically("<=", maxLateSends), "seed %d: %s crashed %d engines", seed, part, len(s.crashTimes[part]))
			}
			Expect(s.soundShare(s.settledAt())).To(BeNumerically(">=", minSoundShare), "seed %d", seed)
			Expect(s.soundDenied).To(BeNumerically("<=", 5+s.requests/500), "seed %d: sound requests denied of %d", seed, s.requests)
		}
	},
	Entry("late in the prompt", func(*partScenario) {}),
	Entry("as the first part", func(p *partScenario) {
		p.harmful = func(random *rand.Rand, now time.Duration) []string {
			return append([]string{"dead"}, soundParts(random, now)...)
		}
	}),
	Entry("alone before the request's own part", func(p *partScenario) {
		p.harmful = func(*rand.Rand, time.Duration) []string { return []string{"dead"} }
	}),
	Entry("rare among many sound requests", func(p *partScenario) {
		p.soundPerSecond, p.harmfulPerSecond = 60, 0.4
	}),
	Entry("that often arrives when the answer has begun", func(p *partScenario) {
		p.answerStarts = 0.5
	}),
	Entry("among responses that end with their connection", func(p *partScenario) {
		p.untilClose = true
	}),
	// The first part is at each crash, and nothing shows that it is harmless.
	Entry("beside one first part of all prompts, from the start, among responses that end with their connection", func(p *partScenario) {
		p.untilClose, p.harmfulFrom = true, 0
		p.sound = func(random *rand.Rand, _ time.Duration) []string {
			return []string{"system", pick(random, "subject", 40)}
		}
		p.harmful = func(random *rand.Rand, _ time.Duration) []string {
			return []string{"system", pick(random, "subject", 40), "dead"}
		}
	}),
	Entry("two at once", func(p *partScenario) {
		p.harmful = func(random *rand.Rand, now time.Duration) []string {
			return append(soundParts(random, now), pick(random, "dead", 2))
		}
	}),
	Entry("ten at once", func(p *partScenario) {
		p.harmful = func(random *rand.Rand, now time.Duration) []string {
			return append(soundParts(random, now), pick(random, "dead", 10))
		}
	}),
	// Such a part is under suspicion until a prompt with it alone is answered.
	Entry("beside parts that only it has had at first", func(p *partScenario) {
		p.harmful = func(random *rand.Rand, now time.Duration) []string {
			if now < 12*time.Second {
				return []string{"system0", "beside", "dead"}
			}
			return append(soundParts(random, now), "dead")
		}
		p.sound = func(random *rand.Rand, now time.Duration) []string {
			if now > 14*time.Second && random.IntN(2) == 0 {
				return []string{"system0", "beside"}
			}
			return soundParts(random, now)
		}
	}),
	Entry("while engines crash for other reasons", func(p *partScenario) {
		p.otherCrashInterval = time.Second
	}),
	Entry("never, while engines crash for other reasons", func(p *partScenario) {
		p.otherCrashInterval, p.harmfulPerSecond = 500*time.Millisecond, 0
	}),
	Entry("from the start, when nothing is known", func(p *partScenario) {
		p.harmfulFrom = 0
	}),
	Entry("while all entry instances restart", func(p *partScenario) {
		p.entriesRestartAt = p.harmfulFrom + 500*time.Millisecond
	}),
	Entry("while all entry instances and the control instances restart", func(p *partScenario) {
		p.entriesRestartAt, p.controlRestartAt = 12*time.Second, 12*time.Second
	}),
	Entry("among prompts whose parts are all different", func(p *partScenario) {
		flood := func(random *rand.Rand) (parts []string) {
			for range 40 {
				parts = append(parts, fmt.Sprintf("once%x", random.Uint64()))
			}
			return parts
		}
		p.sound = func(random *rand.Rand, now time.Duration) []string {
			return append(soundParts(random, now), flood(random)...)
		}
		p.harmful = func(random *rand.Rand, now time.Duration) []string {
			return append(append(soundParts(random, now), flood(random)...), "dead")
		}
	}),
	Entry("among parts that are asked for rarely", func(p *partScenario) {
		p.sound = func(random *rand.Rand, _ time.Duration) []string {
			return []string{pick(random, "system", 3), pick(random, "subject", 2000)}
		}
		p.harmful = func(random *rand.Rand, _ time.Duration) []string {
			return []string{pick(random, "system", 3), pick(random, "subject", 2000), "dead"}
		}
		p.otherCrashInterval = 2 * time.Second
	}),
	Entry("86 instances and 300 engines", func(p *partScenario) {
		p.instances, p.engines, p.soundPerSecond, p.harmfulPerSecond = 86, 300, 90, 8
	}),
)
