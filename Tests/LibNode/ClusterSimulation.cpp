#include "ClusterSimulation.h"

#include <algorithm>

namespace paddle {

namespace {

constexpr Millis kTimeStep{ 25 };
constexpr std::size_t kRunnerCount = 4;

} // namespace

ClusterSimulation::ClusterSimulation()
{
  for (std::size_t i = 0; i < kRunnerCount; ++i) {
    mRunners["r" + std::to_string(i)] = {};
  }
}

DirectoryPort
ClusterSimulation::MakeDirectoryPort()
{
  DirectoryPort port;
  port.mReadOperatorState =
    [](const std::function<void(std::optional<OperatorState>)>& aDone) {
      OperatorState state;
      Route route;
      route.mHost = "host";
      route.mPathPrefix = "/queue/";
      route.mQueue.mName = "queue";
      route.mQueue.mService = "service";
      route.mQueue.mMaxAttempts = 3;
      state.mConfiguration = Configuration{ 1, { route }, {} };
      aDone(std::move(state));
    };
  port.mReadRunners =
    [this](const std::function<void(
             std::optional<std::vector<dispatch::RunnerSpec>>)>& aDone) {
      std::vector<dispatch::RunnerSpec> runners;
      for (const auto& [id, runner] : mRunners) {
        dispatch::RunnerSpec spec;
        spec.mId = id;
        spec.mAddress = id;
        spec.mService = "service";
        spec.mDataCentre = "zone";
        spec.mCapacity = { 16000, 64000, 0 };
        spec.mIncarnation = 1;
        runners.push_back(spec);
      }
      aDone(std::move(runners));
    };
  return port;
}

RunnerPort
ClusterSimulation::MakeRunnerPort()
{
  RunnerPort port;
  port.mRenew = [this](const RunnerTarget& aTarget,
                       const RenewalOrder& aOrder,
                       const std::function<void(RenewalOutcome)>& aDone) {
    // The answer must come after the call has returned.
    mDeadlines.Add(mNow, [this, id = aTarget.mId, aOrder, aDone] {
      FakeRunner& runner = mRunners[id];
      RenewalOutcome outcome;
      if (aOrder.mFencingToken < runner.mFencingToken) {
        outcome.mResult = RunnerResult::Fenced;
        aDone(outcome);
        return;
      }
      runner.mFencingToken = aOrder.mFencingToken;
      std::erase_if(runner.mEnds, [&](const dispatch::EndEntry& aEnd) {
        return aEnd.mNumber <= aOrder.mAcknowledgedEnd;
      });
      outcome.mResult = RunnerResult::Done;
      outcome.mReport.mClockMs =
        std::chrono::duration_cast<Millis>(mNow.time_since_epoch()).count();
      outcome.mReport.mIncarnation = 1;
      outcome.mReport.mEnds = runner.mEnds;
      for (const FakeRun& run : runner.mRunning) {
        outcome.mReport.mRunning.push_back(
          { *dispatch::ParseTaskName(run.mTask), run.mRun, {}, 50, 0 });
      }
      aDone(outcome);
    });
  };
  port.mStart = [this](const RunnerTarget& aTarget,
                       const StartOrder& aOrder,
                       const std::function<void(RunnerResult)>& aDone) {
    mDeadlines.Add(mNow, [this, id = aTarget.mId, aOrder, aDone] {
      FakeRunner& runner = mRunners[id];
      if (aOrder.mFencingToken < runner.mFencingToken) {
        aDone(RunnerResult::Fenced);
        return;
      }
      ++mStarts;
      runner.mRunning.push_back({ aOrder.mTask, aOrder.mRun });
      aDone(RunnerResult::Done);
    });
  };
  port.mStop = [this](const RunnerTarget& aTarget,
                      const RunChangeOrder& aOrder,
                      const std::function<void(RunnerResult)>& aDone) {
    mDeadlines.Add(mNow, [this, id = aTarget.mId, aOrder, aDone] {
      FakeRunner& runner = mRunners[id];
      const auto run = std::find_if(
        runner.mRunning.begin(),
        runner.mRunning.end(),
        [&](const FakeRun& aRun) { return aRun.mTask == aOrder.mTask; });
      if (run != runner.mRunning.end()) {
        runner.mRunning.erase(run);
        runner.mEnds.push_back({ runner.mNextEnd++,
                                 *dispatch::ParseTaskName(aOrder.mTask),
                                 aOrder.mRun,
                                 dispatch::EndKind::Stopped,
                                 {} });
      }
      aDone(RunnerResult::Done);
    });
  };
  port.mSetPace = [](const RunnerTarget&,
                     const RunChangeOrder&,
                     const std::function<void(RunnerResult)>& aDone) {
    aDone(RunnerResult::Done);
  };
  return port;
}

void
ClusterSimulation::StartNode(const std::string& aName)
{
  KillNode(aName);
  SimulatedNode& node = mNodes[aName];
  node.mContext.mSelf.mName = aName;
  node.mContext.mSelf.mIncarnation = mNextIncarnation++;
  node.mContext.mSelf.mMilliCores = 100;
  node.mContext.mPartitions = mPartitions;
  node.mContext.mStore = mStore.Port();
  node.mContext.mRunners = MakeRunnerPort();
  node.mContext.mDirectory = MakeDirectoryPort();
  node.mContext.mDeadlines = &mDeadlines;
  node.mContext.mLog = &mLog;
  node.mContext.mMetrics = &mMetrics;
  node.mContext.mClock = [this] { return mNow; };
  node.mNode = std::make_unique<Node>(node.mContext);
  node.mNode->Begin();
}

void
ClusterSimulation::KillNode(const std::string& aName)
{
  const auto found = mNodes.find(aName);
  if (found != mNodes.end()) {
    found->second.mNode.reset();
  }
}

void
ClusterSimulation::AdvanceTime(Millis aTime)
{
  for (Millis passed(0); passed < aTime; passed += kTimeStep) {
    mNow += kTimeStep;
    mDeadlines.Expire(mNow);
    for (auto& [name, node] : mNodes) {
      if (node.mNode) {
        node.mNode->Tick(mNow);
      }
    }
    mStore.Run();
  }
}

ClientAnswer
ClusterSimulation::Submit(const std::string& aNode, const std::string& aJob)
{
  dispatch::JobSpec job;
  job.mId = aJob;
  job.mQueue = "queue";
  dispatch::StepSpec step;
  step.mTaskCount = 1;
  step.mDemand = { 1000, 1000, 0 };
  step.mEstimatedDuration = Millis(800);
  job.mSteps.push_back(step);
  ClientAnswer answer = ClientAnswer::Unavailable;
  mNodes.at(aNode).mNode->FrontEnd().Submit(
    std::move(job), [&answer](ClientAnswer aAnswer) { answer = aAnswer; });
  AdvanceTime(Seconds(3));
  return answer;
}

StatusAnswer
ClusterSimulation::Status(const std::string& aNode, const std::string& aJob)
{
  StatusAnswer answer;
  mNodes.at(aNode).mNode->FrontEnd().Status(
    aJob, [&answer](const StatusAnswer& aAnswer) { answer = aAnswer; });
  AdvanceTime(Millis(100));
  return answer;
}

void
ClusterSimulation::EndRun(const std::string& aTask, dispatch::EndKind aKind)
{
  for (auto& [id, runner] : mRunners) {
    const auto run =
      std::find_if(runner.mRunning.begin(),
                   runner.mRunning.end(),
                   [&](const FakeRun& aRun) { return aRun.mTask == aTask; });
    if (run != runner.mRunning.end()) {
      runner.mEnds.push_back({ runner.mNextEnd++,
                               *dispatch::ParseTaskName(aTask),
                               run->mRun,
                               aKind,
                               {} });
      runner.mRunning.erase(run);
      return;
    }
  }
}

std::size_t
ClusterSimulation::Running(const std::string& aTask) const
{
  std::size_t running = 0;
  for (const auto& [id, runner] : mRunners) {
    running += static_cast<std::size_t>(std::count_if(
      runner.mRunning.begin(), runner.mRunning.end(), [&](const FakeRun& aRun) {
        return aRun.mTask == aTask;
      }));
  }
  return running;
}

} // namespace paddle
