#include <LibDispatch/Internal.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include <LibDispatch/AccountBudget.h>
#include <LibDispatch/FencingTokens.h>

namespace paddle::dispatch {

namespace {

/// Time for which a runner counts as listed after service discovery has dropped
/// it. If the entries of runners expire while the store is unavailable, they
/// are listed again two seconds after its return; runners that are missing for
/// longer have left.
constexpr Millis kUnlistedGrace{ 2500 };

/// Time after which a start order counts half as much for the contact with a
/// data centre. It is about that of one attempt without an answer (0.9 s).
constexpr Millis kContactHalfLife{ 1000 };
/// Number of start orders from which on a data centre counts as hard to reach,
/// or as answering: a single one counts for a second.
constexpr double kMinStarts = 0.5;
/// Tasks whose start got no answer, and long-running ones, avoid the data
/// centre for this time. The run may be given up only when its lease has ended,
/// 6.3 s after the order, and a later renewal of the shard is stored, which
/// takes 2 s at most; at a restarted runner, when it has answered to its new
/// token, or a report shows that the order can't be carried out any more, after
/// 13 s.
constexpr Seconds kContactMemory{ 15 };

/// @return the numbers as they count at @p aNow
StartContact
DecayedContact(const StartContact& aContact, MonotonicTime aNow)
{
  const std::chrono::duration<double> age = aNow - aContact.mUpdatedAt;
  const std::chrono::duration<double> halfLife = kContactHalfLife;
  const double weight = std::exp2(-std::max(0.0, age / halfLife));
  return { aContact.mAnswered * weight,
           aContact.mUnanswered * weight,
           aNow,
           aContact.mRememberedUntil };
}

/// Adds a runner that is not listed yet.
/// @return its index
RunnerIndex
AddRunner(Dispatcher& aDispatcher, const RunnerSpec& aSpec, MonotonicTime aNow)
{
  const auto index = static_cast<RunnerIndex>(aDispatcher.mRunners.size());
  Runner& runner = aDispatcher.mRunners.emplace_back();
  runner.mSpec = aSpec;
  runner.mLeasesExpireAt = aNow;
  aDispatcher.mRunnerById.emplace(aSpec.mId, index);
  return index;
}

/// Share of their reserved processors that long-running tasks use on average.
/// Best-effort tasks may use the rest.
constexpr double kLongRunningUseShare = 0.5;

} // namespace

void
CountStartContact(Dispatcher& aDispatcher,
                  const Runner& aRunner,
                  StartResult aResult,
                  MonotonicTime aNow)
{
  StartContact& contact = aDispatcher.mStartContacts[aRunner.mSpec.mDataCentre];
  contact = DecayedContact(contact, aNow);
  if (aResult != StartResult::NotSent && aResult != StartResult::Unknown) {
    contact.mAnswered += 1;
    contact.mRememberedUntil = {};
    return;
  }
  contact.mUnanswered += 1;
  if (contact.mUnanswered > contact.mAnswered) {
    contact.mRememberedUntil = aNow + kContactMemory;
  }
}

StartReach
ReachOf(const StartContact& aContact, MonotonicTime aNow)
{
  const StartContact contact = DecayedContact(aContact, aNow);
  if (contact.mUnanswered >= kMinStarts &&
      contact.mUnanswered > contact.mAnswered) {
    return StartReach::HardToReach;
  }
  if (aNow < contact.mRememberedUntil) {
    return StartReach::LatelyUnanswered;
  }
  return contact.mAnswered >= kMinStarts ? StartReach::Answered
                                         : StartReach::Unproven;
}

std::int64_t
UnusedMilliCores(const Runner& aRunner)
{
  const auto idle = static_cast<std::int64_t>(
    static_cast<double>(aRunner.mLongRunningMilliCores) *
    (1 - kLongRunningUseShare));
  return aRunner.mSpec.mCapacity.mMilliCores - aRunner.mReserved.mMilliCores +
         idle - aRunner.mBestEffortMilliCores +
         aRunner.mOvercommittedMilliCores;
}

void
UpdateLeaseExpiry(Dispatcher& aDispatcher, Runner& aRunner)
{
  const DispatchSettings& settings = aDispatcher.mSettings;
  const Millis left(
    std::max<std::int64_t>(0, aRunner.mHighestLeaseMs - aRunner.mClockMs));
  aRunner.mLeasesExpireAt = aRunner.mClockReadAt +
                            LongestDuration(settings, left) +
                            settings.mLeaseExpiryMargin;
}

void
ResetRunner(Dispatcher& aDispatcher,
            RunnerIndex aRunner,
            std::int64_t aIncarnation,
            MonotonicTime aNow,
            Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  RaiseToken(runner, aNow);
  // A start order that the former process did not answer may still reach the
  // new process, which would carry it out. Its run is therefore stopped first.
  // An order that was answered may have been carried out by the new process as
  // well, unless the former process has reported the run. The next report of
  // the new process decides whether the run goes on.
  std::vector<TaskRef> unanswered;
  bool mayRun = false;
  for (const TaskRef& ref : std::vector<TaskRef>(runner.mTasks)) {
    Task& task = TaskOf(ref);
    task.mStartLeaseEndMs = 0; // On the former process's clock.
    // The former process knew of the stop, the new one doesn't.
    task.mStopAnsweredAt.reset();
    const bool startUnanswered =
      task.mPhase == TaskPhase::Starting ||
      (task.mPhase == TaskPhase::Stopping &&
       task.mStopCause == StopCause::StartUnanswered);
    if (startUnanswered) {
      unanswered.push_back(ref);
      continue;
    }
    if (!task.mReported) {
      mayRun = true;
      continue;
    }
    ++aDispatcher.mCounters.mLost;
    EndRun(aDispatcher, ref, RunOutcome::Interrupted, 0, {}, aNow, aActions);
  }
  runner.mOrphans.clear();
  runner.mRecordNotAdopted = false;
  runner.mUnstoredEnds.clear();
  aDispatcher.mUnattributedEndCount -= runner.mUnattributedEnds.size();
  runner.mUnattributedEnds.clear();
  runner.mHighestAppliedEnd = 0;
  runner.mHighestStoredEnd = 0;
  runner.mClockMs = 0;
  runner.mClockRequestedAt = {};
  runner.mHighestLeaseMs = 0;
  if (unanswered.empty() && !mayRun) {
    runner.mLeasesExpireAt = aNow;
  }
  runner.mEndsAwaited = false;
  runner.mConsecutiveFailures = 0;
  runner.mDistinctFailedJobs = 0;
  runner.mQuarantines = 0;
  runner.mOnProbation = false;
  runner.mSpec.mIncarnation = aIncarnation;
  runner.mSpecOutdated = true;
  runner.mPhase = RunnerPhase::AwaitingReport;
  for (const TaskRef& ref : unanswered) {
    BeginStop(aDispatcher, ref, StopCause::StartUnanswered, aNow, aActions);
  }
  Emit(aDispatcher,
       "runner_restarted",
       nullptr,
       "runner=" + runner.mSpec.mId +
         " incarnation=" + std::to_string(aIncarnation) +
         " token=" + std::to_string(FencingTokenFor(aDispatcher, aRunner)) +
         " unanswered_starts=" + std::to_string(unanswered.size()));
}

void
SetRunners(Dispatcher& aDispatcher,
           std::span<const RunnerSpec> aRunners,
           MonotonicTime aNow,
           Actions& aActions)
{
  aDispatcher.mListedRunnerCount = static_cast<std::uint32_t>(aRunners.size());
  for (Runner& runner : aDispatcher.mRunners) {
    if (runner.mListed) {
      runner.mListed = false;
      runner.mUnlistedSince = aNow;
    }
  }
  for (const RunnerSpec& spec : aRunners) {
    const auto found = aDispatcher.mRunnerById.find(spec.mId);
    if (found == aDispatcher.mRunnerById.end()) {
      aDispatcher.mRunners[AddRunner(aDispatcher, spec, aNow)].mListed = true;
      aDispatcher.mPlacementDue = true;
      Emit(aDispatcher,
           "runner_listed",
           nullptr,
           "runner=" + spec.mId + " zone=" + spec.mDataCentre +
             " rack=" + spec.mRack + " address=" + spec.mAddress);
      continue;
    }
    Runner& runner = aDispatcher.mRunners[found->second];
    if (spec.mIncarnation < runner.mSpec.mIncarnation) {
      runner.mListed = true;
      continue;
    }
    if (spec.mIncarnation > runner.mSpec.mIncarnation) {
      ResetRunner(
        aDispatcher, found->second, spec.mIncarnation, aNow, aActions);
    }
    if (spec.mDraining && !runner.mSpec.mDraining) {
      Emit(aDispatcher, "runner_draining", nullptr, "runner=" + spec.mId);
    }
    runner.mSpec = spec;
    runner.mSpecOutdated = false;
    runner.mListed = true;
  }
  for (const Runner& runner : aDispatcher.mRunners) {
    if (!runner.mListed && runner.mUnlistedSince == aNow) {
      Emit(aDispatcher,
           "runner_unlisted",
           nullptr,
           "runner=" + runner.mSpec.mId +
             " tasks=" + std::to_string(runner.mTasks.size()) +
             " silent=" + (runner.mSilent ? "1" : "0") +
             " recorded=" + (runner.mRecordStored ? "1" : "0"));
    }
  }
}

void
AddInheritedRunner(Dispatcher& aDispatcher,
                   const InheritedRunner& aRunner,
                   MonotonicTime aNow)
{
  if (aDispatcher.mRunnerById.contains(aRunner.mSpec.mId)) {
    return;
  }
  Runner& runner =
    aDispatcher.mRunners[AddRunner(aDispatcher, aRunner.mSpec, aNow)];
  runner.mInherited = true;
  runner.mPossibleRuns = aRunner.mPossibleRuns;
  runner.mRecordFinal = aRunner.mRecordFinal;
  runner.mRecordedLeasesExpireAt = aRunner.mLeasesExpireAt;
  // No lease is granted while the stored list states the end of the leases.
  runner.mRecordStored =
    aRunner.mPossibleRuns.has_value() || aRunner.mLeasesExpireAt.has_value();
}

void
AdoptRecordedRuns(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  for (RunnerIndex index = 0; index < aDispatcher.mRunners.size(); ++index) {
    Runner& runner = aDispatcher.mRunners[index];
    if (!runner.mPossibleRuns || !runner.mInherited) {
      continue;
    }
    const std::vector<PossibleRun> runs = std::move(*runner.mPossibleRuns);
    runner.mPossibleRuns.reset();
    runner.mInherited = false;
    for (const PossibleRun& run : runs) {
      const TaskRef ref = FindTask(aDispatcher, run.mTask);
      const bool adopted = ref.mJob != nullptr &&
                           AdoptRun(aDispatcher, index, ref, run.mRun, aNow);
      if (adopted && runner.mRecordFinal) {
        MarkSeen(ref);
      }
      runner.mRecordNotAdopted = runner.mRecordNotAdopted || !adopted;
    }
    Emit(aDispatcher,
         "record_adopted",
         nullptr,
         "runner=" + runner.mSpec.mId +
           " recorded=" + std::to_string(runs.size()) +
           " adopted=" + std::to_string(runner.mTasks.size()));
    runner.mSilent = true;
    // The next list keeps the record until the runner answers.
    runner.mSilentSince = aNow - aDispatcher.mSettings.mSilenceBeforeRecord;
    runner.mRecordedRunCount = runner.mTasks.size();
    runner.mPhase =
      runner.mTasks.empty() ? RunnerPhase::LeaseExpired : RunnerPhase::Live;
    // The earlier owner has granted no lease since it began to write the
    // record, and it can't remove the record any more. The leases therefore end
    // one longest lease from now at the latest.
    const DispatchSettings& settings = aDispatcher.mSettings;
    const MonotonicTime latest = aNow +
                                 LongestDuration(settings, settings.mMaxLease) +
                                 settings.mLeaseExpiryMargin;
    runner.mLeasesExpireAt =
      std::min(latest, runner.mRecordedLeasesExpireAt.value_or(latest));
  }
}

void
HandleReplaced(Dispatcher& aDispatcher,
               RunnerIndex aRunner,
               MonotonicTime aNow,
               Actions& aActions)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  if (runner.mPhase == RunnerPhase::LeaseExpired) {
    return;
  }
  Emit(aDispatcher,
       "runner_replaced",
       nullptr,
       "runner=" + runner.mSpec.mId +
         " tasks=" + std::to_string(runner.mTasks.size()));
  runner.mPhase = RunnerPhase::LeaseExpired;
  runner.mInherited = false;
  runner.mEndsAwaited = false;
  runner.mPossibleRuns.reset();
  runner.mRecordNotAdopted = false;
  EndAllRuns(aDispatcher, runner, aNow, aActions);
  aDispatcher.mPlacementDue = true;
}

