#include <LibControl/CommitChange.h>

#include <array>
#include <map>
#include <random>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibControl/AuditTrail.h>
#include <LibControl/TimeText.h>

namespace paddle {

namespace {

/// Versions of rows by key, as they were when a plan first depended on them.
using RowVersions = std::map<std::string, std::uint64_t>;

/// One attempt to commit a change: the transaction and the audit entry in it.
struct CommitAttempt
{
  TableTransaction mTransaction;
  AuditEntry mEntry;
};

/// Adds the new revision and the audit row to the planned writes.
/// @param aRevisionRow the row "config/revision", read before planning
/// @param aRevision the revision in that row
CommitAttempt
MakeCommitAttempt(const ControlPorts& aPorts,
                  const Author& aAuthor,
                  const TableRow& aRevisionRow,
                  std::uint64_t aRevision,
                  const ChangePlan& aPlan)
{
  CommitAttempt attempt;
  attempt.mEntry = AuditEntry{
    aRevision + 1, TimeText(aPorts.mNow()), aAuthor.mWho, aPlan.mWhat,
    aAuthor.mWhy,  NewChangeId(),           {},           aPlan.mChanges
  };
  for (const RowWrite& write : aPlan.mWrites) {
    attempt.mEntry.mRows.push_back(write.mKey);
  }
  const std::string auditKey = AuditKey(aRevision + 1);
  TableTransaction& transaction = attempt.mTransaction;
  transaction.mConditions = aPlan.mConditions;
  transaction.mConditions.push_back({ kRevisionKey, aRevisionRow.mVersion });
  transaction.mConditions.push_back({ auditKey, 0 });
  transaction.mWrites = aPlan.mWrites;
  transaction.mWrites.push_back(
    { kRevisionKey, std::to_string(aRevision + 1) });
  transaction.mWrites.push_back(
    { auditKey, WriteJson(ToJson(attempt.mEntry)) });
  return attempt;
}

/// @return the key of a row in the plan's conditions that another change has
///         written since the first plan, if any
std::optional<std::string>
RowChangedSince(const RowVersions& aFirstVersions, const ChangePlan& aPlan)
{
  for (const RowCondition& condition : aPlan.mConditions) {
    const auto found = aFirstVersions.find(condition.mKey);
    if (found != aFirstVersions.end() && found->second != condition.mVersion) {
      return condition.mKey;
    }
  }
  return std::nullopt;
}

/// @return a conflict error that names the last change of the row @p aKey
Error
ConflictError(const ControlPorts& aPorts,
              std::uint64_t aRevision,
              const std::string& aKey)
{
  const auto last = LastChangeOfRow(aPorts.mTable, aRevision, aKey);
  std::string message =
    aKey + " was changed by somebody else in the meantime; nothing was "
           "changed by this command.\n";
  if (Succeeded(last) && ValueOf(last)) {
    message += "Now in force: " + Summary(*ValueOf(last)) + "\n";
  }
  message += "Read the present state (savorypaddle status, savorypaddle "
             "audit), then run the command again if it is still right.";
  return Error{ ErrorKind::Conflict, message };
}

/// Determines from the audit row whether a transaction with an unknown outcome
/// took effect. The row holds either the entry of this attempt, which then
/// committed, or that of another change, after which this attempt can't take
/// effect any more. If the row does not exist or can't be read, the outcome
/// remains unknown.
TransactResult
ResolveUnknownOutcome(const ControlPorts& aPorts,
                      const AuditEntry& aEntry,
                      Error aUnknown)
{
  const Outcome<TableRow> row =
    ReadRow(aPorts.mTable, AuditKey(aEntry.mRevision));
  if (!Succeeded(row) || ValueOf(row).mVersion == 0) {
    return aUnknown;
  }
  const Outcome<AuditEntry> found = ParseAuditRow(ValueOf(row));
  if (Succeeded(found) && ValueOf(found).mId == aEntry.mId) {
    return Committed{ ValueOf(row).mVersion };
  }
  return Conflict{ { ValueOf(row) } };
}

/// Commits the transaction and resolves an unknown outcome where possible.
TransactResult
Transact(const ControlPorts& aPorts, const CommitAttempt& aAttempt)
{
  TransactResult result = aPorts.mTable.mTransact(aAttempt.mTransaction);
  if (const Error* error = std::get_if<Error>(&result);
      error && error->mKind == ErrorKind::Unknown) {
    return ResolveUnknownOutcome(aPorts, aAttempt.mEntry, *error);
  }
  return result;
}

} // namespace

Outcome<ChangeResult>
CommitChange(const ControlPorts& aPorts,
             const Author& aAuthor,
             const ChangePlanner& aPlanner)
{
  constexpr int kMaxAttempts = 20;
  RowVersions firstVersions;
  for (int i = 0; i < kMaxAttempts; ++i) {
    // The revision is read before the planner reads its rows, so that the
    // transaction fails if any of them changes after the planner has read it.
    const Outcome<TableRow> row = ReadRow(aPorts.mTable, kRevisionKey);
    if (!Succeeded(row)) {
      return ErrorOf(row);
    }
    const Outcome<std::uint64_t> revision = ParseRevision(ValueOf(row));
    if (!Succeeded(revision)) {
      return ErrorOf(revision);
    }
    Outcome<ChangePlan> plan = aPlanner();
    if (!Succeeded(plan)) {
      return ErrorOf(plan);
    }
    if (ValueOf(plan).mWrites.empty()) {
      return ChangeResult{ ValueOf(revision), false, ValueOf(plan) };
    }
    if (const auto key = RowChangedSince(firstVersions, ValueOf(plan))) {
      return ConflictError(aPorts, ValueOf(revision), *key);
    }
    for (const RowCondition& condition : ValueOf(plan).mConditions) {
      firstVersions.emplace(condition.mKey, condition.mVersion);
    }
    const TransactResult result = Transact(
      aPorts,
      MakeCommitAttempt(
        aPorts, aAuthor, ValueOf(row), ValueOf(revision), ValueOf(plan)));
    if (std::holds_alternative<Committed>(result)) {
      return ChangeResult{ ValueOf(revision) + 1, true, ValueOf(plan) };
    }
    if (const Error* error = std::get_if<Error>(&result)) {
      return *error;
    }
  }
  return Error{ ErrorKind::Conflict,
                "other changes came first 20 times in a row; nothing was "
                "changed by this command. Run it again." };
}

Outcome<TableRow>
ReadRow(const TablePort& aTable, const std::string& aKey)
{
  const std::array<std::string, 1> keys{ aKey };
  const auto rows = aTable.mRead(keys);
  if (!Succeeded(rows)) {
    return ErrorOf(rows);
  }
  if (ValueOf(rows).size() != 1) {
    return Error{ ErrorKind::Internal,
                  "reading the row " + aKey + " returned " +
                    std::to_string(ValueOf(rows).size()) + " rows" };
  }
  return ValueOf(rows)[0];
}

Outcome<std::uint64_t>
CurrentRevision(const TablePort& aTable)
{
  const Outcome<TableRow> row = ReadRow(aTable, kRevisionKey);
  if (!Succeeded(row)) {
    return ErrorOf(row);
  }
  return ParseRevision(ValueOf(row));
}

std::string
NewChangeId()
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::random_device random;
  std::string id;
  for (int i = 0; i < 16; ++i) {
    id += kDigits[random() % 16];
  }
  return id;
}

} // namespace paddle
