#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <LibDocument/DecisionRecord.h>
#include <LibTable/ObjectPort.h>

namespace paddle {

/// Which decision records to read.
struct RecordWindow
{
  std::chrono::system_clock::time_point mSince; ///< Earlier ones are left out.
  std::string mMember;              ///< Of this process only; empty: of all.
  std::uint64_t mMostBatches = 600; ///< Per process, from the newest back.
};

/// The records of a window.
struct RecordsRead
{
  std::vector<DecisionRecord> mRecords; ///< By time, oldest first.
  std::uint64_t mBatches = 0;           ///< Objects read.
  bool mComplete = true; ///< Whether mMostBatches did not end the reading.
};

/// Reads the records for which @p aWanted holds from the object store.
Outcome<RecordsRead>
ReadRecords(const ObjectPort& aObjects,
            const RecordWindow& aWindow,
            const std::function<bool(const DecisionRecord&)>& aWanted);

} // namespace paddle
