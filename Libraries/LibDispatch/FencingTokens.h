#pragma once

#include <cstdint>

#include <LibDispatch/Dispatcher.h>

namespace paddle::dispatch {

/// The tokens of an owner are those from its epoch up to the next multiple of
/// this number. Each new process of a runner that comes back under its id takes
/// the next one; a runner that has used them all keeps the last one.
inline constexpr std::int64_t kTokensPerEpoch = 256;

/// @return the epoch of the owner after that of @p aEpoch, whose tokens are all
///         lower
std::int64_t
NextEpoch(std::int64_t aEpoch);

/// @return the fencing token of orders to the present process of a runner. It
///         is higher than that of all orders to former processes of the runner,
///         so that the present one rejects those that are carried out late.
std::int64_t
FencingTokenFor(const Dispatcher& aDispatcher, RunnerIndex aRunner);

/// Notes that the runner has a new process, which has seen no token and may
/// carry out orders to the former one.
void
RaiseToken(Runner& aRunner, MonotonicTime aNow);

/// Notes that the runner has answered a renewal. If that had the token of the
/// present process, orders to former processes have no effect any more.
/// @param aReport the answer
void
NoteTokenSeen(Dispatcher& aDispatcher,
              RunnerIndex aRunner,
              const RunnerReport& aReport,
              MonotonicTime aNow);

/// @return whether the order to start the latest run of a task on @p aRunner
///         went to a former process, and the present one would reject it
bool
RejectsStartOrder(const Runner& aRunner, const Task& aTask);

} // namespace paddle::dispatch
