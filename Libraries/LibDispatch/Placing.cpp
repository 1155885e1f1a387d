#include <LibDispatch/Internal.h>

#include <algorithm>
#include <array>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

namespace paddle::dispatch {

namespace {

/// Share of its processors that a task without reservation should find unused.
/// Below it the task would take so long that waiting for a better place is
/// shorter.
constexpr double kLeastLeftoverShare = 0.7;

/// Added to the cost of a place where the task takes longer: far from its
/// data, cold, or where it failed before. More than all room of a runner.
constexpr double kFarCost = 1000;
/// Added for a runner that serves no image yet, and for one that serves others:
/// more than the cores of a runner, so that room decides only among equals.
constexpr double kUnsharedCost = 100;
constexpr double kMixedCost = 200;
/// The last runners without lasting tasks stay free for images that disturb.
constexpr double kReservedOpenShare = 0.2;
constexpr double kLastOpenCost = 300;
/// Costs for a task without reservation: of a feared rise of utilization by 1;
/// of a runner where any image may run, which is kept for those that disturb
/// elsewhere; and the gain by a core of unused room.
constexpr double kDisturbanceCost = 100;
constexpr double kOpenRunnerCost = 8;
constexpr double kUnusedWeight = 0.1;
/// Added for each failure in a row on a runner.
constexpr double kFailureCost = 200;
/// The order of service is kept this long for passes over single runners; what
/// a job can still earn changes more slowly.
constexpr Millis kOrderInterval{ 100 };
/// A job that ends later than this many objectives earns nothing.
constexpr int kLatestObjective = 3;
/// Longest waiting steps that one report explains.
constexpr std::size_t kExplainedSteps = 3;
/// A step that waits longer than this is explained in the log.
constexpr Millis kExplainAfter{ 2500 };

bool
HasLabel(const Runner& aRunner, std::string_view aLabel)
{
  const auto& labels = aRunner.mSpec.mLabels;
  return std::find(labels.begin(), labels.end(), aLabel) != labels.end();
}

std::uint32_t
CountOfStep(const Runner& aRunner, const TaskRef& aTask)
{
  return static_cast<std::uint32_t>(std::count_if(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aOther) {
      return aOther.mJob == aTask.mJob && aOther.mStep == aTask.mStep &&
             aOther.mOccurrence == aTask.mOccurrence;
    }));
}

/// Why a runner can't take a task now.
enum class Obstacle : std::uint8_t
{
  None,
  OtherService,
  NotLive, ///< Silent, draining, or no longer listed.
  Paused,  ///< Avoided after refusals or failures, or on probation.
  Orphans, ///< Runs of unknown size are being stopped there.
  Evacuated,
  Label,
  Cores,
  Memory,
  Accelerators,
  MostPerRunner,
  LittleUnused, ///< Too little is left of its processors.
  Disturbs      ///< It would slow lasting tasks down.
};

constexpr std::array<std::string_view, 13> kObstacleNames = {
  "none",    "other_service", "not_live",        "paused",
  "orphans", "evacuated",     "label",           "cores",
  "memory",  "accelerators",  "most_per_runner", "little_unused",
  "disturbs"
};

/// @return whether a runner on probation has a task that it was given since its
///         failures, by which it is judged
bool
HasTrialTask(const Runner& aRunner)
{
  return std::any_of(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aTask) {
      return TaskOf(aTask).mStartedAt > aRunner.mQuarantinedAt;
    });
}

/// @return what keeps the runner from taking any task now
Obstacle
ObstacleOfRunner(const Dispatcher& aDispatcher,
                 const Runner& aRunner,
                 MonotonicTime aNow)
{
  if (aRunner.mPhase != RunnerPhase::Live || !aRunner.mListed ||
      aRunner.mSpec.mDraining || aRunner.mSilent || aRunner.mRecorded ||
      aNow - aRunner.mClockReadAt >= aDispatcher.mSettings.mOldestClock) {
    return Obstacle::NotLive;
  }
  if (aRunner.mAvoidUntil > aNow ||
      (aRunner.mOnProbation && HasTrialTask(aRunner))) {
    return Obstacle::Paused;
  }
  if (aRunner.mStarting >= aDispatcher.mSettings.mStartsAtOnce) {
    return Obstacle::Paused;
  }
  if (!aRunner.mOrphans.empty()) {
    return Obstacle::Orphans;
  }
  if (aDispatcher.mEvacuatedDataCentres.contains(aRunner.mSpec.mDataCentre)) {
    return Obstacle::Evacuated;
  }
  return Obstacle::None;
}

