#include "DispatchWorld.h"

#include <algorithm>

#include <LibDispatch/FencingTokens.h>

namespace paddle::dispatch {

namespace {

/// Step of virtual time.
constexpr Millis kTimeStep{ 50 };

/// Time after which the sender gives up an order without an answer, or one that
/// it can't send.
constexpr Millis kOrderTimeout{ 900 };

std::size_t
RunsOf(const std::map<std::string, DispatchWorld::FakeRunner>& aRunners,
       const std::string& aTask)
{
  std::size_t runs = 0;
  for (const auto& [id, runner] : aRunners) {
    runs += static_cast<std::size_t>(std::count_if(
      runner.mRunning.begin(),
      runner.mRunning.end(),
      [&](const DispatchWorld::Run& aRun) { return aRun.mTask == aTask; }));
  }
  return runs;
}

} // namespace

StepSpec
FiniteStep(std::uint32_t aTasks, std::int64_t aMilliCores)
{
  StepSpec step;
  step.mTaskCount = aTasks;
  step.mDemand = { aMilliCores, 1000, 0 };
  step.mEstimatedDuration = Millis(800);
  return step;
}

StepSpec
LongRunningStep(std::uint32_t aTasks, std::int64_t aMilliCores)
{
  StepSpec step = FiniteStep(aTasks, aMilliCores);
  step.mKind = StepKind::LongRunning;
  step.mTailLatencyTarget = Millis(18);
  step.mImage = "serving";
  return step;
}

StepSpec
BestEffortStep(std::uint32_t aTasks,
               std::int64_t aMilliCores,
               std::string aImage)
{
  StepSpec step = FiniteStep(aTasks, aMilliCores);
  step.mReservation = Reservation::BestEffort;
  step.mImage = std::move(aImage);
  return step;
}

JobSpec
MakeJob(std::string aId, std::vector<StepSpec> aSteps)
{
  JobSpec job;
  job.mId = std::move(aId);
  job.mQueue = "queue";
  job.mSteps = std::move(aSteps);
  return job;
}

DispatchWorld::DispatchWorld()
{
  QueueSpec queue;
  queue.mName = "queue";
  queue.mService = "service";
  queue.mMaxAttempts = 4;
  queue.mStretch = 2;
  queue.mTargetDuration = Millis(400);
  mDispatcher.mEpoch = 1;
  mDispatcher.mRecovered = true;
  SetQueues(mDispatcher, { &queue, 1 });
}

void
DispatchWorld::ListRunners(std::size_t aCount)
{
  mListed.clear();
  for (std::size_t i = 0; i < aCount; ++i) {
    RunnerSpec spec;
    spec.mId = "r" + std::to_string(i);
    spec.mAddress = "127.0.0.1:" + std::to_string(1 + i);
    spec.mService = "service";
    spec.mDataCentre = "zone" + std::to_string(i % 3);
    spec.mRack = "rack" + std::to_string(i / 4);
    spec.mLabels = { "a", spec.mRack };
    spec.mCapacity = { 16000, 64000, 0 };
    spec.mIncarnation = mRunners[spec.mId].mIncarnation;
    mListed.push_back(spec);
  }
  SetRunners(mDispatcher, mListed, mNow, mActions);
  Report();
}

void
DispatchWorld::TakeOver(std::int64_t aEpoch)
{
  const std::vector<QueueSpec> queues{ mDispatcher.mQueues.at("queue") };
  std::vector<AccountSpec> accounts;
  for (const auto& [name, account] : mDispatcher.mAccounts) {
    accounts.push_back(account);
  }
  mDispatcher = Dispatcher{};
  mActions.clear();
  mDispatcher.mEpoch = aEpoch;
  mDispatcher.mNextRun = (aEpoch << 20) + 1;
  mDispatcher.mEarlierLeasesUntil = mNow + Seconds(18);
  SetQueues(mDispatcher, queues);
  SetAccounts(mDispatcher, accounts);
  for (const RunnerSpec& spec : mListed) {
    AddInheritedRunner(mDispatcher,
                       { spec,
                         mRecords.contains(spec.mId)
                           ? std::optional(mRecords.at(spec.mId))
                           : std::nullopt,
                         mRecordedLeaseEnds.contains(spec.mId)
                           ? std::optional(mRecordedLeaseEnds.at(spec.mId))
                           : std::nullopt },
                       mNow);
  }
  for (const auto& [id, spec] : mAccepted) {
    const auto stored = mStored.find(id);
    const auto acceptedAt = mAcceptedAt.find(id);
    dispatch::AddJob(mDispatcher,
                     spec,
                     stored == mStored.end() ? nullptr : &stored->second,
                     PriorRuns::Possible,
                     acceptedAt == mAcceptedAt.end() ? mNow
                                                     : acceptedAt->second,
                     mNow);
  }
  AdoptRecordedRuns(mDispatcher, mNow);
  SetRunners(mDispatcher, mListed, mNow, mActions);
}

void
DispatchWorld::AddJob(JobSpec aSpec, PriorRuns aPriorRuns)
{
  mAccepted.emplace(aSpec.mId, aSpec);
  mAcceptedAt.emplace(aSpec.mId, mNow);
  dispatch::AddJob(
    mDispatcher, std::move(aSpec), nullptr, aPriorRuns, mNow, mNow);
  PlaceWaiting(mDispatcher, mNow, mActions);
  PerformOrders();
}

void
DispatchWorld::PerformOrders()
{
  // Answers may lead to further orders.
  while (!mActions.empty()) {
    const Actions actions = std::move(mActions);
    mActions.clear();
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<StartTask>(&action)) {
        const TaskName name = NameOf(start->mTask);
        FakeRunner& runner =
          mRunners[mDispatcher.mRunners[start->mRunner].mSpec.mId];
        ++mStarts;
        mStartsAfterNotedEnd +=
          mNotedDone.contains(FormatTaskName(name)) ? 1 : 0;
        if (mStartsNotSentTo.contains(
              mDispatcher.mRunners[start->mRunner].mSpec.mDataCentre)) {
          mUnsentStarts.push_back({ *start, mNow + kOrderTimeout });
          continue;
        }
        if (mDropStarts || !runner.mAnswers) {
          mLostStarts.push_back(*start);
          HandleStartResult(mDispatcher,
                            start->mRunner,
                            name,
                            start->mRun,
                            StartResult::Unknown,
                            kOrderTimeout,
                            mNow,
                            mActions);
          continue;
        }
        const auto roundTrip = mRoundTrips.find(
          mDispatcher.mRunners[start->mRunner].mSpec.mDataCentre);
        if (roundTrip != mRoundTrips.end()) {
          SendSlowly(*start, roundTrip->second);
          continue;
        }
        CarryOutStart(mDispatcher.mRunners[start->mRunner].mSpec.mId,
                      { FormatTaskName(name), start->mRun },
                      start->mLeaseEndMs,
                      FencingTokenFor(mDispatcher, start->mRunner));
        HandleStartResult(mDispatcher,
                          start->mRunner,
                          name,
                          start->mRun,
                          StartResult::Started,
                          Millis(5),
                          mNow,
                          mActions);
      } else if (const auto* stop = std::get_if<StopTask>(&action)) {
        FakeRunner& runner =
          mRunners[mDispatcher.mRunners[stop->mRunner].mSpec.mId];
        if (!runner.mAnswers) {
          continue;
        }
        const RunnerSpec& spec = mDispatcher.mRunners[stop->mRunner].mSpec;
        const auto roundTrip = mRoundTrips.find(spec.mDataCentre);
        if (roundTrip != mRoundTrips.end()) {
          SendSlowly(*stop, roundTrip->second);
          continue;
        }
        CarryOutStop(spec.mId, stop->mTask, stop->mRun);
        HandleStopAnswered(
          mDispatcher, stop->mRunner, stop->mTask, stop->mRun, mNow);
      } else if (const auto* pace = std::get_if<PaceTask>(&action)) {
        mPaceOrders.push_back(*pace);
      }
    }
  }
}