MonotonicTime
EarlierLeasesEnd(const Dispatcher& aDispatcher, RunnerIndex aRunner)
{
  const Runner& runner = aDispatcher.mRunners[aRunner];
  const MonotonicTime latest = aDispatcher.mEarlierLeasesUntil;
  return std::max(
    std::min(latest, runner.mRecordedLeasesExpireAt.value_or(latest)),
    runner.mExtendedLeasesExpireAt.value_or(MonotonicTime{}));
}

Millis
LongestEarlierLease(const Dispatcher& aDispatcher,
                    const Runner& aRunner,
                    MonotonicTime aNow)
{
  const DispatchSettings& settings = aDispatcher.mSettings;
  // A late order to the former process of a restarted runner counts from its
  // arrival.
  if (aDispatcher.mEarlierOrdinaryLeasesUntil == MonotonicTime{} ||
      aRunner.mRestartSeenAt > MonotonicTime{}) {
    return settings.mMaxLease;
  }
  const MonotonicTime end =
    std::max(aDispatcher.mEarlierOrdinaryLeasesUntil,
             aRunner.mExtendedLeasesExpireAt.value_or(MonotonicTime{}));
  // An isolated owner may have granted short leases until this answer.
  const Millis shortest =
    std::max(LongestGrant(settings), settings.mIsolatedLease);
  return std::min(settings.mMaxLease,
                  std::max(shortest, std::chrono::ceil<Millis>(end - aNow)));
}

