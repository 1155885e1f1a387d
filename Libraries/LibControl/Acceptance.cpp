#include <LibControl/Acceptance.h>

#include <array>
#include <map>
#include <random>

#include <LibBase/JsonReader.h>
#include <LibConfig/ConfigRows.h>
#include <LibControl/AuditTrail.h>
#include <LibControl/TimeText.h>

namespace paddle {

namespace {

/// Row versions that the first plan was made from.
using Versions = std::map<std::string, std::uint64_t>;

/// The transaction of a change with its audit entry.
struct Attempt
{
  TableTransaction mTransaction;
  AuditEntry mEntry;
};

Attempt
MakeAttempt(const ControlPorts& aPorts,
            const Author& aAuthor,
            const TableRow& aRevisionRow,
            std::uint64_t aRevision,
            const ChangePlan& aPlan)
{
  Attempt attempt;
  attempt.mEntry = AuditEntry{
    aRevision + 1, TimeText(aPorts.mNow()), aAuthor.mWho, aPlan.mWhat,
    aAuthor.mWhy,  NewIdentity(),           {},           aPlan.mChanges
  };
  for (const RowWrite& write : aPlan.mWrites) {
    attempt.mEntry.mRows.push_back(write.mKey);
  }
  const std::string auditKey = AuditKey(aRevision + 1);
  TableTransaction& change = attempt.mTransaction;
  change.mConditions = aPlan.mConditions;
  change.mConditions.push_back({ kRevisionKey, aRevisionRow.mVersion });
  change.mConditions.push_back({ auditKey, 0 });
  change.mWrites = aPlan.mWrites;
  change.mWrites.push_back({ kRevisionKey, std::to_string(aRevision + 1) });
  change.mWrites.push_back({ auditKey, WriteJson(ToJson(attempt.mEntry)) });
  return attempt;
}

/// @return the key of a row that somebody changed since the first plan
std::optional<std::string>
ChangedSince(const Versions& aFirst, const ChangePlan& aPlan)
{
  for (const RowCondition& condition : aPlan.mConditions) {
    const auto found = aFirst.find(condition.mKey);
    if (found != aFirst.end() && found->second != condition.mVersion) {
      return condition.mKey;
    }
  }
  return std::nullopt;
}

Error
ConflictError(const ControlPorts& aPorts,
              std::uint64_t aRevision,
              const std::string& aKey)
{
  const auto last = LastChangeOf(aPorts.mTable, aRevision, aKey);
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

/// Settles an unknown outcome: the audit row of the revision is either ours,
/// or somebody else's (then ours can't take effect any more), or still absent.
TransactResult
Settle(const ControlPorts& aPorts, const AuditEntry& aEntry, Error aUnknown)
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

TransactResult
Transact(const ControlPorts& aPorts, const Attempt& aAttempt)
{
  TransactResult result = aPorts.mTable.mTransact(aAttempt.mTransaction);
  if (const Error* error = std::get_if<Error>(&result);
      error && error->mKind == ErrorKind::Unknown) {
    return Settle(aPorts, aAttempt.mEntry, *error);
  }
  return result;
}

} // namespace

Outcome<Acceptance>
CommitChange(const ControlPorts& aPorts,
             const Author& aAuthor,
             const ChangePlanner& aPlanner)
{
  constexpr int kMostAttempts = 20;
  Versions first;
  for (int i = 0; i < kMostAttempts; ++i) {
    // The revision is read first, so that the transaction fails if anything
    // the planner reads has changed since.
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
      return Acceptance{ ValueOf(revision), false, ValueOf(plan) };
    }
    if (const auto key = ChangedSince(first, ValueOf(plan))) {
      return ConflictError(aPorts, ValueOf(revision), *key);
    }
    for (const RowCondition& condition : ValueOf(plan).mConditions) {
      first.emplace(condition.mKey, condition.mVersion);
    }
    const TransactResult result = Transact(
      aPorts,
      MakeAttempt(
        aPorts, aAuthor, ValueOf(row), ValueOf(revision), ValueOf(plan)));
    if (std::holds_alternative<Committed>(result)) {
      return Acceptance{ ValueOf(revision) + 1, true, ValueOf(plan) };
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
NewIdentity()
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::random_device random;
  std::string identity;
  for (int i = 0; i < 16; ++i) {
    identity += kDigits[random() % 16];
  }
  return identity;
}

} // namespace paddle
