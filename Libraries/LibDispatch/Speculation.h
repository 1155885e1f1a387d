#pragma once

#include <LibDispatch/Internal.h>

namespace paddle::dispatch {

// The tasks of a step that allows speculation may run twice at a time, and the
// first copy to end counts. A finite task on a silent runner is otherwise
// started elsewhere only when its leases have ended and an end that was not
// heard can be ruled out, which takes up to max. lease and
// DispatchSettings::mUnheardEndsWait. With permission for copies, it is started
// elsewhere as soon as the silence is more than one lost answer.
//
// The former run becomes one that this owner does not know (OrphanRun): its
// runner gets no other task until the run has ended, and it is stopped once the
// runner answers. If its end is reported as done before the copy has ended, the
// copy is stopped instead.

/// @return whether a second copy of the task's run may be started while the
///         first one may still run. Not for accounts with a cap: the use of a
///         run that is given up is not counted.
bool
MayRunCopies(const Dispatcher& aDispatcher, const TaskRef& aTask);

/// Gives up a run that its runner has reported as running, so that it no longer
/// counts as the task's own. The task waits afterwards.
void
GiveUpRun(Dispatcher& aDispatcher,
          const TaskRef& aTask,
          MonotonicTime aNow,
          Actions& aActions);

/// Lets the tasks of silent runners that may have copies wait for other
/// runners.
void
CopyTasksOfSilentRunners(Dispatcher& aDispatcher,
                         MonotonicTime aNow,
                         Actions& aActions);

} // namespace paddle::dispatch