bool
ShouldStoreRecord(const Dispatcher& aDispatcher,
                  RunnerIndex aRunner,
                  MonotonicTime aNow)
{
  const Runner& runner = aDispatcher.mRunners[aRunner];
  return runner.mPhase == RunnerPhase::LeaseExpired ||
         (runner.mPhase == RunnerPhase::Live && runner.mSilent &&
          aNow - runner.mSilentSince >=
            aDispatcher.mSettings.mSilenceBeforeRecord);
}

bool
HasLeft(const Dispatcher& aDispatcher, RunnerIndex aRunner)
{
  const Runner& runner = aDispatcher.mRunners[aRunner];
  return !runner.mListed && runner.mPhase != RunnerPhase::AwaitingReport &&
         runner.mTasks.empty() && runner.mOrphans.empty() &&
         runner.mUnstoredEnds.empty();
}

bool
TasksAreOnlyHere(const Dispatcher& aDispatcher, RunnerIndex aRunner)
{
  const std::vector<TaskRef>& tasks = aDispatcher.mRunners[aRunner].mTasks;
  return std::none_of(tasks.begin(), tasks.end(), [&](const TaskRef& aTask) {
    return MayRunUnseen(aDispatcher, TaskOf(aTask));
  });
}

MonotonicTime
MajorityContactAt(const Dispatcher& aDispatcher,
                  std::span<const RunnerProcess> aRunners)
{
  std::vector<MonotonicTime> contacts;
  contacts.reserve(aRunners.size());
  for (const RunnerProcess& listed : aRunners) {
    const auto found = aDispatcher.mRunnerById.find(listed.mId);
    if (found == aDispatcher.mRunnerById.end()) {
      continue;
    }
    const Runner& runner = aDispatcher.mRunners[found->second];
    if (runner.mSpec.mIncarnation == listed.mIncarnation) {
      contacts.push_back(runner.mClockRequestedAt);
    }
  }
  const std::size_t majority = aRunners.size() / 2 + 1;
  if (contacts.size() < majority) {
    return {};
  }
  const auto position =
    contacts.begin() + static_cast<std::ptrdiff_t>(majority - 1);
  std::nth_element(contacts.begin(), position, contacts.end(), std::greater());
  return *position;
}