Obstacle
ObstacleOfRoom(const Runner& aRunner, const StepSpec& aSpec)
{
  const Amount& capacity = aRunner.mSpec.mCapacity;
  const Amount& used = aRunner.mUsed;
  if (aSpec.mReservation == Reservation::Reserved &&
      used.mCores + aSpec.mAmount.mCores > capacity.mCores) {
    return Obstacle::Cores;
  }
  if (used.mMemory + aSpec.mAmount.mMemory > capacity.mMemory) {
    return Obstacle::Memory;
  }
  if (used.mAccelerators + aSpec.mAmount.mAccelerators >
      capacity.mAccelerators) {
    return Obstacle::Accelerators;
  }
  return Obstacle::None;
}

/// Cost of a place for a task that reserves processors: the room that would be
/// left, so that full runners fill up first and whole runners stay free.
double
ReservedCost(const Dispatcher& aDispatcher,
             const Runner& aRunner,
             const TaskRef& aTask)
{
  const StepSpec& spec = SpecOf(aTask);
  const std::int64_t left =
    aRunner.mSpec.mCapacity.mCores - aRunner.mUsed.mCores - spec.mAmount.mCores;
  const double cost = static_cast<double>(left) / 1000;
  if (spec.mKind != StepKind::Lasting || spec.mTailTarget.count() == 0) {
    return cost;
  }
  // Runners that serve one image leave the most places for tasks without
  // reservation, because each of these disturbs only some images.
  const bool mixed = std::any_of(
    aRunner.mTasks.begin(), aRunner.mTasks.end(), [&](const TaskRef& aOther) {
      const StepSpec& other = SpecOf(aOther);
      return other.mKind == StepKind::Lasting &&
             other.mTailTarget.count() > 0 && other.mImage != spec.mImage;
    });
  if (mixed) {
    return cost + kMixedCost;
  }
  if (aRunner.mLasting > 0) {
    return cost;
  }
  const double open =
    1 - static_cast<double>(aDispatcher.mLastingRunners) /
          std::max(1.0, static_cast<double>(aDispatcher.mListedRunners));
  return cost + (open > kReservedOpenShare ? kUnsharedCost : kLastOpenCost);
}

/// Cost of a place for a task, or what keeps it from being one.
using Place = std::variant<double, Obstacle>;

/// Rates a place for a task without reservation.
Place
LeftoverCost(const Dispatcher& aDispatcher,
             const Runner& aRunner,
             const TaskRef& aTask,
             MonotonicTime aNow)
{
  const auto wanted = static_cast<double>(SpecOf(aTask).mAmount.mCores);
  const auto unused = static_cast<double>(UnusedCores(aRunner));
  if (unused < wanted * kLeastLeftoverShare) {
    return Obstacle::LittleUnused;
  }
  if (aRunner.mStarved) {
    return Obstacle::LittleUnused;
  }
  const double cost = kOpenRunnerCost * Openness(aDispatcher, aRunner) -
                      unused / 1000 * kUnusedWeight;
  if (aRunner.mLasting == 0) {
    return cost;
  }
  const std::optional<double> disturbance =
    DisturbanceCost(aDispatcher, aRunner, aTask, aNow);
  if (!disturbance) {
    return Obstacle::Disturbs;
  }
  return cost + kDisturbanceCost * *disturbance;
}

