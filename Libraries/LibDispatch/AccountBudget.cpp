#include <LibDispatch/AccountBudget.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace paddle::dispatch {

namespace {

/// Time for which the budget of an interrupted long-running task is kept for
/// it. If it finds no room for longer, other tasks of the account run instead.
constexpr Seconds kBudgetKeptFor{ 10 };
/// A step for which there was no room counts as having none for this long. It
/// can't be tried again while the account has no budget.
constexpr Seconds kNoRoomRemembered{ 5 };
/// Largest number of steps of an account whose demand is stated.
constexpr std::size_t kMaxDemandUnits = 200;
/// Interval of the log events of an account that waits for its budget, and
/// largest number of accounts in each.
constexpr Seconds kWaitsLogInterval{ 1 };
constexpr std::size_t kMaxLoggedAccounts = 20;

bool
HasAny(const Resources& aAmount)
{
  return std::any_of(kResourceMembers.begin(),
                     kResourceMembers.end(),
                     [&](auto aOf) { return aAmount.*aOf > 0; });
}

/// Adds what a number of tasks of a step demand.
void
AddTasks(Resources& aTotal, const StepSpec& aSpec, std::size_t aTasks)
{
  for (const auto of : kResourceMembers) {
    aTotal.*of += static_cast<std::int64_t>(aTasks) * aSpec.mDemand.*of;
  }
}

/// @return what of the budget is taken or spoken for
Resources
CommittedUse(const AccountBudget& aBudget)
{
  Resources committed = CappedUse(*aBudget.mUse);
  committed += aBudget.mAssumed;
  committed += aBudget.mKept;
  return committed;
}

/// @return whether the runner may have runs that no task accounts for
/// @param aUncontested time until which no other owner can have extended leases
bool
MayHaveUnknownRuns(const Runner& aRunner, MonotonicTime aUncontested)
{
  if (aRunner.mPhase == RunnerPhase::AwaitingReport) {
    // A late order of an earlier owner may start a task on a new process.
    return aRunner.mInherited || aRunner.mRestartSeenAt > MonotonicTime{};
  }
  const bool unknown = aRunner.mRecordNotAdopted || !aRunner.mOrphans.empty();
  return unknown &&
         (!aRunner.mSilent || aRunner.mLeasesExpireAt > aUncontested);
}

/// @return the largest capacity of a runner, for those of which it is unknown
Resources
LargestCapacity(const Dispatcher& aDispatcher)
{
  Resources largest;
  for (const Runner& runner : aDispatcher.mRunners) {
    for (const auto of : kResourceMembers) {
      largest.*of = std::max(largest.*of, runner.mSpec.mCapacity.*of);
    }
  }
  return largest;
}

/// Adds what the runs that no task accounts for may take on a runner, for each
/// account with a cap.
void
AddAssumedUse(Dispatcher& aDispatcher,
              const Runner& aRunner,
              const Resources& aCapacity)
{
  // What all known tasks reserve is taken, but any account may demand all
  // processors beside them for best-effort tasks.
  const Resources unknown{
    aCapacity.mMilliCores,
    std::max<std::int64_t>(0,
                           aCapacity.mMemoryMb - aRunner.mReserved.mMemoryMb),
    std::max<std::int64_t>(
      0, aCapacity.mAccelerators - aRunner.mReserved.mAccelerators)
  };
  for (auto& [name, budget] : aDispatcher.mAccountBudgets) {
    budget.mAssumed += unknown;
  }
  std::vector<std::pair<AccountBudget*, std::int64_t>> known;
  for (const TaskRef& ref : aRunner.mTasks) {
    AccountBudget* budget = ref.mJob->mBudget;
    if (budget == nullptr) {
      continue;
    }
    const auto found =
      std::find_if(known.begin(), known.end(), [&](const auto& aEntry) {
        return aEntry.first == budget;
      });
    const std::int64_t demand = SpecOf(ref).mDemand.mMilliCores;
    if (found != known.end()) {
      found->second += demand;
    } else {
      known.emplace_back(budget, demand);
    }
  }
  for (const auto& [budget, milliCores] : known) {
    budget->mAssumed.mMilliCores -= std::min(milliCores, unknown.mMilliCores);
  }
}

/// @return the number of waiting long-running tasks for which budget is kept
std::size_t
LatelyInterrupted(const Step& aStep, MonotonicTime aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aStep.mTasks.begin(), aStep.mTasks.end(), [&](const Task& aTask) {
      return aTask.mPhase == TaskPhase::Waiting && aTask.mInterruptedAt &&
             aNow - *aTask.mInterruptedAt < kBudgetKeptFor;
    }));
}

} // namespace

