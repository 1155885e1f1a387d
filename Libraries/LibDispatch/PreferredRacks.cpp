#include <LibDispatch/PreferredRacks.h>

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include <LibDispatch/IdleJobs.h>

namespace paddle::dispatch {

namespace {

/// Log lines of an event in one second.
constexpr std::uint32_t kMaxLinesPerSecond = 5;

bool
IsActive(const Dispatcher& aDispatcher)
{
  return aDispatcher.mSettings.mRemoteFactor > 1;
}

/// @return whether the rack for the tasks of a step is chosen when the first
///         one starts. A gang, which starts as a whole, chooses it each time.
bool
ChoosesGroupRack(const Dispatcher& aDispatcher, const StepSpec& aSpec)
{
  return IsActive(aDispatcher) && aSpec.mSameRack && !aSpec.mGang &&
         aSpec.mDataRack.empty() && aSpec.mTaskCount > 1;
}

/// @return whether a runner can take tasks, now or when it has room
bool
IsUsable(const Dispatcher& aDispatcher,
         const Runner& aRunner,
         MonotonicTime aNow)
{
  const Obstacle obstacle = ObstacleOfRunner(aDispatcher, aRunner, 0, aNow);
  return obstacle != Obstacle::NotLive &&
         obstacle != Obstacle::DataCentreEvacuated;
}

/// Summarizes the racks, unless that was done in this pass.
void
Summarize(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  PreferredRackState& state = aDispatcher.mPreferredRacks;
  if (std::exchange(state.mSummarized, true)) {
    return;
  }
  for (auto& [name, service] : state.mServices) {
    service = { .mRacks = std::move(service.mRacks) };
  }
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    const Runner& runner = aDispatcher.mRunners[i];
    if (!IsUsable(aDispatcher, runner, aNow)) {
      continue;
    }
    ServiceSummary& service = state.mServices[runner.mSpec.mService];
    service.mTotalMilliCores += runner.mSpec.mCapacity.mMilliCores;
    service.mReservedMilliCores += runner.mReserved.mMilliCores;
    service.mBestEffortMilliCores += runner.mBestEffortMilliCores;
    RackSummary& rack = service.mRacks[runner.mSpec.mRack];
    if (rack.mPass != state.mPass) {
      rack = { .mEnds = std::move(rack.mEnds), .mPass = state.mPass };
    }
    rack.mRunners.push_back(i);
    const Resources& capacity = runner.mSpec.mCapacity;
    Resources& largest = rack.mLargest;
    largest = { std::max(largest.mMilliCores, capacity.mMilliCores),
                std::max(largest.mMemoryMb, capacity.mMemoryMb),
                std::max(largest.mAccelerators, capacity.mAccelerators) };
  }
}

/// @return the summary of a rack, or null if none of its runners can take a
///         task of the step
RackSummary*
FindRack(Dispatcher& aDispatcher,
         const StepSpec& aSpec,
         const std::string& aService,
         const std::string& aRack,
         MonotonicTime aNow)
{
  Summarize(aDispatcher, aNow);
  PreferredRackState& state = aDispatcher.mPreferredRacks;
  std::map<std::string, RackSummary>& racks = state.mServices[aService].mRacks;
  const auto found = racks.find(aRack);
  if (found == racks.end() || found->second.mPass != state.mPass ||
      TasksThatFit(found->second.mLargest, aSpec.mDemand) == 0) {
    return nullptr;
  }
  RackSummary& rack = found->second;
  const bool labelled =
    aSpec.mRequiredLabel.empty() ||
    std::any_of(
      rack.mRunners.begin(), rack.mRunners.end(), [&](RunnerIndex aRunner) {
        return HasLabel(aDispatcher.mRunners[aRunner], aSpec.mRequiredLabel);
      });
  return labelled ? &rack : nullptr;
}

Millis
EstimateOf(const Step& aStep, const StepSpec& aSpec)
{
  return aStep.mCorrectedEstimate.count() > 0 ? aStep.mCorrectedEstimate
                                              : aSpec.mEstimatedDuration;
}

/// @return when the run of a finite task ends, as far as it can be expected
MonotonicTime
ExpectedEnd(const Dispatcher& aDispatcher,
            const Runner& aRunner,
            const TaskRef& aTask)
{
  const Millis estimate = EstimateOf(StepOf(aTask), SpecOf(aTask));
  const std::string& rack = PreferredRack(aTask);
  const bool remote = !rack.empty() && rack != aRunner.mSpec.mRack;
  return TaskOf(aTask).mStartedAt + estimate +
         (remote ? GainOf(estimate, aDispatcher.mSettings.mRemoteFactor)
                 : Millis(0));
}

/// @return when the first run in the rack ends, or nothing if none will
std::optional<MonotonicTime>
EarliestEnd(const Dispatcher& aDispatcher, RackSummary& aRack)
{
  if (std::exchange(aRack.mEarliestEndKnown, true)) {
    return aRack.mEarliestEnd;
  }
  for (const RunnerIndex index : aRack.mRunners) {
    const Runner& runner = aDispatcher.mRunners[index];
    for (const TaskRef& ref : runner.mTasks) {
      if (SpecOf(ref).mKind == StepKind::Finite) {
        const MonotonicTime end = ExpectedEnd(aDispatcher, runner, ref);
        aRack.mEarliestEnd = std::min(aRack.mEarliestEnd.value_or(end), end);
      }
    }
  }
  return aRack.mEarliestEnd;
}

std::size_t
KindOf(const StepSpec& aSpec)
{
  return aSpec.mReservation == Reservation::BestEffort ? 1 : 0;
}

/// Adds tasks to those that wait for the rack.
void
AddAhead(RackSummary& aRack, const StepSpec& aSpec, std::int64_t aTasks)
{
  Resources& ahead = aRack.mAhead[KindOf(aSpec)];
  ahead.mMilliCores += aTasks * aSpec.mDemand.mMilliCores;
  ahead.mMemoryMb += aTasks * aSpec.mDemand.mMemoryMb;
  ahead.mAccelerators += aTasks * aSpec.mDemand.mAccelerators;
}

/// @return the number of tasks of this step that need as much as those that
///         wait for the rack ahead of it
double
TasksAhead(const RackSummary& aRack, const StepSpec& aSpec)
{
  const auto& [reserved, bestEffort] = aRack.mAhead;
  const bool usesAll = aSpec.mReservation == Reservation::BestEffort;
  double tasks = 0;
  const auto count = [&](std::int64_t aAhead, std::int64_t aDemand) {
    if (aDemand > 0) {
      tasks = std::max(
        tasks, static_cast<double>(aAhead) / static_cast<double>(aDemand));
    }
  };
  count(reserved.mMilliCores + (usesAll ? bestEffort.mMilliCores : 0),
        aSpec.mDemand.mMilliCores);
  count(reserved.mMemoryMb + bestEffort.mMemoryMb, aSpec.mDemand.mMemoryMb);
  count(reserved.mAccelerators + bestEffort.mAccelerators,
        aSpec.mDemand.mAccelerators);
  return tasks;
}

/// @return RoomRate() of the rack, which is calculated once for tasks of the
///         same size that follow each other
double
RateOf(RackSummary& aRack, const StepSpec& aSpec, MonotonicTime aNow)
{
  if (aRack.mRateOf == nullptr ||
      aRack.mRateOf->mReservation != aSpec.mReservation ||
      aRack.mRateOf->mDemand != aSpec.mDemand) {
    aRack.mRateOf = &aSpec;
    aRack.mRoomRate =
      RoomRate(aRack.mEnds, aSpec.mReservation, aSpec.mDemand, aNow);
  }
  return aRack.mRoomRate;
}

/// @return whether a line may be written, which then counts
bool
TakeLine(LineBudget& aBudget, MonotonicTime aNow)
{
  if (aNow - aBudget.mSecondBegan >= Seconds(1)) {
    aBudget.mSecondBegan = aNow;
    aBudget.mLines = 0;
  }
  if (aBudget.mLines == kMaxLinesPerSecond) {
    ++aBudget.mSuppressed;
    return false;
  }
  ++aBudget.mLines;
  return true;
}

/// @return the field with the number of lines that were left out since the
///         latest one
std::string
SuppressedField(LineBudget& aBudget)
{
  return " suppressed=" + std::to_string(std::exchange(aBudget.mSuppressed, 0));
}

std::string
MillisText(MonotonicTime::duration aTime)
{
  return std::to_string(std::chrono::duration_cast<Millis>(aTime).count());
}

void
EndWait(Dispatcher& aDispatcher,
        const TaskRef& aTask,
        WaitEnd aCause,
        MonotonicTime aNow)
{
  PlaceWait& wait = TaskOf(aTask).mPlaceWait;
  wait.mOver = true;
  const auto cause = static_cast<std::size_t>(aCause);
  ++aDispatcher.mCounters.mPlaceWaitsEnded[cause];
  LineBudget& budget = aDispatcher.mPreferredRacks.mEndedLines;
  if (!TakeLine(budget, aNow)) {
    return;
  }
  Emit(
    aDispatcher,
    "placement_wait_ended",
    aTask.mJob,
    "task=" + FormatTaskName(NameOf(aTask)) + " rack=" + PreferredRack(aTask) +
      " cause=" + std::string(kWaitEndNames[cause]) +
      " waited_ms=" + MillisText(aNow - wait.mSince) + SuppressedField(budget));
}

/// Begins a wait, or goes on with it.
void
Wait(Dispatcher& aDispatcher,
     const TaskRef& aTask,
     const WaitInputs& aInputs,
     const WaitDecision& aDecision,
     MonotonicTime aNow)
{
  PlaceWait& wait = TaskOf(aTask).mPlaceWait;
  const bool begins = !wait.Active();
  wait.mUntil = aDecision.mUntil;
  wait.mDeadlineFirst = aDecision.mDeadlineFirst;
  if (!begins) {
    return;
  }
  wait.mSince = aNow;
  ++aDispatcher.mCounters.mPlaceWaits;
  LineBudget& budget = aDispatcher.mPreferredRacks.mBegunLines;
  if (!TakeLine(budget, aNow)) {
    return;
  }
  Emit(aDispatcher,
       "placement_wait",
       aTask.mJob,
       "task=" + FormatTaskName(NameOf(aTask)) + " rack=" +
         PreferredRack(aTask) + " gain_ms=" + MillisText(aInputs.mGain) +
         " expected_ms=" + MillisText(*aInputs.mExpectedWait) + " until_ms=" +
         MillisText(wait.mUntil - aNow) + SuppressedField(budget));
}

/// @return whether the task, or a member of its gang, has run or failed before
bool
HasRun(const TaskRef& aTask)
{
  const std::vector<Task>& tasks = StepOf(aTask).mTasks;
  const auto hasRun = [](const Task& aOther) {
    return aOther.mStartAnsweredAt != MonotonicTime{} ||
           !aOther.mFailedRuns.empty();
  };
  return SpecOf(aTask).mGang ? std::any_of(tasks.begin(), tasks.end(), hasRun)
                             : hasRun(tasks[aTask.mIndex]);
}

/// @return whether a task may wait, whatever the wait costs and gains
bool
MayWait(const TaskRef& aTask)
{
  const Step& step = StepOf(aTask);
  const StepSpec& spec = SpecOf(aTask);
  // While one task of the step runs elsewhere, all of them take longer.
  const bool gains = !spec.mDataRack.empty() || !step.mSpread;
  return spec.mKind == StepKind::Finite && gains &&
         !TaskOf(aTask).mPlaceWait.mOver && !HasRun(aTask);
}

/// @return the share of the processors for tasks of this kind that is in use
double
ShareInUse(const Dispatcher& aDispatcher,
           const StepSpec& aSpec,
           const std::string& aService)
{
  const auto found = aDispatcher.mPreferredRacks.mServices.find(aService);
  if (found == aDispatcher.mPreferredRacks.mServices.end() ||
      found->second.mTotalMilliCores == 0) {
    return 1;
  }
  const ServiceSummary& service = found->second;
  const std::int64_t used =
    service.mReservedMilliCores + (aSpec.mReservation == Reservation::BestEffort
                                     ? service.mBestEffortMilliCores
                                     : 0);
  return std::min(1.0,
                  static_cast<double>(used) /
                    static_cast<double>(service.mTotalMilliCores));
}

/// @param aTasks number of tasks of the step that need room in the rack
/// @param aRack  the preferred rack, or null if it is lost
WaitInputs
InputsOf(const Dispatcher& aDispatcher,
         const TaskRef& aTask,
         double aTasks,
         RackSummary* aRack,
         const std::string& aService,
         MonotonicTime aNow)
{
  if (aRack == nullptr) {
    return { .mPlaceLost = true };
  }
  const StepSpec& spec = SpecOf(aTask);
  const Step& step = StepOf(aTask);
  const Millis estimate = EstimateOf(step, spec);
  WaitInputs inputs;
  inputs.mGain = GainOf(estimate, aDispatcher.mSettings.mRemoteFactor);
  inputs.mWorth =
    WorthOfWait(inputs.mGain, ShareInUse(aDispatcher, spec, aService));
  inputs.mExpectedWait = ExpectedWait(TasksAhead(*aRack, spec) + aTasks,
                                      RateOf(*aRack, spec, aNow),
                                      EarliestEnd(aDispatcher, *aRack),
                                      aNow);
  const Millis path =
    step.mRemainingCriticalPath - spec.mEstimatedDuration + estimate;
  inputs.mLatestStart =
    aTask.mJob->mOccurrences.at(aTask.mOccurrence).mSoftDeadline - path -
    inputs.mGain;
  return inputs;
}

/// Decides whether a task waits that has found no room in its preferred rack.
/// @param aTasks          number of tasks of the step that need room there
/// @param aHasAlternative returns whether another runner has room
template<typename Function>
bool
DecideAndNote(Dispatcher& aDispatcher,
              const TaskRef& aTask,
              std::int64_t aTasks,
              RackSummary* aRack,
              const std::string& aService,
              MonotonicTime aNow,
              const Function& aHasAlternative)
{
  const PlaceWait& wait = TaskOf(aTask).mPlaceWait;
  const WaitInputs inputs = InputsOf(
    aDispatcher, aTask, static_cast<double>(aTasks), aRack, aService, aNow);
  WaitDecision decision = DecideWait(wait, inputs, aNow);
  if (IsIdleForLong(aTask, aNow)) {
    decision = { .mCause = WaitEnd::Idle };
  }
  if (!decision.mWait) {
    if (wait.Active()) {
      EndWait(aDispatcher, aTask, decision.mCause, aNow);
    }
    return false;
  }
  if (!wait.Active() && !aHasAlternative()) {
    return false;
  }
  Wait(aDispatcher, aTask, inputs, decision, aNow);
  AddAhead(*aRack, SpecOf(aTask), aTasks);
  return true;
}

/// @return whether a candidate in the rack has room for the task
bool
HasRoomInRack(const Dispatcher& aDispatcher,
              std::span<const RunnerIndex> aCandidates,
              RackSummary& aRack,
              const TaskRef& aTask,
              const std::string& aService,
              MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const bool isFull = std::any_of(
    aRack.mFull.begin(), aRack.mFull.end(), [&](const StepSpec* aOther) {
      return aOther->mReservation == spec.mReservation &&
             aOther->mImage == spec.mImage &&
             TasksThatFit(spec.mDemand, aOther->mDemand) > 0;
    });
  if (isFull) {
    return false;
  }
  const bool hasRoom = std::any_of(
    aRack.mRunners.begin(), aRack.mRunners.end(), [&](RunnerIndex aRunner) {
      return std::binary_search(
               aCandidates.begin(), aCandidates.end(), aRunner) &&
             std::holds_alternative<double>(RateRunner(
               aDispatcher, aRunner, aTask, aService, Overcommit::No, aNow));
    });
  // Where a label or a limit per runner was the reason, other steps may fit.
  if (!hasRoom && spec.mRequiredLabel.empty() && spec.mMaxTasksPerRunner == 0) {
    aRack.mFull.push_back(&spec);
  }
  return hasRoom;
}

/// @return whether any candidate has room for a task that has found none in its
///         preferred rack
bool
HasAlternative(Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates,
               const TaskRef& aTask,
               const std::string& aService,
               MonotonicTime aNow)
{
  RunnerIndex& known = aDispatcher.mPreferredRacks.mAlternative;
  if (known != kNoRunner &&
      std::binary_search(aCandidates.begin(), aCandidates.end(), known) &&
      std::holds_alternative<double>(RateRunner(
        aDispatcher, known, aTask, aService, Overcommit::No, aNow))) {
    return true;
  }
  known = ChooseRunner(
    aDispatcher, aCandidates, aTask, aService, Overcommit::No, aNow);
  return known != kNoRunner;
}

/// Room of a candidate for the tasks of a step.
struct RatedRunner
{
  RunnerIndex mRunner = kNoRunner;
  double mCost = 0;
  std::int64_t mTasks = 0; ///< Number of tasks that fit.
};

/// @return the candidates that have room for the task
std::vector<RatedRunner>
RateCandidates(const Dispatcher& aDispatcher,
               std::span<const RunnerIndex> aCandidates,
               const TaskRef& aTask,
               const std::string& aService,
               Overcommit aOvercommit,
               MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  std::vector<RatedRunner> rated;
  for (const RunnerIndex index : aCandidates) {
    const PlacementRating rating =
      RateRunner(aDispatcher, index, aTask, aService, aOvercommit, aNow);
    if (!std::holds_alternative<double>(rating)) {
      continue;
    }
    const Runner& runner = aDispatcher.mRunners[index];
    Resources free = runner.mSpec.mCapacity;
    free -= runner.mReserved;
    if (spec.mReservation == Reservation::BestEffort) {
      free.mMilliCores = UnusedMilliCores(runner);
    }
    // A best-effort task also fits with somewhat fewer processors.
    std::int64_t tasks =
      std::max<std::int64_t>(1, TasksThatFit(free, spec.mDemand));
    if (spec.mMaxTasksPerRunner > 0) {
      tasks = std::min<std::int64_t>(
        tasks, spec.mMaxTasksPerRunner - CountOfStep(runner, aTask));
    }
    rated.push_back({ index, std::get<double>(rating), tasks });
  }
  return rated;
}

/// Room in a rack for the tasks of a step.
struct RackRoom
{
  std::int64_t mTasks = 0; ///< Number of tasks that fit now.
  double mCost = 0;        ///< That of the cheapest runner.
  std::vector<RunnerIndex> mRunners;
};

/// @return the room by rack, without runners on which the task would take
///         longer or probably fail
std::map<std::string_view, RackRoom>
RoomByRack(const Dispatcher& aDispatcher, std::span<const RatedRunner> aRated)
{
  std::map<std::string_view, RackRoom> racks;
  const auto cheapest = std::min_element(
    aRated.begin(), aRated.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mCost < aRight.mCost;
    });
  for (const RatedRunner& rated : aRated) {
    if (rated.mCost >= cheapest->mCost + kOtherRackCost) {
      continue;
    }
    RackRoom& rack = racks[aDispatcher.mRunners[rated.mRunner].mSpec.mRack];
    rack.mCost =
      rack.mRunners.empty() ? rated.mCost : std::min(rack.mCost, rated.mCost);
    rack.mTasks += rated.mTasks;
    rack.mRunners.push_back(rated.mRunner);
  }
  return racks;
}