Place
RatePlace(const Dispatcher& aDispatcher,
          RunnerIndex aRunner,
          const TaskRef& aTask,
          const std::string& aService,
          MonotonicTime aNow)
{
  const StepSpec& spec = SpecOf(aTask);
  const Runner& runner = aDispatcher.mRunners[aRunner];
  if (const Obstacle room = ObstacleOfRoom(runner, spec);
      room != Obstacle::None) {
    return room;
  }
  if (runner.mSpec.mService != aService) {
    return Obstacle::OtherService;
  }
  if (const Obstacle closed = ObstacleOfRunner(aDispatcher, runner, aNow);
      closed != Obstacle::None) {
    return closed;
  }
  if (!spec.mRequiredLabel.empty() && !HasLabel(runner, spec.mRequiredLabel)) {
    return Obstacle::Label;
  }
  if (spec.mMostPerRunner > 0 &&
      CountOfStep(runner, aTask) >= spec.mMostPerRunner) {
    return Obstacle::MostPerRunner;
  }
  double cost = 0;
  if (spec.mReservation == Reservation::Reserved) {
    cost = ReservedCost(aDispatcher, runner, aTask);
  } else {
    const Place leftover = LeftoverCost(aDispatcher, runner, aTask, aNow);
    if (std::holds_alternative<Obstacle>(leftover)) {
      return leftover;
    }
    cost = std::get<double>(leftover);
  }
  if (!spec.mDataRack.empty() && runner.mSpec.mRack != spec.mDataRack) {
    cost += kFarCost;
  }
  if (runner.mSpec.mColdRemaining.count() > 0) {
    cost += kFarCost;
  }
  if (TaskOf(aTask).mFailedOn == aRunner) {
    cost += kFarCost;
  }
  // A runner with recent failures is a last choice until it has done well.
  return cost + kFailureCost * runner.mConsecutiveFailures;
}

/// @return the best of @p aCandidates for a task, or kNoRunner
RunnerIndex
ChooseRunner(const Dispatcher& aDispatcher,
             std::span<const RunnerIndex> aCandidates,
             const TaskRef& aTask,
             const std::string& aService,
             MonotonicTime aNow)
{
  RunnerIndex best = kNoRunner;
  double bestCost = 0;
  for (const RunnerIndex index : aCandidates) {
    const Place place = RatePlace(aDispatcher, index, aTask, aService, aNow);
    const double* cost = std::get_if<double>(&place);
    if (cost != nullptr && (best == kNoRunner || *cost < bestCost)) {
      best = index;
      bestCost = *cost;
    }
  }
  return best;
}

void
Start(Dispatcher& aDispatcher,
      const TaskRef& aTask,
      RunnerIndex aRunner,
      std::int64_t aRun,
      MonotonicTime aNow,
      Actions& aActions)
{
  Task& task = TaskOf(aTask);
  Step& step = StepOf(aTask);
  task.mPhase = TaskPhase::Starting;
  task.mStopCause = StopCause::None;
  task.mRun = aRun;
  task.mStartedAt = aNow;
  task.mPace = 100;
  task.mPaceSure = true;
  task.mPaceSentAt = aNow;
  task.mSlowSince.reset();
  task.mLoadFigure = 0;
  task.mActivity = kUnknownActivity;
  --step.mWaiting;
  Occupy(aDispatcher, aRunner, aTask);
  Runner& runner = aDispatcher.mRunners[aRunner];
  ++aDispatcher.mCounters.mStarts;
  ++runner.mStarting;
  aActions.push_back(
    StartTask{ aRunner, aTask, aRun, LeaseEnd(aDispatcher, runner, aNow) });
}

/// What a job can still earn decides before its age: a step that is served late
/// anyway must not make the next one late.
enum class Reach : std::uint8_t
{
  InTime,
  Late,     ///< Can't end within its objective any more.
  Worthless ///< Can't end within three times its objective.
};

Reach
ReachOf(const WaitingStep& aEntry, MonotonicTime aNow)
{
  if (aEntry.mKind == StepKind::Lasting) {
    return Reach::InTime;
  }
  const Job& job = *aEntry.mJob;
  const auto objective =
    std::chrono::duration_cast<Millis>(aEntry.mDueAt - job.mAcceptedAt);
  const Millis needed = StepOf(aEntry).mRemainingChain;
  if (aNow + needed <= aEntry.mDueAt) {
    return Reach::InTime;
  }
  const bool worthLate =
    aNow + needed <= aEntry.mDueAt + objective * (kLatestObjective - 1);
  return worthLate ? Reach::Late : Reach::Worthless;
}

/// @return the waiting steps in the order in which they get room
std::vector<WaitingStep>
OrderOfService(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::vector<WaitingStep> waiting(aDispatcher.mWaiting.begin(),
                                   aDispatcher.mWaiting.end());
  std::vector<std::pair<Reach, std::size_t>> order;
  order.reserve(waiting.size());
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    order.emplace_back(ReachOf(waiting[i], aNow), i);
  }
  std::sort(
    order.begin(), order.end(), [&](const auto& aFirst, const auto& aSecond) {
      const std::int32_t first = waiting[aFirst.second].mPriority;
      const std::int32_t second = waiting[aSecond.second].mPriority;
      return std::tie(first, aFirst) < std::tie(second, aSecond);
    });
  std::vector<WaitingStep> ordered;
  ordered.reserve(waiting.size());
  for (const auto& [reach, index] : order) {
    ordered.push_back(waiting[index]);
  }
  return ordered;
}

