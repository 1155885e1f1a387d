#pragma once

#include <vector>

#include "Jobs.h"
#include "Record.h"
#include "StoreGate.h"

namespace paddle::soak {

struct Verdict
{
  int mBroken = 0; ///< Breaches of the rule.
  /// Starts that would break its second part, had their sender been in touch.
  int mExcused = 0;
};

/// Checks that no task runs twice, and writes each breach with the history of
/// its task into the record. The rule has two parts:
///
/// 1. For steps without copies, two runs of a task are not at work at the same
///    time on runners that are up, and none starts after an earlier one has
///    ended as done, if that end is taken note of at any time. Starts that are
///    carried out late count.
/// 2. For all steps, no node in touch starts a run more than a second after an
///    end as done was taken note of, or after the job was shown as completed.
///    Starts that are carried out late don't count.
///
/// An end as done of one member of a gang stands for all members.
Verdict
CheckRuns(const std::vector<Job>& aJobs, StoreGate& aStore, Record& aRecord);

} // namespace paddle::soak