void
DispatchWorld::CarryOutStart(const std::string& aRunner,
                             const Run& aRun,
                             std::int64_t aLeaseEndMs,
                             std::int64_t aFencingToken)
{
  FakeRunner& runner = mRunners.at(aRunner);
  if (aFencingToken < runner.mFencingToken) {
    return;
  }
  runner.mFencingToken = aFencingToken;
  runner.mRunning.push_back(aRun);
  runner.mLeaseEndMs = std::max(runner.mLeaseEndMs, aLeaseEndMs);
  mMostRunsOfATask = std::max(mMostRunsOfATask, RunsOf(mRunners, aRun.mTask));
}

void
DispatchWorld::CarryOutStop(const std::string& aRunner,
                            const TaskName& aTask,
                            std::int64_t aRun)
{
  FakeRunner& runner = mRunners.at(aRunner);
  const std::string task = FormatTaskName(aTask);
  runner.mStopped.emplace(task, aRun);
  const auto found = std::find_if(
    runner.mRunning.begin(), runner.mRunning.end(), [&](const Run& aOther) {
      return aOther.mTask == task && aOther.mRun == aRun;
    });
  if (found != runner.mRunning.end()) {
    runner.mRunning.erase(found);
    runner.mEnds.push_back(
      { runner.mNextEnd++, aTask, aRun, EndKind::Stopped, {} });
  }
}

