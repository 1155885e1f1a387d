#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <LibBase/Ring.h>
#include <LibPlacement/Action.h>
#include <LibScheduler/SchedulerEvent.h>
#include <LibScheduler/SchedulerPorts.h>

namespace paddle {

/// Writes a job's row on behalf of the owner of its shard.
struct CommitItem
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  CommitRow mCommit;
};

/// Moves a job to another shard.
struct MoveItem
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  JobRow mRow;
  std::string mTarget; ///< Id of the other shard.
};

/// Reads all job rows of a shard.
struct LoadItem
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
};

using CommitterItem = std::variant<CommitItem, MoveItem, LoadItem>;

/// Runs the commit thread, which writes job rows by group commit and reads
/// them. Each transaction requires that the row of the shard has not changed
/// since it was read and named this process's epoch, so that a process that
/// lost a shard can't write its jobs any more. Items are carried out one after
/// the other, and their results are sent in the order of the items.
class Committer
{
public:
  /// @param aPorts  must outlive the committer
  /// @param aEvents receives the results; must outlive the committer
  Committer(const SchedulerPorts& aPorts, SchedulerRing& aEvents);
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  /// Queues an item for the commit thread.
  /// @return Full if the table service does not keep up with the items; the
  ///         item was not taken
  [[nodiscard]] PushResult TryPush(CommitterItem aItem);

  /// @return whether no item is queued or being carried out
  [[nodiscard]] bool Idle() const;

  /// Ends the commit thread; items that are still queued are not carried out.
  void Stop();

private:
  /// Version of a shard's row at which the row was found to name the epoch.
  struct Fence
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mVersion = 0;
  };

  /// The body of the commit thread.
  void Run();

  /// Takes the queued commits that follow @p aFirst and are for the same shard
  /// and epoch, up to the limit of a transaction.
  std::vector<CommitItem> CollectGroup(CommitItem aFirst);

  /// These functions carry out items. Commits and moves are repeated until
  /// their effect is known or the shard has another owner.
  void Perform(std::vector<CommitItem> aGroup);
  void Perform(const MoveItem& aMove);
  void Perform(const LoadItem& aLoad);

  /// Tries to commit a group in one transaction.
  /// @param aIsRetry whether an earlier try may have taken effect
  /// @return the items that have no result yet and must be tried again
  std::vector<CommitItem> CommitGroup(std::vector<CommitItem> aGroup,
                                      bool aIsRetry);

  /// Sends the results of the commits whose conditions failed because their
  /// job exists already.
  /// @return the other items, which must be tried again
  std::vector<CommitItem> HandleConflict(std::vector<CommitItem> aGroup,
                                         const Conflict& aConflict,
                                         bool aIsRetry);

  /// Reads the shard's row unless its version is cached.
  /// @return the version of the row if it names the epoch; nothing if another
  ///         process has become the owner
  Outcome<std::optional<std::uint64_t>> FenceVersion(const std::string& aShard,
                                                     std::uint64_t aEpoch);

  /// Sends an event to the placement thread; waits while the ring is full.
  void PushEvent(const SchedulerEvent& aEvent);
  void PushCommitResult(const CommitItem& aItem,
                        CommitResult aResult,
                        const std::string& aHolder);

  const SchedulerPorts& mPorts;
  SchedulerRing& mEvents;
  Ring<CommitterItem> mItems;
  /// An item that was taken from mItems but did not fit into the last group;
  /// it is carried out next.
  std::optional<CommitterItem> mDeferredItem;
  std::map<std::string, Fence> mFences; ///< By shard.
  /// Versions of the job id rows of service tasks that were cancelled and may
  /// be created again, by key.
  std::map<std::string, std::uint64_t> mReplaceableVersions;
  /// Number of items that are queued or being carried out.
  std::atomic<std::uint64_t> mPendingItems{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace paddle