/// @return the candidates in the rack in which most of the waiting tasks of the
///         step can start now or soon; none if there is no room
std::vector<RunnerIndex>
ChooseGroupRack(Dispatcher& aDispatcher,
                std::span<const RunnerIndex> aCandidates,
                const TaskRef& aTask,
                const std::string& aService,
                MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const std::vector<RatedRunner> rated = RateCandidates(
    aDispatcher, aCandidates, aTask, aService, Overcommit::No, aNow);
  const std::chrono::duration<double> gain =
    GainOf(spec.mEstimatedDuration, aDispatcher.mSettings.mRemoteFactor);
  const auto wanted = static_cast<double>(StepOf(aTask).mWaitingTasks);
  RackRoom best;
  double bestTasks = 0;
  for (auto& [name, room] : RoomByRack(aDispatcher, rated)) {
    const RackSummary* rack =
      FindRack(aDispatcher, spec, aService, std::string(name), aNow);
    const double soon =
      rack != nullptr
        ? gain.count() *
            RoomRate(rack->mEnds, spec.mReservation, spec.mDemand, aNow)
        : 0;
    const double tasks =
      std::min(wanted, static_cast<double>(room.mTasks) + soon);
    if (tasks > bestTasks || (tasks == bestTasks && room.mCost < best.mCost)) {
      best = room;
      bestTasks = tasks;
    }
  }
  return best.mRunners;
}

} // namespace