void
DispatchWorld::SendSlowly(const StartTask& aStart, Millis aRoundTrip)
{
  const TaskName name = NameOf(aStart.mTask);
  const RunnerIndex index = aStart.mRunner;
  const std::int64_t run = aStart.mRun;
  mOnTheWay.emplace(mNow + aRoundTrip * 3 / 2,
                    [this,
                     name,
                     index,
                     run,
                     leaseEndMs = aStart.mLeaseEndMs,
                     token = FencingTokenFor(mDispatcher, index)] {
                      CarryOutStart(mDispatcher.mRunners[index].mSpec.mId,
                                    { FormatTaskName(name), run },
                                    leaseEndMs,
                                    token);
                    });
  const Millis answerTime = std::min(aRoundTrip * 2, kOrderTimeout);
  const StartResult result = aRoundTrip * 2 > kOrderTimeout
                               ? StartResult::Unknown
                               : StartResult::Started;
  mOnTheWay.emplace(
    mNow + answerTime, [this, name, index, run, answerTime, result] {
      HandleStartResult(
        mDispatcher, index, name, run, result, answerTime, mNow, mActions);
    });
}

void
DispatchWorld::SendSlowly(const StopTask& aStop, Millis aRoundTrip)
{
  mOnTheWay.emplace(mNow + aRoundTrip * 3 / 2, [this, aStop] {
    CarryOutStop(
      mDispatcher.mRunners[aStop.mRunner].mSpec.mId, aStop.mTask, aStop.mRun);
  });
  if (aRoundTrip * 2 <= kOrderTimeout) {
    mOnTheWay.emplace(mNow + aRoundTrip * 2, [this, aStop] {
      HandleStopAnswered(
        mDispatcher, aStop.mRunner, aStop.mTask, aStop.mRun, mNow);
    });
  }
}

void
DispatchWorld::DeliverFromSlowLinks()
{
  while (!mOnTheWay.empty() && mOnTheWay.begin()->first <= mNow) {
    const std::function<void()> deliver = mOnTheWay.begin()->second;
    mOnTheWay.erase(mOnTheWay.begin());
    deliver();
    PerformOrders();
  }
}

void
DispatchWorld::Report(RunnerIndex aRunner)
{
  FakeRunner& fake = mRunners[mDispatcher.mRunners[aRunner].mSpec.mId];
  const RenewalPlan plan = PlanRenewal(mDispatcher, aRunner, mNow);
  if (!fake.mAnswers) {
    HandleNoReport(mDispatcher, aRunner, mNow);
    return;
  }
  fake.mFencingToken = plan.mFencingToken;
  std::erase_if(fake.mEnds, [&](const EndEntry& aEnd) {
    const bool noted = aEnd.mNumber <= plan.mAcknowledgedEnd;
    if (noted && aEnd.mKind == EndKind::Done) {
      mNotedDone.insert(FormatTaskName(aEnd.mTask));
    }
    return noted;
  });
  fake.mLeaseEndMs = std::max(fake.mLeaseEndMs, plan.mLeaseEndMs);
  RunnerReport report;
  report.mClockMs = ClockOf(fake);
  report.mIncarnation = fake.mIncarnation;
  for (const Run& run : fake.mRunning) {
    report.mRunning.push_back(
      { *ParseTaskName(run.mTask),
        run.mRun,
        {},
        mProgressPercent,
        mLoadOf ? mLoadOf(fake, run) : run.mReportedLoad });
  }
  report.mEnds = fake.mEnds;
  HandleReport(mDispatcher, aRunner, report, mNow, mNow, mActions);
  PerformOrders();
}

void
DispatchWorld::Report()
{
  for (RunnerIndex i = 0; i < mDispatcher.mRunners.size(); ++i) {
    Report(i);
  }
}

void
DispatchWorld::Tick()
{
  const auto unixTime =
    std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  HandleTick(mDispatcher, mNow, unixTime.count(), mActions);
  PerformOrders();
}

void
DispatchWorld::Commit()
{
  const std::optional<dispatch::Commit> commit = TakeCommit(mDispatcher);
  if (!commit) {
    return;
  }
  std::vector<JobPhase> phases;
  for (const Job* job : commit->mJobs) {
    phases.push_back(job->mPhase);
    const std::string& id = job->mSpec.mId;
    if (job->mPhase == JobPhase::Active) {
      mStored[id] = ProgressOf(*job);
    } else {
      mEndedJobs[id] = job->mPhase;
      mStored.erase(id);
      mAccepted.erase(id);
    }
  }
  HandleCommitted(mDispatcher, *commit, phases);
}

