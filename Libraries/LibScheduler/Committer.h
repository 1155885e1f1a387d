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

/// Write a job's row under the ownership of a shard.
struct CommitItem
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  CommitRow mCommit;
};

/// Give a job to another shard.
struct MoveItem
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
  JobRow mRow;
  std::string mTarget;
};

/// Read all rows of a shard.
struct LoadItem
{
  std::string mShard;
  std::uint64_t mEpoch = 0;
};

using CommitterItem = std::variant<CommitItem, MoveItem, LoadItem>;

/// The commit thread: writes job rows in group commits and reads them. Each
/// transaction requires the row of the shard to name this ownership, so a
/// process that lost a shard can't write its jobs any more. Work on one shard
/// is done, and answered, in order.
class Committer
{
public:
  /// @param aEvents receives the results; both must outlive the committer
  Committer(const SchedulerPorts& aPorts, SchedulerRing& aEvents);
  ~Committer();
  Committer(const Committer&) = delete;
  Committer& operator=(const Committer&) = delete;

  /// @return Full if the store does not keep up; the item was not taken
  [[nodiscard]] PushResult TryPush(CommitterItem aItem);

  /// @return whether nothing waits to be written
  [[nodiscard]] bool Idle() const;

  void Stop();

private:
  struct Fence
  {
    std::uint64_t mEpoch = 0;
    std::uint64_t mVersion = 0;
  };

  void Run();
  std::vector<CommitItem> CollectGroup(CommitItem aFirst);
  void Perform(std::vector<CommitItem> aGroup);
  void Perform(const MoveItem& aMove);
  void Perform(const LoadItem& aLoad);

  /// Commits what it can of a group.
  /// @return what is left to be tried again
  std::vector<CommitItem> CommitGroup(std::vector<CommitItem> aGroup,
                                      bool aRepeated);
  std::vector<CommitItem> HandleConflict(std::vector<CommitItem> aGroup,
                                         const Conflict& aConflict,
                                         bool aRepeated);

  /// @return the version of the shard's row if it names this ownership;
  ///         nothing if another process owns the shard
  Outcome<std::optional<std::uint64_t>> FenceOf(const std::string& aShard,
                                                std::uint64_t aEpoch);
  void Answer(const SchedulerEvent& aEvent);
  void Answer(const CommitItem& aItem,
              CommitState aState,
              const std::string& aHolder);

  const SchedulerPorts& mPorts;
  SchedulerRing& mEvents;
  Ring<CommitterItem> mItems;
  std::optional<CommitterItem> mNext; ///< Taken but not part of the group.
  std::map<std::string, Fence> mFences;
  /// Versions of terminal rows of services that may be replaced.
  std::map<std::string, std::uint64_t> mReplaceable;
  std::atomic<std::uint64_t> mPending{ 0 };
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace paddle
