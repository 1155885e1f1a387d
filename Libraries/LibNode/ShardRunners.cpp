#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// Pause before a runner that did not answer is asked again; doubles.
constexpr Millis kFirstBackoff{ 100 };
constexpr Millis kLongestBackoff{ 800 };
/// Pause after a renewal that came back early without news.
constexpr Millis kEarlyPause{ 40 };
/// While ends are being stored, a renewal would return at once with the same
/// ends. The commit's answer ends this pause.
constexpr Millis kStoringPause{ 250 };

} // namespace

RunnerTarget
ShardHost::State::TargetOf(dispatch::RunnerIndex aRunner) const
{
  const dispatch::RunnerSpec& spec = mCore.mRunners[aRunner].mSpec;
  return { spec.mAddress, spec.mId };
}

RunnerLink&
ShardHost::State::LinkOf(dispatch::RunnerIndex aRunner)
{
  if (mLinks.size() <= aRunner) {
    mLinks.resize(aRunner + 1);
  }
  return mLinks[aRunner];
}

void
ShardHost::State::ApplyRunners()
{
  if (mStage != ShardStage::Serving || !mListedRead) {
    return;
  }
  std::vector<dispatch::RunnerSpec> known;
  bool unknown = false;
  for (const dispatch::RunnerSpec& runner : mListed) {
    if (mStoredRunners.contains(runner.mId)) {
      known.push_back(runner);
    } else {
      unknown = true;
    }
  }
  dispatch::Actions actions;
  dispatch::SetRunners(mCore, known, mContext.Now(), actions);
  Perform(actions);
  if (unknown) {
    StoreRunners();
  }
}

void
ShardHost::State::Renew(dispatch::RunnerIndex aRunner, MonotonicTime aNow)
{
  RunnerLink& link = LinkOf(aRunner);
  link.mInFlight = true;
  link.mKick = false;
  link.mSentAt = aNow;
  const dispatch::RenewalPlan plan =
    dispatch::PlanRenewal(mCore, aRunner, aNow);
  const RenewOrder order{
    mCore.mEpoch, plan.mAcknowledgedEnd, plan.mLeaseEndMs, plan.mLongPollTimeout
  };
  auto self = shared_from_this();
  mContext.mRunners.mRenew(TargetOf(aRunner),
                           order,
                           [self, aRunner, aNow, wait = plan.mLongPollTimeout](
                             const RenewOutcome& aOutcome) {
                             if (!self->mLost) {
                               self->HandleRenewal(
                                 aRunner, aOutcome, aNow, wait);
                             }
                           });
}

void
ShardHost::State::HandleRenewal(dispatch::RunnerIndex aRunner,
                                const RenewOutcome& aOutcome,
                                MonotonicTime aSentAt,
                                Millis aWait)
{
  const MonotonicTime now = mContext.Now();
  RunnerLink& link = LinkOf(aRunner);
  link.mInFlight = false;
  if (aOutcome.mResult == OrderResult::Fenced) {
    Lose("fenced");
    return;
  }
  if (aOutcome.mResult != OrderResult::Done) {
    dispatch::HandleNoReport(mCore, aRunner, now);
    link.mBackoff =
      std::clamp(link.mBackoff * 2, kFirstBackoff, kLongestBackoff);
    link.mNextAt = now + link.mBackoff;
    return;
  }
  link.mBackoff = Millis(0);
  link.mAnswered = true;
  if (mStage != ShardStage::Serving) {
    // The answer fences the runner. Its lists are read again once the jobs are
    // known.
    link.mNextAt = now;
    if (mStage == ShardStage::Fencing &&
        std::all_of(mLinks.begin(), mLinks.end(), [](const RunnerLink& aLink) {
          return aLink.mAnswered;
        })) {
      mFencedAt = now;
    }
    return;
  }
  dispatch::Actions actions;
  const std::int64_t processed = mCore.mRunners[aRunner].mHighestAppliedEnd;
  dispatch::HandleReport(
    mCore, aRunner, aOutcome.mReport, aSentAt, now, actions);
  const bool news = mCore.mRunners[aRunner].mHighestAppliedEnd != processed;
  if (MayAct(now)) {
    dispatch::PlaceWaiting(mCore, now, actions);
  }
  Perform(actions);
  if (mCore.mCommitUrgent) {
    BeginCommit(now);
  }
  const dispatch::Runner& runner = mCore.mRunners[aRunner];
  const bool watched = !runner.mTasks.empty() || !runner.mOrphans.empty();
  if (!watched && runner.mUnstoredEnds.empty()) {
    link.mNextAt = now + mCore.mSettings.mIdlePollInterval;
    return;
  }
  if (!runner.mUnstoredEnds.empty()) {
    link.mStoring = true;
    link.mNextAt = now + kStoringPause;
    return;
  }
  link.mStoring = false;
  // Waiting for news of a runner that has none returns at once.
  const bool early = !watched || now - aSentAt < aWait / 2;
  link.mNextAt = early && !news && !link.mKick ? now + kEarlyPause : now;
  if (link.mNextAt <= now && MayAct(now)) {
    Renew(aRunner, now);
  }
}