const std::string&
PreferredRack(const TaskRef& aTask)
{
  const StepSpec& spec = SpecOf(aTask);
  return spec.mDataRack.empty() && spec.mSameRack ? StepOf(aTask).mGroupRack
                                                  : spec.mDataRack;
}

void
BeginRackPass(Dispatcher& aDispatcher)
{
  ++aDispatcher.mPreferredRacks.mPass;
  aDispatcher.mPreferredRacks.mSummarized = false;
  aDispatcher.mPreferredRacks.mAlternative = kNoRunner;
}

Place
ChoosePlace(Dispatcher& aDispatcher,
            std::span<const RunnerIndex> aCandidates,
            const TaskRef& aTask,
            const std::string& aService,
            MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  Step& step = StepOf(aTask);
  const auto choose = [&](std::span<const RunnerIndex> aRunners) {
    return ChooseRunner(
      aDispatcher, aRunners, aTask, aService, Overcommit::No, aNow);
  };
  const bool group = ChoosesGroupRack(aDispatcher, spec);
  if (!IsActive(aDispatcher) || (spec.mDataRack.empty() && !group)) {
    return { choose(aCandidates) };
  }
  PlaceWait& wait = TaskOf(aTask).mPlaceWait;
  const std::string& rackName = PreferredRack(aTask);
  RackSummary* rack = rackName.empty()
                        ? nullptr
                        : FindRack(aDispatcher, spec, aService, rackName, aNow);
  if (group && rack == nullptr) {
    if (wait.Active()) {
      EndWait(aDispatcher, aTask, WaitEnd::PlaceLost, aNow);
    }
    step.mGroupRack.clear();
    return { choose(
      ChooseGroupRack(aDispatcher, aCandidates, aTask, aService, aNow)) };
  }
  if (!MayWait(aTask)) {
    if (wait.Active()) {
      EndWait(aDispatcher, aTask, WaitEnd::NotWorthwhile, aNow);
    }
    return { choose(aCandidates) };
  }
  const bool hasRoom =
    rack != nullptr &&
    HasRoomInRack(aDispatcher, aCandidates, *rack, aTask, aService, aNow);
  if (!hasRoom &&
      DecideAndNote(aDispatcher, aTask, 1, rack, aService, aNow, [&] {
        return HasAlternative(aDispatcher, aCandidates, aTask, aService, aNow);
      })) {
    return { kNoRunner, true };
  }
  const RunnerIndex runner = choose(aCandidates);
  if (wait.Active() && runner != kNoRunner &&
      aDispatcher.mRunners[runner].mSpec.mRack != rackName) {
    // The task would take longer for another reason on the free runner there.
    EndWait(aDispatcher, aTask, WaitEnd::NotWorthwhile, aNow);
  }
  return { runner };
}

