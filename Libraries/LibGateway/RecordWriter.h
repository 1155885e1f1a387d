#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

#include <LibBase/Metrics.h>
#include <LibBase/Ring.h>
#include <LibGateway/GatewaySettings.h>
#include <LibGateway/RequestRecord.h>
#include <LibTable/ObjectPort.h>

namespace paddle {

/// Stores decision records in batches; runs one thread. While the object
/// store can't be reached, a bounded number of batches is kept.
class RecordWriter
{
public:
  RecordWriter(const GatewaySettings& aSettings,
               ObjectPort aObjects,
               Metrics& aMetrics);
  /// Stores what is left, if the store can be reached.
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Keeps a record; drops and counts it when the ring is full.
  void Add(RequestRecord aRecord);

private:
  void Run();
  void AppendBatch(const std::vector<DecisionRecord>& aRecords);
  /// @return whether nothing is left to store
  bool StoreBatches();

  struct Batch
  {
    std::string mName;
    std::string mBody;
  };

  const std::string mMember;
  const Millis mInterval;
  ObjectPort mObjects;
  Metrics& mMetrics;
  Ring<RequestRecord> mRing;
  std::deque<Batch> mBatches;
  std::uint64_t mSequence;
  std::thread mThread;
};

} // namespace paddle
