#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <LibDocument/DecisionRecord.h>
#include <LibTable/ObjectPort.h>

namespace paddle {

/// Selects the decision records to read.
struct RecordWindow
{
  /// Earlier records are left out.
  std::chrono::system_clock::time_point mSince;
  /// Name of the process whose records are read; empty for all processes.
  std::string mMember;
  /// Largest number of batches to read per process, starting with the newest. A
  /// process writes about one batch per second.
  std::uint64_t mMaxBatches = 600;
};

/// The records that were found in a window.
struct RecordsRead
{
  std::vector<DecisionRecord> mRecords; ///< Oldest first.
  std::uint64_t mBatches = 0;           ///< Number of batches read.
  /// False if older batches were left out because of mMaxBatches.
  bool mComplete = true;
};

/// Reads decision records from the object store.
/// @param aIsWanted selects the records to return
Outcome<RecordsRead>
ReadRecords(const ObjectPort& aObjects,
            const RecordWindow& aWindow,
            const std::function<bool(const DecisionRecord&)>& aIsWanted);

} // namespace paddle
