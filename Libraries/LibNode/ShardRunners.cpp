#include <LibDispatch/FencingTokens.h>
#include <LibNode/ShardState.h>
#include <LibTime/BootClock.h>

#include <algorithm>

namespace paddle {

namespace {

/// Delay before the renewal of a runner that did not answer is repeated. It
/// doubles with each failure up to kLongestBackOff.
constexpr Millis kFirstBackOff{ 100 };
constexpr Millis kLongestBackOff{ 800 };
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

RunnerRenewal&
ShardOwner::State::RenewalOf(dispatch::RunnerIndex aRunner)
{
  if (mRenewals.size() <= aRunner) {
    mRenewals.resize(aRunner + 1);
  }
  return mRenewals[aRunner];
}

void
ShardOwner::State::ApplyRunners()
{
  if (mStage != ShardStage::Serving || !mShardRunnersRead) {
    return;
  }
  std::vector<dispatch::RunnerSpec> storedRunners;
  mAnyListedNotStored = false;
  for (const dispatch::RunnerSpec& runner : mShardRunners) {
    if (mStoredRunners.contains(runner.mId) &&
        !mRunnersBeingDropped.contains(runner.mId)) {
      storedRunners.push_back(runner);
    } else {
      mAnyListedNotStored = true;
    }
  }
  dispatch::Actions actions;
  dispatch::SetRunners(mDispatcher, storedRunners, mContext.Now(), actions);
  PerformActions(actions);
  if (mAnyListedNotStored) {
    StoreRunners();
  }
}

void
ShardOwner::State::Renew(dispatch::RunnerIndex aRunner, MonotonicTime aNow)
{
  RunnerRenewal& renewal = RenewalOf(aRunner);
  renewal.mInFlight = true;
  renewal.mRenewAgain = false;
  renewal.mSentAt = aNow;
  const dispatch::RenewalPlan plan =
    dispatch::PlanRenewal(mDispatcher, aRunner, aNow);
  const RenewalOrder order{ plan.mFencingToken,
                            plan.mAcknowledgedEnd,
                            plan.mLeaseEndMs,
                            plan.mLongPollTimeout,
                            mDispatcher.mRunners[aRunner].mSpec.mIncarnation };
  auto self = shared_from_this();
  RunnerTarget target = TargetOf(aRunner);
  mContext.mRunners.mRenew(
    target,
    order,
    [self,
     aRunner,
     aNow,
     address = target.mAddress,
     token = plan.mFencingToken,
     longPollTimeout = plan.mLongPollTimeout](const RenewalOutcome& aOutcome) {
      if (self->mOwnershipLost) {
        return;
      }
      // The runner itself may have a new process at another address by now.
      if (aOutcome.mResult == RunnerResult::WrongRunner &&
          self->TargetOf(aRunner).mAddress == address) {
        self->HandleReplaced(aRunner);
      }
      if (aOutcome.mResult == RunnerResult::Fenced) {
        self->HandleFenced(aRunner, token, "renew");
        if (self->mOwnershipLost) {
          return;
        }
      }
      self->HandleRenewal(aRunner, aOutcome, aNow, longPollTimeout);
    });
}

void
ShardOwner::State::HandleReplaced(dispatch::RunnerIndex aRunner)
{
  const MonotonicTime now = mContext.Now();
  dispatch::Actions actions;
  dispatch::HandleReplaced(mDispatcher, aRunner, now, actions);
  PerformActions(actions);
  // It can't answer an earlier owner any more.
  CountFencedRunner(aRunner, INT64_MAX, now);
}

bool
ShardOwner::State::AwaitsToken(dispatch::RunnerIndex aRunner) const
{
  const dispatch::Runner& runner = mDispatcher.mRunners[aRunner];
  return runner.mTakesFormerOrders &&
         runner.mRenewalToken < dispatch::FencingTokenFor(mDispatcher, aRunner);
}

void
ShardOwner::State::HandleFenced(dispatch::RunnerIndex aRunner,
                                std::int64_t aToken,
                                std::string_view aOrder)
{
  if (aToken == dispatch::FencingTokenFor(mDispatcher, aRunner)) {
    LoseOwnership("fenced");
    return;
  }
  // The order was sent before this owner learned of the runner's new process,
  // which has seen a higher token since.
  Log(LogLevel::Info,
      "order_outdated",
      "order=" + std::string(aOrder) +
        " runner=" + mDispatcher.mRunners[aRunner].mSpec.mId +
        " token=" + std::to_string(aToken));
}

void
ShardOwner::State::HandleRenewal(dispatch::RunnerIndex aRunner,
                                 const RenewalOutcome& aOutcome,
                                 MonotonicTime aSentAt,
                                 Millis aLongPollTimeout)
{
  const MonotonicTime now = mContext.Now();
  RunnerRenewal& renewal = RenewalOf(aRunner);
  renewal.mInFlight = false;
  if (aOutcome.mResult != RunnerResult::Done) {
    if (renewal.mBackOff == Millis(0) &&
        !mDispatcher.mRunners[aRunner].mTasks.empty()) {
      Log(LogLevel::Info,
          "runner_silent",
          "runner=" + mDispatcher.mRunners[aRunner].mSpec.mId + " result=" +
            std::string(NameOf(aOutcome.mResult)) + " sent_ms_ago=" +
            std::to_string(
              std::chrono::duration_cast<Millis>(now - aSentAt).count()));
    }
    dispatch::HandleNoReport(mDispatcher, aRunner, now);
    renewal.mBackOff =
      std::clamp(renewal.mBackOff * 2, kFirstBackOff, kLongestBackOff);
    renewal.mNextRenewalAt = now + renewal.mBackOff;
    return;
  }
  renewal.mBackOff = Millis(0);
  renewal.mAnswered = true;
  CountFencedRunner(aRunner, aOutcome.mReport.mIncarnation, now);
  if (mStage != ShardStage::Serving) {
    // By answering, the runner shows that it rejects the earlier owner's
    // orders from now on. Its report is read again once the jobs are known.
    renewal.mNextRenewalAt = now;
    if (mStage == ShardStage::Fencing &&
        std::all_of(
          mRenewals.begin(),
          mRenewals.end(),
          [](const RunnerRenewal& aRenewal) { return aRenewal.mAnswered; })) {
      mFencingEndsAt = now;
    }
    return;
  }
  dispatch::Actions actions;
  const std::int64_t processed =
    mDispatcher.mRunners[aRunner].mHighestAppliedEnd;
  dispatch::HandleReport(
    mDispatcher, aRunner, aOutcome.mReport, aSentAt, now, actions);
  const bool newEnds =
    mDispatcher.mRunners[aRunner].mHighestAppliedEnd != processed;
  if (MayCommandRunners(now)) {
    Place(now, actions);
  }
  PerformActions(actions);
  if (mDispatcher.mCommitUrgent) {
    BeginCommit(now);
  }
  const dispatch::Runner& runner = mDispatcher.mRunners[aRunner];
  if (AwaitsToken(aRunner)) {
    // The answer has told of a new process, which rejects late orders to the
    // former one only after the next renewal.
    renewal.mNextRenewalAt = now;
    if (MayCommandRunners(now)) {
      Renew(aRunner, now);
    }
    return;
  }
  const bool mayRunTasks = !runner.mTasks.empty() || !runner.mOrphans.empty();
  if (!mayRunTasks && runner.mUnstoredEnds.empty()) {
    renewal.mNextRenewalAt =
      now +
      (mDispatcher.mFrequentContact
         ? mContext.mSettings.mFrequentPollInterval
         : dispatch::Stretched(mDispatcher.mOrderLimit,
                               mDispatcher.mSettings.mIdlePollInterval,
                               mDispatcher.mSettings.mLongestIdlePollInterval));
    return;
  }
  if (!runner.mUnstoredEnds.empty()) {
    renewal.mAwaitsCommit = true;
    renewal.mNextRenewalAt = now + kCommitWait;
    return;
  }
  renewal.mAwaitsCommit = false;
  // A renewal of a runner without tasks is answered at once.
  const bool early = !mayRunTasks || now - aSentAt < aLongPollTimeout / 2;
  renewal.mNextRenewalAt =
    early && !newEnds && !renewal.mRenewAgain ? now + kEarlyAnswerDelay : now;
  if (renewal.mNextRenewalAt <= now && MayCommandRunners(now)) {
    Renew(aRunner, now);
  }
}

void
ShardOwner::State::Place(MonotonicTime aNow, dispatch::Actions& aActions)
{
  const MonotonicTime begin = mContext.Now();
  dispatch::PlaceWaiting(mDispatcher, aNow, aActions);
  PauseAfterPass(begin);
}

void
ShardOwner::State::PauseAfterPass(MonotonicTime aBegan)
{
  const MonotonicTime now = mContext.Now();
  mPlacingTime += std::chrono::duration_cast<Micros>(now - aBegan);
  mDispatcher.mPassesPausedUntil =
    std::max(mDispatcher.mPassesPausedUntil,
             now + dispatch::PauseAfterPass(
                     std::chrono::duration_cast<Micros>(now - aBegan)));
}

void
ShardOwner::State::RenewAfterCommit(MonotonicTime aNow)
{
  for (dispatch::RunnerIndex i = 0; i < mRenewals.size(); ++i) {
    if (mRenewals[i].mAwaitsCommit &&
        mDispatcher.mRunners[i].mUnstoredEnds.empty()) {
      mRenewals[i].mAwaitsCommit = false;
      mRenewals[i].mNextRenewalAt = aNow;
      if (!mRenewals[i].mInFlight && MayCommandRunners(aNow)) {
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
      PerformPace(*pace);
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
  const std::int64_t token =
    dispatch::FencingTokenFor(mDispatcher, aStart.mRunner);
  StartOrder order{ text,
                    aStart.mRun,
                    ref.mJob->mSpec.mPayload,
                    aStart.mLeaseEndMs,
                    token,
                    task.mCheckpoint,
                    {} };
  const MonotonicTime sentAt = mContext.Now();
  auto self = shared_from_this();
  auto withdrawn = std::make_shared<bool>(false);
  order.mStillWanted = [self, withdrawn, name, run = aStart.mRun] {
    const MonotonicTime now = self->mContext.Now();
    *withdrawn = !self->MayCommandRunners(now) ||
                 now >= self->mDispatcher.mStartsUntil ||
                 !dispatch::IsStarting(self->mDispatcher, name, run);
    return !*withdrawn;
  };
  mContext.mRunners.mStart(
    TargetOf(aStart.mRunner),
    std::move(order),
    [self,
     withdrawn,
     name,
     text,
     run = aStart.mRun,
     index = aStart.mRunner,
     token,
     sentAt](RunnerResult aResult) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aResult == RunnerResult::Fenced) {
        self->HandleFenced(index, token, "start");
        if (self->mOwnershipLost) {
          return;
        }
      }
      dispatch::StartResult result = dispatch::StartResult::Refused;
      if (aResult == RunnerResult::Done) {
        result = dispatch::StartResult::Started;
      } else if (aResult == RunnerResult::Unhealthy) {
        result = dispatch::StartResult::Unhealthy;
      } else if (aResult == RunnerResult::Unknown) {
        result = dispatch::StartResult::Unknown;
      } else if (aResult == RunnerResult::NotSent) {
        result = *withdrawn ? dispatch::StartResult::Withdrawn
                            : dispatch::StartResult::NotSent;
      }
      const MonotonicTime now = self->mContext.Now();
      if (result != dispatch::StartResult::Started) {
        self->Log(LogLevel::Info,
                  "start_not_done",
                  "job=" + name.mJob + " task=" + text +
                    " run=" + std::to_string(run) + " runner=" +
                    self->mDispatcher.mRunners[index].mSpec.mId + " result=" +
                    std::string(*withdrawn ? "withdrawn" : NameOf(aResult)));
      }
      self->mContext.mMetrics->Observe(
        "start_answer", std::chrono::duration_cast<Micros>(now - sentAt));
      dispatch::Actions actions;
      dispatch::HandleStartResult(
        self->mDispatcher,
        index,
        name,
        run,
        result,
        std::chrono::duration_cast<Millis>(now - sentAt),
        now,
        actions);
      self->PerformActions(actions);
    });
  // The end of the run must be seen at once, so the runner is renewed now. If a
  // renewal is in flight already, its answer comes within its long poll.
  RunnerRenewal& renewal = RenewalOf(aStart.mRunner);
  if (!renewal.mInFlight) {
    renewal.mNextRenewalAt = sentAt;
  }
}

void
ShardOwner::State::PerformStop(const dispatch::StopTask& aStop)
{
  auto self = shared_from_this();
  const std::int64_t token =
    dispatch::FencingTokenFor(mDispatcher, aStop.mRunner);
  mContext.mRunners.mStop(
    TargetOf(aStop.mRunner),
    { dispatch::FormatTaskName(aStop.mTask), aStop.mRun, token, 0 },
    [self, aStop, token](RunnerResult aResult) {
      if (self->mOwnershipLost) {
        return;
      }
      if (aResult == RunnerResult::Fenced) {
        self->HandleFenced(aStop.mRunner, token, "stop");
        return;
      }
      if (aResult != RunnerResult::Done) {
        return; // The dispatcher repeats the stop until the run has ended.
      }
      if (token !=
          dispatch::FencingTokenFor(self->mDispatcher, aStop.mRunner)) {
        return; // A former process has answered, which binds no later one.
      }
      dispatch::HandleStopAnswered(self->mDispatcher,
                                   aStop.mRunner,
                                   aStop.mTask,
                                   aStop.mRun,
                                   self->mContext.Now());
      RunnerRenewal& renewal = self->RenewalOf(aStop.mRunner);
      renewal.mRenewAgain = true;
      if (!renewal.mInFlight) {
        renewal.mNextRenewalAt = self->mContext.Now();
      }
    });
}

void
ShardOwner::State::PerformPace(const dispatch::PaceTask& aPace)
{
  auto self = shared_from_this();
  mContext.mRunners.mSetPace(
    TargetOf(aPace.mRunner),
    { dispatch::FormatTaskName(aPace.mTask),
      aPace.mRun,
      dispatch::FencingTokenFor(mDispatcher, aPace.mRunner),
      aPace.mPacePercent },
    [self, aPace](RunnerResult aResult) {
      if (!self->mOwnershipLost && aResult != RunnerResult::Done) {
        dispatch::HandlePaceUnconfirmed(
          self->mDispatcher, aPace.mTask, aPace.mRun);
        self->Log(LogLevel::Info,
                  "pace_not_done",
                  "task=" + dispatch::FormatTaskName(aPace.mTask) +
                    " result=" + std::string(NameOf(aResult)));
      }
    });
}

} // namespace paddle