GangPlace
ChooseGangPlace(Dispatcher& aDispatcher,
                std::span<const RunnerIndex> aCandidates,
                const WaitingStep& aEntry,
                const std::string& aService,
                Overcommit aOvercommit,
                MonotonicTime aNow)
{
  const TaskRef first{ aEntry.mJob, aEntry.mOccurrence, aEntry.mStep, 0 };
  const StepSpec& spec = SpecOf(first);
  const Step& step = StepOf(first);
  if (!IsActive(aDispatcher) || step.mWaitingTasks < step.mTasks.size() ||
      (spec.mDataRack.empty() && !spec.mSameRack) ||
      std::any_of(
        step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
          return MayRunUnseen(aDispatcher, aTask);
        })) {
    return {};
  }
  const std::vector<RatedRunner> rated = RateCandidates(
    aDispatcher, aCandidates, first, aService, aOvercommit, aNow);
  const auto members = static_cast<std::int64_t>(step.mTasks.size());
  GangPlace place;
  if (spec.mDataRack.empty()) {
    // The rack with the least room that suffices, so that others keep theirs.
    std::int64_t least = 0;
    for (auto& [name, room] : RoomByRack(aDispatcher, rated)) {
      if (room.mTasks >= members &&
          (place.mCandidates.empty() || room.mTasks < least)) {
        least = room.mTasks;
        place.mCandidates = std::move(room.mRunners);
      }
    }
    return place;
  }
  std::int64_t inRack = 0;
  std::int64_t total = 0;
  for (const RatedRunner& candidate : rated) {
    total += candidate.mTasks;
    if (aDispatcher.mRunners[candidate.mRunner].mSpec.mRack == spec.mDataRack) {
      inRack += candidate.mTasks;
      place.mCandidates.push_back(candidate.mRunner);
    }
  }
  if (inRack >= members) {
    return place;
  }
  place.mCandidates.clear();
  if (aOvercommit == Overcommit::No && MayWait(first)) {
    place.mWaits =
      DecideAndNote(aDispatcher,
                    first,
                    members - inRack,
                    FindRack(aDispatcher, spec, aService, spec.mDataRack, aNow),
                    aService,
                    aNow,
                    [&] { return total >= members; });
  }
  return place;
}

