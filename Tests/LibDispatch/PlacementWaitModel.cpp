#include "PlacementWaitModel.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "DispatchWorld.h"

namespace paddle::dispatch {

namespace {

constexpr std::size_t kRunners = 20; ///< Four in a rack.
constexpr int kRacks = 5;
constexpr std::int64_t kMilliCores =
  4000; ///< Of a task; runners have 16 cores.
constexpr int kPlaces = 80;
/// Limit of the waits with WaitPolicy::FixedBound.
constexpr Millis kFixedBound{ 1000 };

struct ModelTask
{
  MonotonicTime mArrivesAt;
  Millis mDuration{ 0 }; ///< In the preferred rack.
  Millis mEstimate{ 0 };
  std::string mRack;
  bool mDelayed = false; ///< Whether it only accepts its rack for now.
  bool mStarted = false;
  bool mInRack = false;
  MonotonicTime mEndsAt;
};

/// @return a number from 0 to 1; the distributions of the standard library
///         differ between its implementations
double
Uniform(std::mt19937_64& aRandom)
{
  return static_cast<double>(aRandom() >> 11U) * 0x1.0p-53;
}

std::vector<ModelTask>
MakeLoad(const WaitModelSettings& aSettings, MonotonicTime aBegin)
{
  std::mt19937_64 random(aSettings.mSeed);
  const auto mean = static_cast<double>(aSettings.mDuration.count());
  const double perMs = aSettings.mLoad * kPlaces / mean;
  std::vector<ModelTask> tasks;
  double at = 0;
  while (true) {
    at -= std::log(1 - Uniform(random)) / perMs;
    if (at > mean * aSettings.mDurations) {
      return tasks;
    }
    ModelTask& task = tasks.emplace_back();
    task.mArrivesAt = aBegin + Millis(static_cast<Millis::rep>(at));
    const double duration = mean * (0.5 + Uniform(random));
    task.mDuration = Millis(static_cast<Millis::rep>(duration));
    task.mEstimate = Millis(
      static_cast<Millis::rep>(duration * (Uniform(random) < 0.5 ? 0.5 : 1.5)));
    if (Uniform(random) < aSettings.mHotShare) {
      task.mRack = "rack0";
    } else if (Uniform(random) < 0.5) {
      task.mRack =
        "rack" + std::to_string(static_cast<int>(Uniform(random) * kRacks));
    }
  }
}

/// Adds a task as a job of its own.
void
Submit(DispatchWorld& aWorld, const ModelTask& aTask, const std::string& aName)
{
  StepSpec step = FiniteStep(1, kMilliCores);
  step.mEstimatedDuration = aTask.mEstimate;
  step.mDataRack = aTask.mRack;
  if (aTask.mDelayed) {
    step.mRequiredLabel = aTask.mRack;
  }
  const JobSpec job = MakeJob(aName, { step });
  aWorld.mAccepted.emplace(aName, job);
  AddJob(aWorld.mDispatcher,
         job,
         nullptr,
         PriorRuns::None,
         aTask.mArrivesAt,
         aWorld.mNow);
}

double
Quantile(std::vector<double>& aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(
    aShare * static_cast<double>(aValues.size() - 1))];
}

WaitModelResult
Summarize(const std::vector<ModelTask>& aTasks)
{
  WaitModelResult result;
  std::vector<double> all;
  std::vector<double> others;
  double preferring = 0;
  for (const ModelTask& task : aTasks) {
    const double seconds =
      std::chrono::duration<double>(task.mEndsAt - task.mArrivesAt).count();
    all.push_back(seconds);
    result.mMean += seconds / static_cast<double>(aTasks.size());
    if (task.mRack.empty()) {
      others.push_back(seconds);
    } else {
      ++preferring;
      result.mShareInRack += task.mInRack ? 1 : 0;
    }
  }
  result.mShareInRack /= std::max(1.0, preferring);
  result.mP50 = Quantile(all, 0.5);
  result.mP99 = Quantile(all, 0.99);
  result.mOthersP50 = Quantile(others, 0.5);
  result.mOthersP99 = Quantile(others, 0.99);
  return result;
}

} // namespace

WaitModelResult
SimulateWaits(const WaitModelSettings& aSettings)
{
  DispatchWorld world;
  world.ListRunners(kRunners);
  if (aSettings.mPolicy == WaitPolicy::Decision) {
    world.mDispatcher.mSettings.mRemoteFactor = aSettings.mRemoteFactor;
  }
  const Millis timeStep = std::max(Millis(25), aSettings.mDuration / 100);
  std::vector<ModelTask> tasks = MakeLoad(aSettings, world.mNow);
  std::multimap<MonotonicTime, std::string> ends;
  std::multimap<MonotonicTime, std::size_t> bounds;
  std::size_t arrived = 0;
  std::size_t done = 0;
  const auto nameOf = [](std::size_t aTask, bool aDelayed) {
    return (aDelayed ? "d" : "t") + std::to_string(aTask);
  };
  while (done < tasks.size()) {
    world.mNow += timeStep;
    for (; !ends.empty() && ends.begin()->first <= world.mNow; ++done) {
      world.End(ends.begin()->second, EndKind::Done);
      ends.erase(ends.begin());
    }
    while (!bounds.empty() && bounds.begin()->first <= world.mNow) {
      const std::size_t index = bounds.begin()->second;
      bounds.erase(bounds.begin());
      if (!tasks[index].mStarted) {
        tasks[index].mDelayed = false;
        CancelJob(
          world.mDispatcher, nameOf(index, true), world.mNow, world.mActions);
        Submit(world, tasks[index], nameOf(index, false));
      }
    }
    for (; arrived < tasks.size() && tasks[arrived].mArrivesAt <= world.mNow;
         ++arrived) {
      ModelTask& task = tasks[arrived];
      task.mDelayed =
        aSettings.mPolicy == WaitPolicy::FixedBound && !task.mRack.empty();
      if (task.mDelayed) {
        bounds.emplace(task.mArrivesAt + kFixedBound, arrived);
      }
      Submit(world, task, nameOf(arrived, task.mDelayed));
    }
    world.Report();
    world.Tick();
    world.Commit();
    for (const auto& [id, runner] : world.mRunners) {
      const std::string& rack =
        world.mDispatcher.mRunners[world.mDispatcher.mRunnerById.at(id)]
          .mSpec.mRack;
      for (const DispatchWorld::Run& run : runner.mRunning) {
        ModelTask& task = tasks[std::stoul(run.mTask.substr(1))];
        if (task.mStarted) {
          continue;
        }
        task.mStarted = true;
        task.mInRack = task.mRack.empty() || task.mRack == rack;
        const double factor = task.mInRack ? 1 : aSettings.mRemoteFactor;
        task.mEndsAt =
          world.mNow + Millis(static_cast<Millis::rep>(
                         static_cast<double>(task.mDuration.count()) * factor));
        ends.emplace(task.mEndsAt, run.mTask);
      }
    }
  }
  return Summarize(tasks);
}

} // namespace paddle::dispatch
