#include "NodeWorld.h"

#include <algorithm>

namespace paddle {

namespace {

constexpr Millis kStep{ 25 };
constexpr std::size_t kRunners = 4;

} // namespace

NodeWorld::NodeWorld()
{
  for (std::size_t i = 0; i < kRunners; ++i) {
    mRunners["r" + std::to_string(i)] = {};
  }
}

DirectoryPort
NodeWorld::MakeDirectoryPort()
{
  DirectoryPort port;
  port.mReadOperator =
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
NodeWorld::MakeRunnerPort()
{
  RunnerPort port;
  port.mRenew = [this](const RunnerTarget& aTarget,
                       const RenewOrder& aOrder,
                       const std::function<void(RenewOutcome)>& aDone) {
    // An answer comes after the call has returned.
    mDeadlines.Add(mNow, [this, id = aTarget.mId, aOrder, aDone] {
      FakeRunner& runner = mRunners[id];
      RenewOutcome outcome;
      if (aOrder.mToken < runner.mToken) {
        outcome.mResult = OrderResult::Fenced;
        aDone(outcome);
        return;
      }
      runner.mToken = aOrder.mToken;
      std::erase_if(runner.mEnds, [&](const dispatch::EndEntry& aEnd) {
        return aEnd.mNumber <= aOrder.mAcknowledge;
      });
      outcome.mResult = OrderResult::Done;
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
                       const std::function<void(OrderResult)>& aDone) {
    mDeadlines.Add(mNow, [this, id = aTarget.mId, aOrder, aDone] {
      FakeRunner& runner = mRunners[id];
      if (aOrder.mToken < runner.mToken) {
        aDone(OrderResult::Fenced);
        return;
      }
      ++mStarts;
      runner.mRunning.push_back({ aOrder.mTask, aOrder.mRun });
      aDone(OrderResult::Done);
    });
  };
  port.mStop = [this](const RunnerTarget& aTarget,
                      const RunOrder& aOrder,
                      const std::function<void(OrderResult)>& aDone) {
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
      aDone(OrderResult::Done);
    });
  };
  port.mPace = [](const RunnerTarget&,
                  const RunOrder&,
                  const std::function<void(OrderResult)>& aDone) {
    aDone(OrderResult::Done);
  };
  return port;
}

void
NodeWorld::StartNode(const std::string& aName)
{
  KillNode(aName);
  Member& member = mNodes[aName];
  member.mContext.mSelf.mName = aName;
  member.mContext.mSelf.mIncarnation = mNextIncarnation++;
  member.mContext.mSelf.mMilliCores = 100;
  member.mContext.mParts = mParts;
  member.mContext.mStore = mStore.Port();
  member.mContext.mRunners = MakeRunnerPort();
  member.mContext.mDirectory = MakeDirectoryPort();
  member.mContext.mDeadlines = &mDeadlines;
  member.mContext.mLog = &mLog;
  member.mContext.mMetrics = &mMetrics;
  member.mContext.mClock = [this] { return mNow; };
  member.mNode = std::make_unique<Node>(member.mContext);
  member.mNode->Begin();
}

void
NodeWorld::KillNode(const std::string& aName)
{
  const auto found = mNodes.find(aName);
  if (found != mNodes.end()) {
    found->second.mNode.reset();
  }
}

void
NodeWorld::Pass(Millis aTime)
{
  for (Millis passed(0); passed < aTime; passed += kStep) {
    mNow += kStep;
    mDeadlines.Expire(mNow);
    for (auto& [name, member] : mNodes) {
      if (member.mNode) {
        member.mNode->Tick(mNow);
      }
    }
    mStore.Run();
  }
}

ClientAnswer
NodeWorld::Submit(const std::string& aNode, const std::string& aJob)
{
  dispatch::JobSpec job;
  job.mId = aJob;
  job.mQueue = "queue";
  dispatch::StepSpec step;
  step.mTasks = 1;
  step.mAmount = { 1000, 1000, 0 };
  step.mEstimate = Millis(800);
  job.mSteps.push_back(step);
  ClientAnswer answer = ClientAnswer::Unavailable;
  mNodes.at(aNode).mNode->Clients().Submit(
    std::move(job), [&answer](ClientAnswer aAnswer) { answer = aAnswer; });
  Pass(Seconds(3));
  return answer;
}

StatusAnswer
NodeWorld::Status(const std::string& aNode, const std::string& aJob)
{
  StatusAnswer answer;
  mNodes.at(aNode).mNode->Clients().Status(
    aJob, [&answer](const StatusAnswer& aAnswer) { answer = aAnswer; });
  Pass(Millis(100));
  return answer;
}

void
NodeWorld::End(const std::string& aTask, dispatch::EndKind aKind)
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
NodeWorld::Running(const std::string& aTask) const
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