void
DispatchWorld::AdvanceTime(Millis aTime)
{
  for (Millis passed(0); passed < aTime; passed += kTimeStep) {
    mNow += kTimeStep;
    GiveUpUnsentStarts();
    DeliverFromSlowLinks();
    ExpireLeases();
    Report();
    Tick();
    Commit();
  }
}

void
DispatchWorld::GiveUpUnsentStarts()
{
  while (!mUnsentStarts.empty() && mUnsentStarts.front().second <= mNow) {
    const StartTask start = mUnsentStarts.front().first;
    mUnsentStarts.erase(mUnsentStarts.begin());
    HandleStartResult(mDispatcher,
                      start.mRunner,
                      NameOf(start.mTask),
                      start.mRun,
                      StartResult::NotSent,
                      kOrderTimeout,
                      mNow,
                      mActions);
    PerformOrders();
  }
}

Millis
DispatchWorld::TimeUntilRunning(const std::string& aTask, Millis aLimit)
{
  Millis passed(0);
  while (!IsRunning(aTask) && passed < aLimit) {
    AdvanceTime(kTimeStep);
    passed += kTimeStep;
  }
  return passed;
}

std::int64_t
DispatchWorld::ClockOf(const FakeRunner& aRunner) const
{
  const auto now = std::chrono::duration_cast<Millis>(mNow.time_since_epoch());
  return static_cast<std::int64_t>(static_cast<double>(now.count()) *
                                   aRunner.mClockRate);
}

void
DispatchWorld::ExpireLeases()
{
  for (auto& [id, runner] : mRunners) {
    if (ClockOf(runner) < runner.mLeaseEndMs) {
      continue;
    }
    for (const Run& run : runner.mRunning) {
      runner.mEnds.push_back({ runner.mNextEnd++,
                               *ParseTaskName(run.mTask),
                               run.mRun,
                               EndKind::LeaseExpired,
                               {} });
    }
    runner.mRunning.clear();
  }
}

void
DispatchWorld::ExtendLeases(const std::string& aRunner, Millis aLeft)
{
  FakeRunner& runner = mRunners.at(aRunner);
  runner.mLeaseEndMs = ClockOf(runner) + aLeft.count();
}

void
DispatchWorld::Leave(const std::string& aRunner)
{
  mRunners.at(aRunner).mRunning.clear();
  mRunners.at(aRunner).mAnswers = false;
  std::erase_if(mListed,
                [&](const RunnerSpec& aSpec) { return aSpec.mId == aRunner; });
  SetRunners(mDispatcher, mListed, mNow, mActions);
  PerformOrders();
}

void
DispatchWorld::Restart(const std::string& aRunner)
{
  FakeRunner& runner = mRunners.at(aRunner);
  runner.mRunning.clear();
  runner.mEnds.clear();
  runner.mStopped.clear();
  runner.mNextEnd = 1;
  runner.mLeaseEndMs = 0;
  runner.mFencingToken = 0;
  ++runner.mIncarnation;
  for (RunnerSpec& spec : mListed) {
    if (spec.mId == aRunner) {
      spec.mIncarnation = runner.mIncarnation;
    }
  }
  SetRunners(mDispatcher, mListed, mNow, mActions);
  PerformOrders();
}

void
DispatchWorld::End(const std::string& aTask, EndKind aKind)
{
  for (auto& [id, runner] : mRunners) {
    const auto found =
      std::find_if(runner.mRunning.begin(),
                   runner.mRunning.end(),
                   [&](const Run& aRun) { return aRun.mTask == aTask; });
    if (found != runner.mRunning.end()) {
      runner.mEnds.push_back(
        { runner.mNextEnd++, *ParseTaskName(aTask), found->mRun, aKind, {} });
      runner.mRunning.erase(found);
      return;
    }
  }
}

bool
DispatchWorld::IsRunning(const std::string& aTask) const
{
  return !RunnerOf(aTask).empty();
}

std::string
DispatchWorld::RunnerOf(const std::string& aTask) const
{
  for (const auto& [id, runner] : mRunners) {
    for (const Run& run : runner.mRunning) {
      if (run.mTask == aTask) {
        return id;
      }
    }
  }
  return {};
}

std::size_t
DispatchWorld::RunningTasks() const
{
  std::size_t running = 0;
  for (const auto& [id, runner] : mRunners) {
    running += runner.mRunning.size();
  }
  return running;
}

} // namespace paddle::dispatch