void
NoteUnplaced(Dispatcher& aDispatcher,
             const WaitingStep& aEntry,
             std::uint32_t aFirst,
             const std::string& aService,
             MonotonicTime aNow)
{
  const TaskRef first{ aEntry.mJob, aEntry.mOccurrence, aEntry.mStep, aFirst };
  const std::string& name = PreferredRack(first);
  if (!IsActive(aDispatcher) || name.empty()) {
    return;
  }
  RackSummary* rack =
    FindRack(aDispatcher, SpecOf(first), aService, name, aNow);
  if (rack == nullptr) {
    return;
  }
  const std::vector<Task>& tasks = StepOf(first).mTasks;
  AddAhead(
    *rack,
    SpecOf(first),
    std::count_if(tasks.begin() + aFirst, tasks.end(), [](const Task& aTask) {
      return aTask.mPhase == TaskPhase::Waiting;
    }));
}

bool
WaitsForRack(const Dispatcher& aDispatcher, const WaitingStep& aEntry)
{
  if (!IsActive(aDispatcher)) {
    return false;
  }
  const std::vector<Task>& tasks = StepOf(aEntry).mTasks;
  if (aEntry.mJob->mSpec.mSteps[aEntry.mStep].mGang) {
    return tasks.front().mPlaceWait.Active();
  }
  bool anyWaits = false;
  for (const Task& task : tasks) {
    if (task.mPhase != TaskPhase::Waiting || MayRunUnseen(aDispatcher, task)) {
      continue;
    }
    if (!task.mPlaceWait.Active()) {
      return false;
    }
    anyWaits = true;
  }
  return anyWaits;
}