void
ShardHost::State::RenewStored(MonotonicTime aNow)
{
  for (dispatch::RunnerIndex i = 0; i < mLinks.size(); ++i) {
    if (mLinks[i].mStoring && mCore.mRunners[i].mUnstoredEnds.empty()) {
      mLinks[i].mStoring = false;
      mLinks[i].mNextAt = aNow;
      if (!mLinks[i].mInFlight && MayAct(aNow)) {
        Renew(i, aNow);
      }
    }
  }
}

void
ShardHost::State::Perform(dispatch::Actions& aActions)
{
  if (aActions.empty() || !MayAct(mContext.Now())) {
    return;
  }
  for (const dispatch::Action& action : aActions) {
    if (const auto* start = std::get_if<dispatch::StartTask>(&action)) {
      PerformStart(*start);
    } else if (const auto* stop = std::get_if<dispatch::StopTask>(&action)) {
      PerformStop(*stop);
    } else if (const auto* pace = std::get_if<dispatch::PaceTask>(&action)) {
      PerformPace(*pace);
    }
  }
}

void
ShardHost::State::PerformStart(const dispatch::StartTask& aStart)
{
  const dispatch::TaskRef& ref = aStart.mTask;
  const dispatch::TaskName name = dispatch::NameOf(ref);
  const std::string text = dispatch::FormatTaskName(name);
  const dispatch::Task& task = dispatch::TaskOf(ref);
  StartOrder order{ text,
                    aStart.mRun,
                    ref.mJob->mSpec.mPayload,
                    aStart.mLeaseEndMs,
                    mCore.mEpoch,
                    task.mCheckpoint,
                    {} };
  const MonotonicTime sentAt = mContext.Now();
  auto self = shared_from_this();
  mContext.mRunners.mStart(
    TargetOf(aStart.mRunner),
    std::move(order),
    [self, name, text, run = aStart.mRun, index = aStart.mRunner, sentAt](
      OrderResult aResult) {
      if (self->mLost) {
        return;
      }
      if (aResult == OrderResult::Fenced) {
        self->Lose("fenced");
        return;
      }
      dispatch::StartResult result = dispatch::StartResult::Refused;
      if (aResult == OrderResult::Done) {
        result = dispatch::StartResult::Started;
      } else if (aResult == OrderResult::Unhealthy) {
        result = dispatch::StartResult::Unhealthy;
      } else if (aResult == OrderResult::Unknown) {
        result = dispatch::StartResult::Unknown;
      }
      const MonotonicTime now = self->mContext.Now();
      if (result != dispatch::StartResult::Started) {
        self->Log(LogLevel::Info,
                  "start_not_done",
                  "job=" + name.mJob + " task=" + text +
                    " run=" + std::to_string(run) +
                    " runner=" + self->mCore.mRunners[index].mSpec.mId +
                    " result=" + std::to_string(static_cast<int>(aResult)));
      }
      self->mContext.mMetrics->Observe(
        "start_answer", std::chrono::duration_cast<Micros>(now - sentAt));
      dispatch::Actions actions;
      dispatch::HandleStartResult(
        self->mCore, index, name, run, result, now, actions);
      self->Perform(actions);
    });
  // Its end must be seen at once. A renewal that is out already was sent
  // without it, and returns within its wait.
  RunnerLink& link = LinkOf(aStart.mRunner);
  if (!link.mInFlight) {
    link.mNextAt = sentAt;
  }
}

void
ShardHost::State::PerformStop(const dispatch::StopTask& aStop)
{
  auto self = shared_from_this();
  mContext.mRunners.mStop(
    TargetOf(aStop.mRunner),
    { dispatch::FormatTaskName(aStop.mTask), aStop.mRun, mCore.mEpoch, 0 },
    [self, aStop](OrderResult aResult) {
      if (self->mLost) {
        return;
      }
      if (aResult == OrderResult::Fenced) {
        self->Lose("fenced");
        return;
      }
      if (aResult != OrderResult::Done) {
        return; // It is repeated until the run's end is known.
      }
      dispatch::HandleStopAnswered(self->mCore,
                                   aStop.mRunner,
                                   aStop.mTask,
                                   aStop.mRun,
                                   self->mContext.Now());
      RunnerLink& link = self->LinkOf(aStop.mRunner);
      link.mKick = true;
      if (!link.mInFlight) {
        link.mNextAt = self->mContext.Now();
      }
    });
}

void
ShardHost::State::PerformPace(const dispatch::PaceTask& aPace)
{
  auto self = shared_from_this();
  mContext.mRunners.mPace(
    TargetOf(aPace.mRunner),
    { dispatch::FormatTaskName(aPace.mTask),
      aPace.mRun,
      mCore.mEpoch,
      aPace.mPercent },
    [self, aPace](OrderResult aResult) {
      if (!self->mLost && aResult != OrderResult::Done) {
        dispatch::HandlePaceUnconfirmed(self->mCore, aPace.mTask, aPace.mRun);
        self->Log(LogLevel::Info,
                  "pace_not_done",
                  "task=" + dispatch::FormatTaskName(aPace.mTask) +
                    " result=" + std::to_string(static_cast<int>(aResult)));
      }
    });
}

} // namespace paddle
