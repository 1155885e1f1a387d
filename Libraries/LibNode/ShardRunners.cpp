#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// Delay before the renewal of a runner that did not answer is repeated. It
/// doubles with each failure up to kLongestBackoff.
constexpr Millis kFirstBackoff{ 100 };
constexpr Millis kLongestBackoff{ 800 };
/// Delay before the next renewal if the last was answered early although no run
/// had ended, so that renewals are not repeated in a tight loop.
constexpr Millis kEarlyAnswerDelay{ 40 };
/// Longest delay of a renewal while ends of runs are being stored: until they
/// are acknowledged, the runner would answer at once with the same ends. The
/// renewal is sent earlier if the commit is answered.
constexpr Millis kCommitWait{ 250 };

} // namespace

RunnerTarget
ShardOwner::State::TargetOf(dispatch::RunnerIndex aRunner) const
{
  const dispatch::RunnerSpec& spec = mDispatcher.mRunners[aRunner].mSpec;
  return { spec.mAddress, spec.mId };
}

RunnerLink&
ShardOwner::State::LinkOf(dispatch::RunnerIndex aRunner)
{
  if (mLinks.size() <= aRunner) {
    mLinks.resize(aRunner + 1);
  }
  return mLinks[aRunner];
}

void
ShardOwner::State::ApplyRunners()
{
  if (mStage != ShardStage::Serving || !mShardRunnersRead) {
    return;
  }
  std::vector<dispatch::RunnerSpec> known;
  bool unknown = false;
  for (const dispatch::RunnerSpec& runner : mShardRunners) {
    if (mStoredRunners.contains(runner.mId)) {
      known.push_back(runner);
    } else {
      unknown = true;
    }
  }
  dispatch::Actions actions;
  dispatch::SetRunners(mDispatcher, known, mContext.Now(), actions);
  PerformActions(actions);
  if (unknown) {
    StoreRunners();
  }
}

void
ShardOwner::State::Renew(dispatch::RunnerIndex aRunner, MonotonicTime aNow)
{
  RunnerLink& link = LinkOf(aRunner);
  link.mInFlight = true;
  link.mRenewAgain = false;
  link.mSentAt = aNow;
  const dispatch::RenewalPlan plan =
    dispatch::PlanRenewal(mDispatcher, aRunner, aNow);
  const RenewalRequest request{
    mDispatcher.mEpoch, plan.mAcknowledge, plan.mLeaseEndMs, plan.mWait
  };
  auto self = shared_from_this();
  mContext.mRunners.mRenew(
    TargetOf(aRunner),
    request,
    [self, aRunner, aNow, wait = plan.mWait](const RenewOutcome& aOutcome) {
      if (!self->mOwnershipLost) {
        self->HandleRenewal(aRunner, aOutcome, aNow, wait);
      }
    });
}

void
ShardOwner::State::HandleRenewal(dispatch::RunnerIndex aRunner,
                                 const RenewOutcome& aOutcome,
                                 MonotonicTime aSentAt,
                                 Millis aWait)
{
  const MonotonicTime now = mContext.Now();
  RunnerLink& link = LinkOf(aRunner);
  link.mInFlight = false;
  if (aOutcome.mResult == RunnerResult::Fenced) {
    LoseOwnership("fenced");
    return;
  }
  if (aOutcome.mResult != RunnerResult::Done) {
    dispatch::HandleNoReport(mDispatcher, aRunner, now);
    link.mBackoff =
      std::clamp(link.mBackoff * 2, kFirstBackoff, kLongestBackoff);
    link.mNextRenewalAt = now + link.mBackoff;
    return;
  }
  link.mBackoff = Millis(0);
  link.mAnswered = true;
  if (mStage != ShardStage::Serving) {
    // By answering, the runner shows that it rejects the former owner's
    // requests from now on. Its report is read again once the jobs are known.
    link.mNextRenewalAt = now;
    if (mStage == ShardStage::Fencing &&
        std::all_of(mLinks.begin(), mLinks.end(), [](const RunnerLink& aLink) {
          return aLink.mAnswered;
        })) {
      mFencingEndsAt = now;
    }
    return;
  }
  dispatch::Actions actions;
  const std::int64_t processed = mDispatcher.mRunners[aRunner].mProcessedEnds;
  dispatch::HandleReport(
    mDispatcher, aRunner, aOutcome.mReport, aSentAt, now, actions);
  const bool newEnds =
    mDispatcher.mRunners[aRunner].mProcessedEnds != processed;
  if (MayCommandRunners(now)) {
    dispatch::PlaceWaiting(mDispatcher, now, actions);
  }
  PerformActions(actions);
  if (mDispatcher.mCommitUrgent) {
    BeginCommit(now);
  }
  const dispatch::Runner& runner = mDispatcher.mRunners[aRunner];
  const bool watched = !runner.mTasks.empty() || !runner.mOrphans.empty();
  if (!watched && runner.mUnstoredEnds.empty()) {
    link.mNextRenewalAt = now + mDispatcher.mSettings.mIdleLook;
    return;
  }
  if (!runner.mUnstoredEnds.empty()) {
    link.mAwaitsCommit = true;
    link.mNextRenewalAt = now + kCommitWait;
    return;
  }
  link.mAwaitsCommit = false;
  // A renewal of a runner without tasks is answered at once.
  const bool early = !watched || now - aSentAt < aWait / 2;
  link.mNextRenewalAt =
    early && !newEnds && !link.mRenewAgain ? now + kEarlyAnswerDelay : now;
  if (link.mNextRenewalAt <= now && MayCommandRunners(now)) {
    Renew(aRunner, now);
  }
}