/// Starts all members of a gang, or none.
/// @return whether it was started
bool
StartGang(Dispatcher& aDispatcher,
          std::span<const RunnerIndex> aCandidates,
          const WaitingStep& aWaiting,
          const std::string& aService,
          MonotonicTime aNow,
          Actions& aActions)
{
  Job& job = *aWaiting.mJob;
  Step& step = StepOf(aWaiting);
  if (step.mWaiting < step.mTasks.size()) {
    // Members of the former run have not all ended yet.
    return false;
  }
  std::string saved;
  for (const Task& task : step.mTasks) {
    if (!task.mSaved.empty()) {
      saved = task.mSaved;
    }
  }
  Actions starts;
  const std::int64_t run = aDispatcher.mNextRun++;
  for (std::uint32_t i = 0; i < step.mTasks.size(); ++i) {
    const TaskRef ref{ &job, aWaiting.mOccurrence, aWaiting.mStep, i };
    const RunnerIndex runner =
      ChooseRunner(aDispatcher, aCandidates, ref, aService, aNow);
    if (runner == kNoRunner) {
      for (std::uint32_t back = 0; back < i; ++back) {
        EndRun(aDispatcher,
               { &job, aWaiting.mOccurrence, aWaiting.mStep, back },
               RunOutcome::Interrupted,
               0,
               {},
               aNow,
               starts);
      }
      return false;
    }
    step.mTasks[i].mSaved = saved;
    Start(aDispatcher, ref, runner, run, aNow, starts);
  }
  aActions.insert(aActions.end(), starts.begin(), starts.end());
  return true;
}

} // namespace

namespace {

/// @return the runners that may take a task now
std::vector<RunnerIndex>
OpenRunners(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::vector<RunnerIndex> open;
  for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
    if (ObstacleOfRunner(aDispatcher, aDispatcher.mRunners[i], aNow) ==
        Obstacle::None) {
      open.push_back(i);
    }
  }
  return open;
}

/// Requests that found no room in this pass. Room only shrinks during a pass,
/// so a larger request of the same kind finds none either.
class Refusals
{
public:
  [[nodiscard]] bool Covers(const StepSpec& aSpec,
                            const std::string& aService) const
  {
    return std::any_of(
      mEntries.begin(), mEntries.end(), [&](const Entry& aEntry) {
        return aEntry.mSpec->mReservation == aSpec.mReservation &&
               aEntry.mSpec->mImage == aSpec.mImage &&
               *aEntry.mService == aService &&
               aEntry.mSpec->mAmount.mCores <= aSpec.mAmount.mCores &&
               aEntry.mSpec->mAmount.mMemory <= aSpec.mAmount.mMemory &&
               aEntry.mSpec->mAmount.mAccelerators <=
                 aSpec.mAmount.mAccelerators;
      });
  }

  void Add(const StepSpec& aSpec, const std::string& aService)
  {
    // Other limits of a step say nothing about the next step.
    if (aSpec.mRequiredLabel.empty() && aSpec.mMostPerRunner == 0 &&
        !aSpec.mGang) {
      mEntries.push_back({ &aSpec, &aService });
    }
  }

private:
  struct Entry
  {
    const StepSpec* mSpec = nullptr;
    const std::string* mService = nullptr;
  };
  std::vector<Entry> mEntries;
};

} // namespace

