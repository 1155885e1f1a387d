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

/// One accepted change of the configuration, row "audit/<revision>".
struct AuditEntry
{
  std::uint64_t mRevision = 0;
  std::string mTime; ///< UTC, see TimeText().
  std::string mWho;
  std::string mWhat; ///< For instance "apply press-desk version 3".
  std::string mWhy;
  std::string mId;                   ///< Differs for each attempted change.
  std::vector<std::string> mRows;    ///< Keys of the rows it wrote.
  std::vector<std::string> mChanges; ///< For instance "slotsPerRunner: 8 -> 4".
};

/// @return "audit/<revision, 12 digits>"
std::string
AuditKey(std::uint64_t aRevision);

Json::Value
ToJson(const AuditEntry& aEntry);

Outcome<AuditEntry>
ParseAuditRow(const TableRow& aRow);

/// @return the entry in one line, without its changes
std::string
Summary(const AuditEntry& aEntry);

/// Reads the entries from the newest back, in steps of a few rows.
/// @param aNewest the current revision
/// @param aMost how many entries to read at most
/// @param aStop ends the reading at the first entry for which it holds; that
///              entry is the last one returned
Outcome<std::vector<AuditEntry>>
ReadAuditBack(const TablePort& aTable,
              std::uint64_t aNewest,
              std::size_t aMost,
              const std::function<bool(const AuditEntry&)>& aStop);

/// @return the newest entry that wrote a row, if it is among the latest 500
Outcome<std::optional<AuditEntry>>
LastChangeOf(const TablePort& aTable,
             std::uint64_t aNewest,
             const std::string& aKey);

} // namespace paddle
