#pragma once

#include <cstdint>

namespace paddle::dispatch {

/// How the simulated owner reacts to load.
enum class LoadControl
{
  None,        ///< Answers that are read late are thrown away; no limit.
  LateAnswers, ///< Answers that arrived in time count, however late.
  Aimd,        ///< LateAnswers, and OrderLimit.
  /// LateAnswers, and a limit that follows the ratio of the shortest answer
  /// time ever to the present one (Netflix concurrency-limits, "Gradient").
  Gradient
};

struct OverloadSettings
{
  LoadControl mControl = LoadControl::Aimd;
  std::uint32_t mRunners = 120;
  double mOfferedPerS = 100; ///< Tasks that arrive in a second.
  double mLoadedS = 30;      ///< For so long; the first third is not measured.
  double mCalmPerS = 50;     ///< Tasks that arrive in a second after that.
  double mCalmS = 20;
  /// Processor time of the host for one message. On a host of 0.069 cores a
  /// message takes about 75 us of a core.
  double mMessageMs = 1.1;
  std::uint32_t mSeed = 1;
};

struct OverloadResult
{
  double mGoodputPerS = 0; ///< Tasks done in a second, while loaded.
  /// Time after the load falls until no start has been unanswered and no
  /// renewal late for a second; the whole calm time if that never happens.
  double mRecoveryS = 0;
  double mUnansweredPerS = 0; ///< Starts given up in a second, while loaded.
  std::uint32_t mDoubledRuns = 0; ///< Tasks that were done more than once.
};

/// Simulates the owner of a shard on a small host in virtual time: each message
/// takes processor time, in the order of arrival.
OverloadResult
SimulateOverload(const OverloadSettings& aSettings);

} // namespace paddle::dispatch
