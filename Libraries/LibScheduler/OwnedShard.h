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

/// An answer that is due when a commit is done.
struct Waiter
{
  std::uint64_t mSequence = 0;
  Reply mReply;
};

/// A worker shard that this process owns, with what connects its decisions to
/// the other threads. Used by the placement thread only.
struct OwnedShard
{
  std::string mId;
  std::uint64_t mEpoch = 0;
  bool mLoaded = false; ///< Its rows were read; until then it does nothing.
  Shard mCore;
  std::vector<std::shared_ptr<WorkerLink>> mLinks; ///< By worker index.
  std::multimap<std::string, Waiter> mWaiters;     ///< By job.
  /// What did not fit into the committer's ring, in order.
  std::deque<CommitterItem> mBacklog;
  MonotonicTime mNextLoad;
  MonotonicTime mNextMove;
  /// Service tasks that another shard holds, until when that is believed.
  std::map<std::string, MonotonicTime> mElsewhere;
  bool mChanged = false; ///< Something happened since the last placement.
};

} // namespace paddle
