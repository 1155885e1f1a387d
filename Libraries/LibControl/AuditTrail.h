#pragma once

#include <cstdint>
#include <functional>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <LibTable/TablePort.h>
#include <LibTime/Outcome.h>

namespace paddle {

/// One committed change of the configuration, stored in the row
/// "audit/<revision>".
struct AuditEntry
{
  std::uint64_t mRevision = 0; ///< The revision that the change produced.
  std::string mTime;           ///< UTC, see TimeText().
  std::string mWho;            ///< Who made the change.
  std::string mWhat;           ///< For instance "press-desk version 3".
  std::string mWhy;            ///< Reason that the author gave; may be empty.
  std::string mId; ///< Random id of the attempt to commit the change.
  std::vector<std::string> mRows; ///< Keys of the rows that the change wrote.
  std::vector<std::string> mChanges; ///< For instance "slotsPerRunner: 8 -> 4".
};

/// @return the key "audit/<revision>"; the revision has 12 digits, so that keys
///         sort in the order of their revisions
std::string
AuditKey(std::uint64_t aRevision);

Json::Value
ToJson(const AuditEntry& aEntry);

Outcome<AuditEntry>
ParseAuditRow(const TableRow& aRow);

/// @return revision, time, author, object and reason in one line
std::string
Summary(const AuditEntry& aEntry);

/// Reads audit entries from the newest to the oldest, 50 rows per call to the
/// table service. Rows that have expired are left out.
/// @param aNewest the current revision
/// @param aMaxEntries the largest number of entries to return
/// @param aIsLast stops the reading at the first entry for which it returns
///        true; that entry is the last one returned
Outcome<std::vector<AuditEntry>>
ReadAuditNewestFirst(const TablePort& aTable,
                     std::uint64_t aNewest,
                     std::size_t aMaxEntries,
                     const std::function<bool(const AuditEntry&)>& aIsLast);

/// @param aNewest the current revision
/// @return the newest entry that wrote the row @p aKey, if it is among the
///         latest 500 entries
Outcome<std::optional<AuditEntry>>
LastChangeOfRow(const TablePort& aTable,
                std::uint64_t aNewest,
                const std::string& aKey);

} // namespace paddle