void
PlaceWaiting(Dispatcher& aDispatcher, MonotonicTime aNow, Actions& aActions)
{
  // Where only room was freed, only the runners that have it are looked at.
  const bool full = aDispatcher.mPlacementDue;
  std::vector<RunnerIndex> candidates =
    full ? OpenRunners(aDispatcher, aNow)
         : std::exchange(aDispatcher.mFreedRunners, {});
  if (candidates.empty() || aDispatcher.mWaiting.empty()) {
    aDispatcher.mPlacementDue =
      aDispatcher.mPlacementDue && !aDispatcher.mWaiting.empty();
    return;
  }
  aDispatcher.mPlacementDue = false;
  aDispatcher.mFreedRunners.clear();
  for (const RunnerIndex index : candidates) {
    RateLasting(aDispatcher, aDispatcher.mRunners[index], aNow);
  }
  std::uint32_t started = 0;
  Refusals refusals;
  if (full || aNow - aDispatcher.mOrderedAt >= kOrderInterval) {
    aDispatcher.mOrder = OrderOfService(aDispatcher, aNow);
    aDispatcher.mOrderedAt = aNow;
  }
  for (const WaitingStep& entry : aDispatcher.mOrder) {
    if (!full && !aDispatcher.mWaiting.contains(entry)) {
      continue; // It has been served, or its job is gone.
    }
    Job& job = *entry.mJob;
    const QueueSpec* queue = FindQueue(aDispatcher, job.mSpec.mQueue);
    if (queue == nullptr || (job.mFormer && !aDispatcher.mRecovered)) {
      continue;
    }
    const StepSpec& spec = job.mSpec.mSteps[entry.mStep];
    if (refusals.Covers(spec, queue->mService)) {
      continue;
    }
    Step& step = StepOf(entry);
    if (spec.mGang) {
      if (StartGang(
            aDispatcher, candidates, entry, queue->mService, aNow, aActions)) {
        started += static_cast<std::uint32_t>(step.mTasks.size());
      }
    } else {
      for (std::uint32_t i = 0; i < step.mTasks.size() && step.mWaiting > 0;
           ++i) {
        if (step.mTasks[i].mPhase != TaskPhase::Waiting) {
          continue;
        }
        const TaskRef ref{ &job, entry.mOccurrence, entry.mStep, i };
        const RunnerIndex runner =
          ChooseRunner(aDispatcher, candidates, ref, queue->mService, aNow);
        if (runner == kNoRunner) {
          refusals.Add(spec, queue->mService);
          break;
        }
        Start(aDispatcher, ref, runner, aDispatcher.mNextRun++, aNow, aActions);
        NoteNeighbour(aDispatcher, aDispatcher.mRunners[runner], ref, aNow);
        ++started;
      }
    }
    UpdateWaiting(aDispatcher, job, entry.mOccurrence, entry.mStep);
    if (started >= aDispatcher.mSettings.mStartsPerPass) {
      aDispatcher.mPlacementDue = true;
      return;
    }
  }
}

void
ExplainWaiting(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  for (Runner& runner : aDispatcher.mRunners) {
    RateLasting(aDispatcher, runner, aNow);
  }
  std::size_t explained = 0;
  for (const WaitingStep& entry : aDispatcher.mWaiting) {
    const Step& step = StepOf(entry);
    const QueueSpec* queue = FindQueue(aDispatcher, entry.mJob->mSpec.mQueue);
    if (aNow - step.mOpenedAt < kExplainAfter) {
      continue;
    }
    const auto task = std::find_if(
      step.mTasks.begin(), step.mTasks.end(), [](const Task& aTask) {
        return aTask.mPhase == TaskPhase::Waiting;
      });
    if (queue == nullptr || task == step.mTasks.end()) {
      continue;
    }
    const TaskRef ref{ entry.mJob,
                       entry.mOccurrence,
                       entry.mStep,
                       static_cast<std::uint32_t>(task - step.mTasks.begin()) };
    std::array<std::uint32_t, kObstacleNames.size()> counts{};
    for (RunnerIndex i = 0; i < aDispatcher.mRunners.size(); ++i) {
      const Place place = RatePlace(aDispatcher, i, ref, queue->mService, aNow);
      const Obstacle* obstacle = std::get_if<Obstacle>(&place);
      ++counts[obstacle != nullptr ? static_cast<std::size_t>(*obstacle) : 0];
    }
    std::string details = "task=" + FormatTaskName(NameOf(ref)) +
                          " waiting=" + std::to_string(step.mWaiting);
    for (std::size_t i = 0; i < counts.size(); ++i) {
      if (counts[i] > 0) {
        details += " ";
        details += kObstacleNames[i];
        details += "=" + std::to_string(counts[i]);
      }
    }
    Emit(aDispatcher, "step_waits", entry.mJob, std::move(details));
    if (++explained == kExplainedSteps) {
      return;
    }
  }
}

} // namespace paddle::dispatch
