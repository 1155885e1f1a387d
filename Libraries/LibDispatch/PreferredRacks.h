#pragma once

#include <span>
#include <string>
#include <vector>

#include <LibDispatch/Internal.h>
#include <LibDispatch/RunnerRating.h>

namespace paddle::dispatch {

// Tasks run faster in the rack of their data, or in one rack with the other
// tasks of their step. The functions below choose and prefer such racks, and
// let tasks wait for them, see PlacementWait.h. Unless the setting
// mRemoteFactor is above 1, they change nothing.

/// @return the rack in which a task runs faster, or an empty text
const std::string&
PreferredRack(const TaskRef& aTask);

/// Forgets what was summarized in the former placement pass.
void
BeginRackPass(Dispatcher& aDispatcher);

/// Where a task is to be started.
struct Place
{
  RunnerIndex mRunner = kNoRunner;
  /// Whether the task waits for its preferred rack, although another runner may
  /// have room for it.
  bool mWaits = false;
};

/// Chooses the runner for a task, or lets it wait for its preferred rack.
/// @param aCandidates in ascending order
Place
ChoosePlace(Dispatcher& aDispatcher,
            std::span<const RunnerIndex> aCandidates,
            const TaskRef& aTask,
            const std::string& aService,
            MonotonicTime aNow);

/// Where a gang is to be started.
struct GangPlace
{
  bool mWaits = false; ///< Whether the gang waits for the rack of its data.
  /// The candidates in a rack that has room for the whole gang; none if there
  /// is no such rack, or the gang requests none.
  std::vector<RunnerIndex> mCandidates;
};

/// Chooses the rack for a gang, or lets it wait for the rack of its data.
/// @param aOvercommit the gang waits only with Overcommit::No
GangPlace
ChooseGangPlace(Dispatcher& aDispatcher,
                std::span<const RunnerIndex> aCandidates,
                const WaitingStep& aEntry,
                const std::string& aService,
                Overcommit aOvercommit,
                MonotonicTime aNow);

/// Notes that the waiting tasks of a step from index @p aFirst on have found no
/// room in this pass. Those behind them get room in their rack later.
void
NoteUnplaced(Dispatcher& aDispatcher,
             const WaitingStep& aEntry,
             std::uint32_t aFirst,
             const std::string& aService,
             MonotonicTime aNow);

/// @return whether tasks of the step could start and each of them waits for its
///         preferred rack, so that the step does not lack room
bool
WaitsForRack(const Dispatcher& aDispatcher, const WaitingStep& aEntry);

/// Notes that a run was assigned to a runner. The first one of a step that
/// requests a single rack decides about the rack.
void
NoteAssigned(Dispatcher& aDispatcher, const TaskRef& aTask);

/// Notes that a runner has accepted a task.
void
NoteStarted(Dispatcher& aDispatcher, const TaskRef& aTask, MonotonicTime aNow);

/// Notes the room that a run leaves on its runner, from whose resources in use
/// it has been removed.
void
NoteRoomLeft(Dispatcher& aDispatcher, const TaskRef& aTask, MonotonicTime aNow);

/// Notes the duration of a completed task.
void
NoteDuration(Dispatcher& aDispatcher,
             const TaskRef& aTask,
             RunnerIndex aRunner,
             MonotonicTime aNow);

/// Logs the numbers of waits so far.
void
EmitPlaceWaits(const Dispatcher& aDispatcher);

} // namespace paddle::dispatch
