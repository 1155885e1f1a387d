#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include <LibDispatch/AccountGrants.h>
#include <LibDispatch/AccountUse.h>
#include <LibDispatch/PlacementOrder.h>

namespace paddle::dispatch {

// The owner of a shard starts a task of a client account with a cap only if the
// account's use, including the task, is within the shard's budget for the
// account. With one shard, the budget is the cap. Accounts without a cap have
// no AccountBudget.

/// Brings the budgets in line with Dispatcher::mAccounts and links them to the
/// jobs. With several shards, a new budget is empty until SetBudget().
void
UpdateBudgets(Dispatcher& aDispatcher);

/// Sets whether the budgets are the caps, or are set by SetBudget().
void
SetBudgetSource(Dispatcher& aDispatcher, BudgetSource aSource);

/// Sets the budget of an account that has a cap; does nothing if it has none.
/// @param aAsOf when the read was sent on which the budget rests
void
SetBudget(Dispatcher& aDispatcher,
          std::string_view aAccount,
          const Resources& aBudget,
          MonotonicTime aAsOf);

/// @return the budget of an account, or null if it has no cap
AccountBudget*
FindBudget(Dispatcher& aDispatcher, std::string_view aAccount);
const AccountBudget*
FindBudget(const Dispatcher& aDispatcher, std::string_view aAccount);

/// Computes what runs that this owner doesn't know may take, see
/// AccountBudget::mAssumed.
void
UpdateAssumedUse(Dispatcher& aDispatcher, MonotonicTime aNow);

/// A pass that starts or stops tasks. The assumed use is that at its beginning,
/// and what KeepBudget() keeps is kept until its end.
class BudgetPass
{
public:
  BudgetPass(Dispatcher& aDispatcher, MonotonicTime aNow);
  ~BudgetPass();
  BudgetPass(const BudgetPass&) = delete;
  BudgetPass& operator=(const BudgetPass&) = delete;

private:
  Dispatcher& mDispatcher;
};

/// @return the number of further tasks of a step, @p aMost at most, that the
///         budget of the job's account allows
std::size_t
TasksWithinBudget(const Job& aJob, const StepSpec& aSpec, std::size_t aMost);

/// @return whether the budget of the job's account allows as many further tasks
///         of a step
bool
MayStart(const Job& aJob, const StepSpec& aSpec, std::size_t aTasks);

/// @return whether the budget allows the next start of a waiting step: of one
///         task, or of all tasks of a gang
bool
MayStartNext(const WaitingStep& aEntry);

/// @return whether the budget allows to start a running task again after it was
///         stopped
bool
MayRestart(const TaskRef& aTask);

/// Notes that a step with waiting tasks is passed over if the budget does not
/// allow its next start. It then lacks no room, and its job is not handed over
/// to another shard.
/// @return whether it is passed over
bool
PassOverForBudget(const WaitingStep& aEntry, MonotonicTime aNow);

/// Keeps budget for the rest of the present pass for tasks of a step for which
/// there is no room: for those that were interrupted lately, so that no other
/// task of the account takes what they need to run again, and for as many as
/// runners are held for.
void
KeepBudget(const WaitingStep& aEntry,
           std::size_t aHeldRunners,
           MonotonicTime aNow);

/// Keeps budget for the rest of the present pass for the first of the steps of
/// each account that the account's budget does not allow to start, unless its
/// long-running tasks take too much of it. Otherwise smaller tasks of the
/// account would take bit by bit what becomes free.
void
KeepBudgetForFirst(const Dispatcher& aDispatcher,
                   std::span<const WaitingStep> aEntries);

/// @return what the accounts with a cap use and demand in this shard, by
/// account
std::map<std::string_view, AccountDemand>
DemandByAccount(const Dispatcher& aDispatcher, MonotonicTime aNow);

/// A runner that has not answered a new owner is assumed to run tasks of one
/// account that demand all of its processors. Best-effort tasks could demand
/// several times as much.
/// @return whether the account's tasks on the runner, including this one, would
///         demand more processors than the runner has, while its processors are
///         capped
bool
ExceedsRunner(const Runner& aRunner, const TaskRef& aTask);

/// Logs for each account with tasks that wait for its budget how many there
/// are, at most once a second.
void
LogAccountWaits(Dispatcher& aDispatcher, MonotonicTime aNow);

/// @return "MILLI_CORES,MEMORY_MB,ACCELERATORS" for the log
std::string
FormatResources(const Resources& aAmount);

/// The requests that fit on no runner in a pass. If the tasks of an account
/// with a cap on processors fit nowhere, the cause may be ExceedsRunner(), so
/// that this says nothing about the tasks of others.
class UnplaceableOfPass
{
public:
  [[nodiscard]] bool Covers(const Job& aJob,
                            const StepSpec& aSpec,
                            const std::string& aService) const;
  void Add(const Job& aJob, const StepSpec& aSpec, const std::string& aService);

private:
  UnplaceableRequests mOfAll;
  std::map<const AccountBudget*, UnplaceableRequests> mOfAccounts;
};

} // namespace paddle::dispatch