void
UpdateBudgets(Dispatcher& aDispatcher)
{
  TextMap<AccountBudget>& budgets = aDispatcher.mAccountBudgets;
  std::erase_if(budgets, [&](const auto& aEntry) {
    const auto account = aDispatcher.mAccounts.find(aEntry.first);
    return account == aDispatcher.mAccounts.end() ||
           !HasAny(account->second.mCap);
  });
  for (const auto& [name, account] : aDispatcher.mAccounts) {
    if (!HasAny(account.mCap)) {
      continue;
    }
    AccountBudget& budget = budgets[name];
    budget.mUse = &aDispatcher.mAccountUse[name];
    for (const auto of : kResourceMembers) {
      if (budget.mCap.*of == 0) {
        budget.mBudget.*of = 0; // Nothing was granted while it had no limit.
      }
    }
    budget.mCap = account.mCap;
    if (aDispatcher.mBudgetSource == BudgetSource::Caps) {
      budget.mBudget = account.mCap;
    }
  }
  for (const auto& [id, job] : aDispatcher.mJobs) {
    job->mBudget = FindBudget(aDispatcher, job->mSpec.mAccount);
  }
}

void
SetBudgetSource(Dispatcher& aDispatcher, BudgetSource aSource)
{
  if (std::exchange(aDispatcher.mBudgetSource, aSource) != aSource) {
    for (auto& [name, budget] : aDispatcher.mAccountBudgets) {
      budget.mBudget = {};
    }
    UpdateBudgets(aDispatcher);
  }
}

void
SetBudget(Dispatcher& aDispatcher,
          std::string_view aAccount,
          const Resources& aBudget,
          MonotonicTime aAsOf)
{
  AccountBudget* budget = FindBudget(aDispatcher, aAccount);
  if (budget == nullptr) {
    return;
  }
  budget->mAsOf = aAsOf;
  for (const auto of : kResourceMembers) {
    if (aBudget.*of > budget->mBudget.*of) {
      aDispatcher.mPlacementDue = true;
    }
  }
  budget->mBudget = aBudget;
}

AccountBudget*
FindBudget(Dispatcher& aDispatcher, std::string_view aAccount)
{
  if (aAccount.empty() || aDispatcher.mAccountBudgets.empty()) {
    return nullptr;
  }
  const auto found = aDispatcher.mAccountBudgets.find(aAccount);
  return found != aDispatcher.mAccountBudgets.end() ? &found->second : nullptr;
}

const AccountBudget*
FindBudget(const Dispatcher& aDispatcher, std::string_view aAccount)
{
  const auto found = aDispatcher.mAccountBudgets.find(aAccount);
  return found != aDispatcher.mAccountBudgets.end() ? &found->second : nullptr;
}

void
UpdateAssumedUse(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  if (aDispatcher.mAccountBudgets.empty()) {
    return;
  }
  for (auto& [name, budget] : aDispatcher.mAccountBudgets) {
    budget.mAssumed = {};
  }
  const MonotonicTime uncontested = std::min(aNow, aDispatcher.mRenewedAt);
  std::optional<Resources> largest;
  for (const Runner& runner : aDispatcher.mRunners) {
    if (!MayHaveUnknownRuns(runner, uncontested)) {
      continue;
    }
    const Resources& capacity = runner.mSpec.mCapacity;
    if (!HasAny(capacity) && !largest) {
      largest = LargestCapacity(aDispatcher);
    }
    AddAssumedUse(aDispatcher, runner, HasAny(capacity) ? capacity : *largest);
  }
}

BudgetPass::BudgetPass(Dispatcher& aDispatcher, MonotonicTime aNow)
  : mDispatcher(aDispatcher)
{
  UpdateAssumedUse(aDispatcher, aNow);
}

BudgetPass::~BudgetPass()
{
  for (auto& [name, budget] : mDispatcher.mAccountBudgets) {
    budget.mKept = {};
  }
}

std::size_t
TasksWithinBudget(const Job& aJob, const StepSpec& aSpec, std::size_t aMost)
{
  if (aJob.mBudget == nullptr) {
    return aMost;
  }
  const AccountBudget& budget = *aJob.mBudget;
  const Resources committed = CommittedUse(budget);
  std::size_t tasks = aMost;
  for (const auto of : kResourceMembers) {
    const std::int64_t demand = aSpec.mDemand.*of;
    if (budget.mCap.*of <= 0 || demand <= 0) {
      continue;
    }
    const std::int64_t left =
      std::max<std::int64_t>(0, budget.mBudget.*of - committed.*of);
    tasks = std::min(tasks, static_cast<std::size_t>(left / demand));
  }
  return tasks;
}