void
NoteAssigned(Dispatcher& aDispatcher, const TaskRef& aTask)
{
  if (!ChoosesGroupRack(aDispatcher, SpecOf(aTask))) {
    return;
  }
  Step& step = StepOf(aTask);
  const std::string& rack =
    aDispatcher.mRunners[TaskOf(aTask).mRunner].mSpec.mRack;
  if (step.mGroupRack.empty()) {
    step.mGroupRack = rack;
    // After the loss of a rack, tasks may still run there.
    step.mSpread = std::any_of(
      step.mTasks.begin(), step.mTasks.end(), [&](const Task& aOther) {
        return aOther.mRunner != kNoRunner &&
               aDispatcher.mRunners[aOther.mRunner].mSpec.mRack != rack;
      });
  }
  step.mSpread = step.mSpread || step.mGroupRack != rack;
}

void
NoteStarted(Dispatcher& aDispatcher, const TaskRef& aTask, MonotonicTime aNow)
{
  if (!IsActive(aDispatcher)) {
    return;
  }
  const Task& task = TaskOf(aTask);
  const std::string& rack = PreferredRack(aTask);
  const bool there = aDispatcher.mRunners[task.mRunner].mSpec.mRack == rack;
  if (!rack.empty()) {
    ++(there ? aDispatcher.mCounters.mStartsInPreferredRack
             : aDispatcher.mCounters.mStartsElsewhere);
  }
  if (task.mPlaceWait.Active()) {
    EndWait(aDispatcher, aTask, there ? WaitEnd::Placed : WaitEnd::Idle, aNow);
  }
}