Millis
LongestDuration(const DispatchSettings& aSettings, Millis aLease)
{
  return Millis(static_cast<Millis::rep>(static_cast<double>(aLease.count()) *
                                         aSettings.mClockDriftFactor));
}

Millis
LongestGrant(const DispatchSettings& aSettings)
{
  return std::min(aSettings.mMaxLease, aSettings.mLongestGrantedLease);
}

std::vector<PossibleRun>
PossibleRuns(const Dispatcher& aDispatcher, RunnerIndex aRunner)
{
  std::vector<PossibleRun> runs;
  for (const TaskRef& ref : aDispatcher.mRunners[aRunner].mTasks) {
    runs.push_back({ NameOf(ref), TaskOf(ref).mRun });
  }
  return runs;
}

bool
WasRecentlyListed(const Runner& aRunner, MonotonicTime aNow)
{
  return aRunner.mListed || aNow - aRunner.mUnlistedSince < kUnlistedGrace;
}

void
SetQueues(Dispatcher& aDispatcher, std::span<const QueueSpec> aQueues)
{
  aDispatcher.mQueues.clear();
  for (const QueueSpec& queue : aQueues) {
    aDispatcher.mQueues.emplace(queue.mName, queue);
  }
  aDispatcher.mAttemptsUnchecked = true;
  // The order of the waiting steps depends on the priorities of the queues.
  aDispatcher.mWaitingSteps.clear();
  for (const auto& [id, job] : aDispatcher.mJobs) {
    for (const auto& [number, occurrence] : job->mOccurrences) {
      for (std::uint32_t i = 0; i < occurrence.mSteps.size(); ++i) {
        UpdateWaiting(aDispatcher, *job, number, i);
      }
    }
  }
}