void
ShardOwner::State::RenewAfterCommit(MonotonicTime aNow)
{
  for (dispatch::RunnerIndex i = 0; i < mLinks.size(); ++i) {
    if (mLinks[i].mAwaitsCommit &&
        mDispatcher.mRunners[i].mUnstoredEnds.empty()) {
      mLinks[i].mAwaitsCommit = false;
      mLinks[i].mNextRenewalAt = aNow;
      if (!mLinks[i].mInFlight && MayCommandRunners(aNow)) {
        Renew(i, aNow);
      }
    }
  }
}

void
ShardOwner::State::PerformActions(dispatch::Actions& aActions)
{
  if (aActions.empty() || !MayCommandRunners(mContext.Now())) {
    return;
  }
  for (const dispatch::Action& action : aActions) {
    if (const auto* start = std::get_if<dispatch::StartTask>(&action)) {
      PerformStart(*start);
    } else if (const auto* stop = std::get_if<dispatch::StopTask>(&action)) {
      PerformStop(*stop);
    } else if (const auto* pace = std::get_if<dispatch::PaceTask>(&action)) {
      PerformThrottle(*pace);
    }
  }
}

void
ShardOwner::State::PerformStart(const dispatch::StartTask& aStart)
{
  const dispatch::TaskRef& ref = aStart.mTask;
  const dispatch::TaskName name = dispatch::NameOf(ref);
  const std::string text = dispatch::FormatTaskName(name);
  const dispatch::Task& task = dispatch::TaskOf(ref);
  StartRequest request{ text,
                        aStart.mRun,
                        ref.mJob->mSpec.mPayload,
                        aStart.mLeaseEndMs,
                        mDispatcher.mEpoch,
                        task.mSaved,
                        {} };
  const MonotonicTime sentAt = mContext.Now();
  auto self = shared_from_this();
  mContext.mRunners.mStart(
    TargetOf(aStart.mRunner),
    std::move(request),
    [self, name, text, run = aStart.mRun, index = aStart.mRunner, sentAt](
      RunnerResult aResult) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aResult == RunnerResult::Fenced) {
        self->LoseOwnership("fenced");
        return;
      }
      dispatch::StartResult result = dispatch::StartResult::Refused;
      if (aResult == RunnerResult::Done) {
        result = dispatch::StartResult::Started;
      } else if (aResult == RunnerResult::Unhealthy) {
        result = dispatch::StartResult::Unhealthy;
      } else if (aResult == RunnerResult::Unknown) {
        result = dispatch::StartResult::Unknown;
      }
      const MonotonicTime now = self->mContext.Now();
      if (result != dispatch::StartResult::Started) {
        self->Log(LogLevel::Info,
                  "start_not_done",
                  "job=" + name.mJob + " task=" + text +
                    " run=" + std::to_string(run) +
                    " runner=" + self->mDispatcher.mRunners[index].mSpec.mId +
                    " result=" + std::to_string(static_cast<int>(aResult)));
      }
      self->mContext.mMetrics->Observe(
        "start_answer", std::chrono::duration_cast<Micros>(now - sentAt));
      dispatch::Actions actions;
      dispatch::HandleStartResult(
        self->mDispatcher, index, name, run, result, now, actions);
      self->PerformActions(actions);
    });
  // The end of the run must be seen at once, so the runner is renewed now. If a
  // renewal is in flight already, its answer comes within its wait.
  RunnerLink& link = LinkOf(aStart.mRunner);
  if (!link.mInFlight) {
    link.mNextRenewalAt = sentAt;
  }
}

void
ShardOwner::State::PerformStop(const dispatch::StopTask& aStop)
{
  auto self = shared_from_this();
  mContext.mRunners.mStop(
    TargetOf(aStop.mRunner),
    { dispatch::FormatTaskName(aStop.mTask),
      aStop.mRun,
      mDispatcher.mEpoch,
      0 },
    [self, aStop](RunnerResult aResult) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aResult == RunnerResult::Fenced) {
        self->LoseOwnership("fenced");
        return;
      }
      if (aResult != RunnerResult::Done) {
        return; // The dispatcher repeats the stop until the run has ended.
      }
      dispatch::HandleStopAnswered(self->mDispatcher,
                                   aStop.mRunner,
                                   aStop.mTask,
                                   aStop.mRun,
                                   self->mContext.Now());
      RunnerLink& link = self->LinkOf(aStop.mRunner);
      link.mRenewAgain = true;
      if (!link.mInFlight) {
        link.mNextRenewalAt = self->mContext.Now();
      }
    });
}

void
ShardOwner::State::PerformThrottle(const dispatch::PaceTask& aPace)
{
  auto self = shared_from_this();
  mContext.mRunners.mThrottle(
    TargetOf(aPace.mRunner),
    { dispatch::FormatTaskName(aPace.mTask),
      aPace.mRun,
      mDispatcher.mEpoch,
      aPace.mPercent },
    [self, aPace](RunnerResult aResult) {
      if (!self->mOwnershipLost && aResult != RunnerResult::Done) {
        dispatch::HandlePaceLost(self->mDispatcher, aPace.mTask, aPace.mRun);
        self->Log(LogLevel::Info,
                  "pace_not_done",
                  "task=" + dispatch::FormatTaskName(aPace.mTask) +
                    " result=" + std::to_string(static_cast<int>(aResult)));
      }
    });
}

} // namespace paddle