bool
MayStart(const Job& aJob, const StepSpec& aSpec, std::size_t aTasks)
{
  return TasksWithinBudget(aJob, aSpec, aTasks) == aTasks;
}

bool
MayStartNext(const WaitingStep& aEntry)
{
  if (aEntry.mJob->mBudget == nullptr) {
    return true;
  }
  const StepSpec& spec = aEntry.mJob->mSpec.mSteps[aEntry.mStep];
  return MayStart(*aEntry.mJob, spec, spec.mGang ? spec.mTaskCount : 1);
}

bool
MayRestart(const TaskRef& aTask)
{
  if (aTask.mJob->mBudget == nullptr) {
    return true;
  }
  const AccountBudget& budget = *aTask.mJob->mBudget;
  const Resources committed = CommittedUse(budget);
  const Resources& demand = SpecOf(aTask).mDemand;
  return std::all_of(
    kResourceMembers.begin(), kResourceMembers.end(), [&](auto aOf) {
      return budget.mCap.*aOf <= 0 || demand.*aOf <= 0 ||
             committed.*aOf <= budget.mBudget.*aOf;
    });
}

bool
PassOverForBudget(const WaitingStep& aEntry, MonotonicTime aNow)
{
  if (MayStartNext(aEntry)) {
    return false;
  }
  StepOf(aEntry).mNoRoomSince.reset();
  aEntry.mJob->mBudgetWaitedAt = aNow;
  ++aEntry.mJob->mBudget->mPassedOver;
  return true;
}

void
KeepBudget(const WaitingStep& aEntry,
           std::size_t aHeldRunners,
           MonotonicTime aNow)
{
  if (aEntry.mJob->mBudget == nullptr) {
    return;
  }
  const StepSpec& spec = aEntry.mJob->mSpec.mSteps[aEntry.mStep];
  const std::size_t interrupted = LatelyInterrupted(StepOf(aEntry), aNow);
  const std::size_t kept =
    TasksWithinBudget(*aEntry.mJob, spec, std::max(aHeldRunners, interrupted));
  AddTasks(aEntry.mJob->mBudget->mKept, spec, kept);
}

void
KeepBudgetForFirst(const Dispatcher& aDispatcher,
                   std::span<const WaitingStep> aEntries)
{
  std::vector<const AccountBudget*> seen;
  for (const WaitingStep& entry : aEntries) {
    AccountBudget* budget = entry.mJob->mBudget;
    if (budget == nullptr || MayStartNext(entry) ||
        std::find(seen.begin(), seen.end(), budget) != seen.end() ||
        !FirstStartableTask(aDispatcher, entry)) {
      continue;
    }
    const StepSpec& spec = entry.mJob->mSpec.mSteps[entry.mStep];
    Resources needed = budget->mUse->mLongRunning;
    AddTasks(needed, spec, spec.mGang ? spec.mTaskCount : 1);
    const bool everFits = std::all_of(
      kResourceMembers.begin(), kResourceMembers.end(), [&](auto aOf) {
        return budget->mCap.*aOf <= 0 || spec.mDemand.*aOf <= 0 ||
               needed.*aOf <= budget->mBudget.*aOf;
      });
    if (everFits) {
      seen.push_back(budget);
      AddTasks(budget->mKept, spec, spec.mGang ? spec.mTaskCount : 1);
    }
  }
}

std::map<std::string_view, AccountDemand>
DemandByAccount(const Dispatcher& aDispatcher, MonotonicTime aNow)
{
  std::map<std::string_view, AccountDemand> demands;
  for (const auto& [name, budget] : aDispatcher.mAccountBudgets) {
    AccountDemand& demand = demands[name];
    demand.mUse = CappedUse(*budget.mUse);
    demand.mAssumed = budget.mAssumed;
  }
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    const Job& job = *entry.mJob;
    if (job.mBudget == nullptr ||
        FindStartableQueue(aDispatcher, job) == nullptr) {
      continue;
    }
    AccountDemand& demand = demands[job.mSpec.mAccount];
    const StepSpec& spec = job.mSpec.mSteps[entry.mStep];
    const Step& step = StepOf(entry);
    const std::size_t interrupted = LatelyInterrupted(step, aNow);
    AddTasks(demand.mInterrupted, spec, interrupted);
    std::size_t waiting = step.mWaitingTasks;
    if (!aDispatcher.mRecovered) {
      waiting = static_cast<std::size_t>(std::count_if(
        step.mTasks.begin(), step.mTasks.end(), [&](const Task& aTask) {
          return aTask.mPhase == TaskPhase::Waiting &&
                 !MayRunUnseen(aDispatcher, aTask);
        }));
    }
    waiting -= std::min(waiting, interrupted);
    if (waiting == 0 || demand.mUnits.size() == kMaxDemandUnits ||
        (spec.mGang && waiting < spec.mTaskCount)) {
      continue;
    }
    DemandUnit unit{ spec.mDemand, waiting, false };
    unit.mLacksRoom = step.mNoRoomAt > MonotonicTime{} &&
                      aNow - step.mNoRoomAt < kNoRoomRemembered;
    if (spec.mGang) {
      unit.mDemand = {};
      AddTasks(unit.mDemand, spec, spec.mTaskCount);
      unit.mCount = 1;
    }
    demand.mUnits.push_back(unit);
  }
  return demands;
}

