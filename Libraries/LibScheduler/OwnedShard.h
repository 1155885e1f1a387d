#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <LibPlacement/Shard.h>
#include <LibScheduler/Committer.h>
#include <LibScheduler/SchedulerEvent.h>
#include <LibScheduler/WorkerLinks.h>

namespace paddle {

/// A reply to a caller that is due when a commit of its job has a result.
struct PendingReply
{
  std::uint64_t mSequence = 0; ///< Sequence of the commit.
  ReplyPromise mReply;
};

/// A worker shard that this process owns: the state of the placement core and
/// what connects it to the other threads. It is used by the placement thread
/// only.
struct OwnedShard
{
  std::string mId;
  std::uint64_t mEpoch = 0;
  /// Whether the job rows were read. Before that, the shard accepts no jobs,
  /// handles no reports and starts nothing.
  bool mLoaded = false;
  Shard mCore; ///< The state of the placement core.
  std::vector<std::shared_ptr<WorkerLink>> mLinks; ///< By worker index.
  std::multimap<std::string, PendingReply> mPendingReplies; ///< By job.
  /// Items that the full ring of the committer did not take yet, in order.
  std::deque<CommitterItem> mBacklog;
  MonotonicTime mNextLoad; ///< When the rows are read next.
  MonotonicTime mNextMove; ///< When jobs may be moved to other shards next.
  /// Service tasks that another shard was found to hold, each with the time
  /// until which this shard does not try to accept it.
  std::map<std::string, MonotonicTime> mHeldElsewhereUntil;
  /// Whether the state changed since the last pass over the queued jobs.
  bool mNeedsPlacement = false;
};

} // namespace paddle
