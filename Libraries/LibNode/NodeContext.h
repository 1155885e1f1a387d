#pragma once

#include <functional>
#include <string>

#include <LibAsyncHttp/Deadlines.h>
#include <LibBase/EventLog.h>
#include <LibBase/Metrics.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibNode/Cluster.h>
#include <LibNode/DirectoryPort.h>
#include <LibNode/RowParts.h>
#include <LibNode/RunnerPort.h>
#include <LibNode/StorePort.h>
#include <LibTime/BootClock.h>

namespace paddle {

/// Times that this node keeps. Bounds of the deployment replace defaults.
struct NodeSettings
{
  ClaimSettings mClaims;
  dispatch::DispatchSettings mDispatch;
  /// Interval of a node's own row, and of the rows of its shards.
  Millis mHeartbeat{ 1000 };
  Millis mRenewal{ 500 };
  /// Intervals of reading who owns the shards, and which nodes there are.
  Millis mClusterPoll{ 500 };
  Millis mNodesPoll{ 1400 };
  /// Interval of reading the list of runners; a draining runner must get no
  /// start 2.5 s after its notice.
  Millis mRunnerPoll{ 900 };
  /// An owner gives orders until this long after it last renewed its row. It
  /// covers a store outage of nine seconds that begins just before a renewal.
  Millis mRightToAct{ 12000 };
  /// Time for the runners to answer a new owner's first order, several times
  /// the longest round trip of 24 ms.
  Millis mFenceWait{ 300 };
  /// Changes of progress wait this long to share a transaction.
  Millis mCommitDelay{ 80 };
  Millis mStoreTimeout{ 1500 };
  Millis mRetryPause{ 150 };
  /// This node serves clients only if the store answered it this recently.
  Millis mStoreFreshness{ 2500 };
  /// A shard holds at most about this many runners. One owner that sees all
  /// runners places better than several that see parts (worth 0.87 against 0.73
  /// on a calm day with 350 runners and four shards); 490 runners took 0.29 of
  /// a core.
  std::uint32_t mRunnersPerShard = 600;
  /// The longest wait of a client for an answer that is still open.
  Millis mLongestAnswer{ 2500 };
  /// Refused clients are asked to come back after this.
  Seconds mRetryAfter{ 1 };
};

/// What the parts of a node share. It outlives them.
struct NodeContext
{
  NodeRow mSelf;
  NodeSettings mSettings;
  RowParts mParts;
  StorePort mStore;
  RunnerPort mRunners;
  DirectoryPort mDirectory;
  Deadlines* mDeadlines = nullptr;
  EventLog* mLog = nullptr;
  Metrics* mMetrics = nullptr;
  MonotonicTime mStoreAnsweredAt; ///< When the store last served a call.
  /// Tests set it; the time since the host's start otherwise.
  std::function<MonotonicTime()> mClock;

  [[nodiscard]] MonotonicTime Now() const
  {
    return mClock ? mClock() : BootTime();
  }
};

} // namespace paddle
