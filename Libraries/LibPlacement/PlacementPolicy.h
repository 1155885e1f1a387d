#pragma once

#include <functional>
#include <optional>

#include <LibPlacement/Report.h>
#include <LibPlacement/Shard.h>
#include <LibTime/Time.h>

namespace paddle {

/// What the core does about interference on a worker.
enum class PressureAnswer
{
  EvictAtOnce, ///< Evicts a batch task at each report that shows pressure.
  Stepwise     ///< Stops adding, throttles, then evicts, with hysteresis.
};

/// A plug-in that decides how much to reserve and which worker to use. The
/// core checks every choice against capacity, health and data centre state.
struct PlacementPolicy
{
  /// @return what to reserve for the job's task; at least what it declares
  std::function<Amount(const Shard&, const Job&)> mReserve;
  /// @return a worker for which MayPlace() holds, or nothing
  std::function<std::optional<WorkerIndex>(const Shard&,
                                           const Job&,
                                           const Amount& aReserve,
                                           MonotonicTime aNow)>
    mChoose;
  /// Takes note of one task's reported usage.
  std::function<
    void(Team&, TaskClass, const Amount& aDeclared, const Amount& aUsed)>
    mLearn;
  /// Whether reservations follow the reported usage.
  bool mFollowsUse = false;
  PressureAnswer mPressure = PressureAnswer::EvictAtOnce;
};

} // namespace paddle