void
SetAccounts(Dispatcher& aDispatcher, std::span<const AccountSpec> aAccounts)
{
  aDispatcher.mAccounts.clear();
  for (const AccountSpec& account : aAccounts) {
    aDispatcher.mAccounts.emplace(account.mName, account);
  }
  UpdateBudgets(aDispatcher);
  aDispatcher.mPlacementDue = true;
}

void
SetEvacuatedDataCentres(Dispatcher& aDispatcher,
                        std::span<const std::string> aDataCentres)
{
  aDispatcher.mEvacuatedDataCentres.clear();
  aDispatcher.mEvacuatedDataCentres.insert(aDataCentres.begin(),
                                           aDataCentres.end());
  aDispatcher.mPlacementDue = true;
}

void
UpdateRunnerHealth(Dispatcher& aDispatcher,
                   Runner& aRunner,
                   std::string_view aJob,
                   RunOutcome aOutcome,
                   MonotonicTime aNow)
{
  const DispatchSettings& settings = aDispatcher.mSettings;
  if (aOutcome == RunOutcome::Done) {
    aRunner.mConsecutiveFailures = 0;
    aRunner.mDistinctFailedJobs = 0;
    aRunner.mLastFailedJob.clear();
    aRunner.mOnProbation = false;
    aRunner.mQuarantines = 0;
    return;
  }
  ++aRunner.mConsecutiveFailures;
  if (aRunner.mLastFailedJob != aJob) {
    aRunner.mLastFailedJob = aJob;
    ++aRunner.mDistinctFailedJobs;
  }
  // If all failures are of one job, the cause may be the job itself.
  const bool bad = aRunner.mOnProbation || (aRunner.mConsecutiveFailures >=
                                              settings.mFailuresToQuarantine &&
                                            aRunner.mDistinctFailedJobs >= 2);
  // Tasks that started before a quarantine and fail during it say nothing new
  // about the runner.
  const bool known = aRunner.mOnProbation && aNow < aRunner.mAvoidUntil;
  if (!bad || known) {
    return;
  }
  aRunner.mQuarantinedAt = aNow;
  const Millis pause = std::min(settings.mMaxQuarantine,
                                settings.mFirstQuarantine *
                                  (1 << std::min(aRunner.mQuarantines, 4U)));
  if (aRunner.mAvoidUntil < aNow + pause) {
    aRunner.mAvoidUntil = aNow + pause;
  }
  ++aRunner.mQuarantines;
  aRunner.mOnProbation = true;
  ++aDispatcher.mCounters.mQuarantines;
  Emit(aDispatcher,
       "runner_quarantined",
       nullptr,
       "runner=" + aRunner.mSpec.mId +
         " failures=" + std::to_string(aRunner.mConsecutiveFailures) +
         " pause_ms=" + std::to_string(pause.count()));
}

void
HandleNoReport(Dispatcher& aDispatcher, RunnerIndex aRunner, MonotonicTime aNow)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  if (!runner.mSilent) {
    runner.mSilent = true;
    runner.mSilentSince = aNow;
  }
}