bool
ExceedsRunner(const Runner& aRunner, const TaskRef& aTask)
{
  const AccountBudget* budget = aTask.mJob->mBudget;
  const std::int64_t capacity = aRunner.mSpec.mCapacity.mMilliCores;
  std::int64_t demand = SpecOf(aTask).mDemand.mMilliCores;
  if (budget == nullptr || budget->mCap.mMilliCores <= 0 ||
      aRunner.mReserved.mMilliCores + aRunner.mBestEffortMilliCores + demand <=
        capacity) {
    return false;
  }
  for (const TaskRef& ref : aRunner.mTasks) {
    if (ref.mJob->mBudget == budget) {
      demand += SpecOf(ref).mDemand.mMilliCores;
    }
  }
  return demand > capacity;
}

void
LogAccountWaits(Dispatcher& aDispatcher, MonotonicTime aNow)
{
  if (aDispatcher.mAccountBudgets.empty() ||
      aNow - aDispatcher.mWaitsLoggedAt < kWaitsLogInterval) {
    return;
  }
  aDispatcher.mWaitsLoggedAt = aNow;
  std::map<std::string_view, std::uint64_t> waiting;
  for (const WaitingStep& entry : aDispatcher.mWaitingSteps) {
    if (!MayStartNext(entry)) {
      waiting[entry.mJob->mSpec.mAccount] += StepOf(entry).mWaitingTasks;
    }
  }
  // Those that were logged longest ago come first.
  std::vector<std::string_view> accounts;
  accounts.reserve(waiting.size());
  for (const auto& [account, tasks] : waiting) {
    accounts.push_back(account);
  }
  std::stable_sort(
    accounts.begin(), accounts.end(), [&](auto aFirst, auto aSecond) {
      return FindBudget(aDispatcher, aFirst)->mWaitsLoggedAt <
             FindBudget(aDispatcher, aSecond)->mWaitsLoggedAt;
    });
  accounts.resize(std::min(accounts.size(), kMaxLoggedAccounts));
  for (const std::string_view account : accounts) {
    AccountBudget& budget = *FindBudget(aDispatcher, account);
    const std::uint64_t passedOver = std::exchange(budget.mPassedOver, 0);
    budget.mWaitsLoggedAt = aNow;
    const Millis age =
      aDispatcher.mBudgetSource == BudgetSource::Caps
        ? Millis(0)
        : std::chrono::duration_cast<Millis>(aNow - budget.mAsOf);
    Emit(aDispatcher,
         "account_waits",
         nullptr,
         "account=" + std::string(account) +
           " cause=cap use=" + FormatResources(CappedUse(*budget.mUse)) +
           " assumed=" + FormatResources(budget.mAssumed) +
           " budget=" + FormatResources(budget.mBudget) +
           " cap=" + FormatResources(budget.mCap) +
           " view_age_ms=" + std::to_string(age.count()) +
           " waiting=" + std::to_string(waiting[account]) + " suppressed=" +
           std::to_string(passedOver - std::min<std::uint64_t>(1, passedOver)));
  }
}

std::string
FormatResources(const Resources& aAmount)
{
  return std::to_string(aAmount.mMilliCores) + "," +
         std::to_string(aAmount.mMemoryMb) + "," +
         std::to_string(aAmount.mAccelerators);
}

bool
UnplaceableOfPass::Covers(const Job& aJob,
                          const StepSpec& aSpec,
                          const std::string& aService) const
{
  if (mOfAll.Covers(aSpec, aService)) {
    return true;
  }
  if (aJob.mBudget == nullptr) {
    return false;
  }
  const auto found = mOfAccounts.find(aJob.mBudget);
  return found != mOfAccounts.end() && found->second.Covers(aSpec, aService);
}

void
UnplaceableOfPass::Add(const Job& aJob,
                       const StepSpec& aSpec,
                       const std::string& aService)
{
  const bool ofAll =
    aJob.mBudget == nullptr || aJob.mBudget->mCap.mMilliCores <= 0;
  (ofAll ? mOfAll : mOfAccounts[aJob.mBudget]).Add(aSpec, aService);
}

} // namespace paddle::dispatch
