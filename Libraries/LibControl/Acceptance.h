#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include <LibControl/ControlPorts.h>
#include <LibControl/ControlResult.h>

namespace paddle {

/// The rows a change reads and writes, planned from the rows as they are.
struct ChangePlan
{
  std::vector<RowCondition> mConditions;
  std::vector<RowWrite> mWrites; ///< None: the state is as wanted already.
  std::string mWhat;
  std::vector<std::string> mChanges; ///< For the audit trail.
};

/// Reads the rows a change depends on and plans it.
using ChangePlanner = std::function<Outcome<ChangePlan>()>;

/// How a change ended.
struct Acceptance
{
  std::uint64_t mRevision = 0; ///< At which the change is in force.
  bool mChanged = false;       ///< Whether this call made the change.
  ChangePlan mPlan;
};

/// Commits a change of the configuration in one transaction with
/// config/revision and an audit row. All rows of the configuration are as the
/// planner read them, because every change raises config/revision.
/// A change of other rows in between is planned again; a change of a row in
/// the plan's conditions is a conflict, and its error names the one who made
/// it. An outcome that the table could not tell is looked up in the audit
/// trail.
Outcome<Acceptance>
CommitChange(const ControlPorts& aPorts,
             const Author& aAuthor,
             const ChangePlanner& aPlanner);

/// Reads one row.
Outcome<TableRow>
ReadRow(const TablePort& aTable, const std::string& aKey);

/// Reads config/revision.
Outcome<std::uint64_t>
CurrentRevision(const TablePort& aTable);

/// @return a text that differs at each call, for identities
std::string
NewIdentity();

} // namespace paddle
