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

/// Writes decision records to the object store in batches. Runs one thread.
/// While the object store can't be reached, it keeps a limited number of
/// batches and drops the oldest beyond that.
class RecordWriter
{
public:
  RecordWriter(const GatewaySettings& aSettings,
               ObjectPort aObjects,
               Metrics& aMetrics);
  /// Stores the remaining records if the object store can be reached.
  ~RecordWriter();
  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Queues a record. When the queue is full, the record is dropped and
  /// counted.
  void Add(RequestRecord aRecord);

private:
  void Run();
  void AppendBatch(const std::vector<DecisionRecord>& aRecords);
  /// Stores the pending batches in order, until one can't be stored.
  /// @return whether all of them have been stored
  bool StoreBatches();

  struct Batch
  {
    std::string mName; ///< The object's name in the store.
    std::string mBody;
  };

  const std::string mMember;
  const Millis mInterval;
  ObjectPort mObjects;
  Metrics& mMetrics;
  Ring<RequestRecord> mRing;
  std::deque<Batch> mPendingBatches;
  std::uint64_t mSequence; ///< The sequence number of the next batch.
  std::thread mThread;
};

} // namespace paddle