void
NoteRoomLeft(Dispatcher& aDispatcher, const TaskRef& aTask, MonotonicTime aNow)
{
  const Task& task = TaskOf(aTask);
  const Runner& runner = aDispatcher.mRunners[task.mRunner];
  // An order that was not carried out has taken no room.
  if (!IsActive(aDispatcher) || task.mPhase == TaskPhase::Starting ||
      !IsUsable(aDispatcher, runner, aNow)) {
    return;
  }
  const StepSpec& spec = SpecOf(aTask);
  RoomEnd end;
  end.mAt = aNow;
  end.mAfter.mForReserved = runner.mSpec.mCapacity;
  end.mAfter.mForReserved -= runner.mReserved;
  end.mAfter.mBestEffortMilliCores = UnusedMilliCores(runner);
  end.mFreed.mForReserved = ReservedResources(spec);
  end.mFreed.mBestEffortMilliCores = spec.mDemand.mMilliCores;
  AddRoomEnd(aDispatcher.mPreferredRacks.mServices[runner.mSpec.mService]
               .mRacks[runner.mSpec.mRack]
               .mEnds,
             end);
}

void
NoteDuration(Dispatcher& aDispatcher,
             const TaskRef& aTask,
             RunnerIndex aRunner,
             MonotonicTime aNow)
{
  const std::string& rack = PreferredRack(aTask);
  const Task& task = TaskOf(aTask);
  if (!IsActive(aDispatcher) || rack.empty() || aRunner == kNoRunner ||
      task.mStartAnsweredAt == MonotonicTime{}) {
    return;
  }
  const std::chrono::duration<double, std::milli> duration =
    aNow - task.mStartAnsweredAt;
  const double factor = aDispatcher.mRunners[aRunner].mSpec.mRack == rack
                          ? 1
                          : aDispatcher.mSettings.mRemoteFactor;
  Step& step = StepOf(aTask);
  if (step.mDurations.size() == kMaxDurations) {
    step.mDurations.erase(step.mDurations.begin());
  }
  step.mDurations.emplace_back(
    static_cast<Millis::rep>(duration.count() / factor));
  step.mCorrectedEstimate =
    CorrectedEstimate(SpecOf(aTask).mEstimatedDuration, step.mDurations);
}

void
EmitPlaceWaits(const Dispatcher& aDispatcher)
{
  const DispatchCounters& counters = aDispatcher.mCounters;
  if (!IsActive(aDispatcher) || counters.mStartsInPreferredRack +
                                    counters.mStartsElsewhere +
                                    counters.mPlaceWaits ==
                                  0) {
    return;
  }
  std::string details =
    "begun=" + std::to_string(counters.mPlaceWaits) +
    " started_there=" + std::to_string(counters.mStartsInPreferredRack) +
    " started_elsewhere=" + std::to_string(counters.mStartsElsewhere);
  for (std::size_t i = 0; i < kWaitEndNames.size(); ++i) {
    details += " ";
    details += kWaitEndNames[i];
    details += "=" + std::to_string(counters.mPlaceWaitsEnded[i]);
  }
  Emit(aDispatcher, "placement_waits", nullptr, std::move(details));
}

} // namespace paddle::dispatch