RenewalPlan
PlanRenewal(Dispatcher& aDispatcher, RunnerIndex aRunner, MonotonicTime aNow)
{
  Runner& runner = aDispatcher.mRunners[aRunner];
  const DispatchSettings& settings = aDispatcher.mSettings;
  RenewalPlan plan;
  plan.mFencingToken = FencingTokenFor(aDispatcher, aRunner);
  runner.mRenewalToken = plan.mFencingToken;
  plan.mAcknowledgedEnd = runner.mHighestStoredEnd;
  const bool mayHaveRuns = !runner.mTasks.empty() || !runner.mOrphans.empty();
  // A runner with a record is granted no lease until the record is removed, and
  // a new process takes orders to the former one until it has answered, so
  // their answers are needed at once.
  if (mayHaveRuns && !runner.mRecordStored && !runner.mTakesFormerOrders) {
    const OrderLimit& limit = aDispatcher.mOrderLimit;
    plan.mLongPollTimeout =
      runner.mLongRunningTasks > 0 && runner.mBestEffortMilliCores > 0
        ? Stretched(limit, settings.mLongPollBesideServing, settings.mLongPoll)
        : Stretched(limit, settings.mLongPoll, settings.mLongestPoll);
    if (!runner.mUnstoredEnds.empty() || !runner.mOrphans.empty()) {
      // A runner answers immediately while it has ends that are not
      // acknowledged, and would report them again and again.
      plan.mLongPollTimeout =
        std::min(plan.mLongPollTimeout, settings.mLongPollBesideServing);
    }
    if (aDispatcher.mFrequentContact) {
      plan.mLongPollTimeout =
        std::min(plan.mLongPollTimeout, settings.mLongPollBesideServing);
    }
  }
  const bool clockKnown =
    runner.mPhase == RunnerPhase::Live && runner.mClockMs > 0;
  // Runs that this owner doesn't know are being stopped. Their leases are not
  // extended, so that they end even if no stop order arrives.
  if (clockKnown && !runner.mTasks.empty() && !runner.mSilent &&
      !runner.mRecordStored && GrantableLease(aDispatcher, aNow).count() > 0) {
    plan.mLeaseEndMs = GrantLease(aDispatcher, runner, aNow);
  }
  return plan;
}

Millis
GrantableLease(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  const DispatchSettings& settings = aDispatcher.mSettings;
  const auto left = std::chrono::floor<Millis>(aDispatcher.mLeaseLimit - aNow);
  const Millis longest = LongestGrant(settings);
  if (left >= LongestDuration(settings, longest)) {
    return longest;
  }
  return std::max(
    Millis(0),
    Millis(static_cast<Millis::rep>(static_cast<double>(left.count()) /
                                    settings.mClockDriftFactor)));
}

std::int64_t
GrantLease(Dispatcher& aDispatcher, Runner& aRunner, MonotonicTime aNow)
{
  // The estimate of the runner's clock assumes the slowest clock that is
  // allowed, so that no lease is longer than the longest one.
  const auto since = std::chrono::duration_cast<Millis>(
    aNow - std::max(aRunner.mClockReadAt, MonotonicTime{}));
  const auto elapsed =
    static_cast<std::int64_t>(static_cast<double>(since.count()) /
                              aDispatcher.mSettings.mClockDriftFactor);
  const std::int64_t end =
    aRunner.mClockMs + elapsed + GrantableLease(aDispatcher, aNow).count();
  aRunner.mHighestLeaseMs = std::max(aRunner.mHighestLeaseMs, end);
  UpdateLeaseExpiry(aDispatcher, aRunner);
  return end;
}

Millis
StartWait(const Dispatcher& aDispatcher)
{
  std::uint64_t waiting = 0;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    // Load control does not keep tasks back that wait for their budget.
    waiting += MayStartNext(entry) ? StepOf(entry).mWaitingTasks : 0;
  }
  return StartWait(aDispatcher.mOrderLimit, waiting);
}

ShardCapacity
AvailableCapacity(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  ShardCapacity capacity;
  for (const Runner& runner : aDispatcher.mRunners) {
    if (runner.mPhase != RunnerPhase::Live || runner.mSpec.mDraining ||
        !WasRecentlyListed(runner, aNow) ||
        aDispatcher.mEvacuatedDataCentres.contains(runner.mSpec.mDataCentre)) {
      continue;
    }
    const std::int64_t free =
      runner.mSpec.mCapacity.mMilliCores - runner.mReserved.mMilliCores;
    capacity.mTotalMilliCores += runner.mSpec.mCapacity.mMilliCores;
    capacity.mReservedMemoryMb += runner.mReserved.mMemoryMb;
    capacity.mTotalMemoryMb += runner.mSpec.mCapacity.mMemoryMb;
    capacity.mFreeMilliCores += std::max<std::int64_t>(0, free);
    capacity.mBestEffortMilliCores +=
      std::max<std::int64_t>(0, UnusedMilliCores(runner));
  }
  return capacity;
}

} // namespace paddle::dispatch
