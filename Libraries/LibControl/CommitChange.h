#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// A change of the configuration, computed from the rows that the table holds
/// at that moment but not committed yet.
struct ChangePlan
{
  /// Versions of the rows that the plan was computed from. A later change of
  /// one of these rows is a conflict.
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites; ///< Empty if the wanted state is in force.
  /// The changed object and its new state, for the operator and the audit
  /// trail, for instance "desk version 3".
  std::string mWhat;
  std::vector<std::string> mChanges; ///< One line per changed field.
};

/// Reads the rows that a change depends on and computes the plan. It is called
/// again for each attempt to commit.
using ChangePlanner = std::function<Outcome<ChangePlan>()>;

/// The result of CommitChange().
struct ChangeResult
{
  /// Revision of the configuration at which the planned state is in force.
  std::uint64_t mRevision = 0;
  bool mChanged = false; ///< False if the state was in force before this call.
  ChangePlan mPlan;
};

/// Commits a change of the configuration in one transaction that also raises
/// the row "config/revision" by 1 and writes an audit row.
///
/// Every change raises "config/revision" and the transaction requires the
/// version of that row that was read before planning, so it commits only if
/// all rows of the configuration are as the planner read them. If another
/// change came first, the change is planned again, up to 20 times. If that
/// other change wrote a row of the plan's conditions, the result is a conflict
/// error that names the author of the other change. If the table can't tell
/// whether the transaction took effect, the audit row decides.
/// @param aAuthor recorded in the audit row
/// @param aPlanner is called once for each attempt
/// @return the result; an error of kind Unknown if it could not be determined
///         whether the change took effect
Outcome<ChangeResult>
CommitChange(const ControlPorts& aPorts,
             const Author& aAuthor,
             const ChangePlanner& aPlanner);

/// Reads one row; a row that does not exist has version 0.
Outcome<TableRow>
ReadRow(const TablePort& aTable, const std::string& aKey);

/// @return the revision of the configuration, from the row "config/revision"
Outcome<std::uint64_t>
CurrentRevision(const TablePort& aTable);

/// @return a random id of 16 hexadecimal digits, by which an audit entry is
///         recognised as that of a particular attempt
std::string
NewChangeId();

} // namespace paddle
