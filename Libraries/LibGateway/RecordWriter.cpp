#include <LibGateway/RecordWriter.h>

#include <LibBase/Log.h>

namespace paddle {

namespace {

/// Number of batches that are kept while the object store can't be reached.
/// With one batch per second they cover two minutes, which takes about 30 MB at
/// 1,000 requests per second.
constexpr std::size_t kMaxPendingBatches = 120;

/// A batch with this number of records, about 1 MB, is stored before the
/// interval has passed, to bound the size of one store request.
constexpr std::size_t kMaxRecordsPerBatch = 4000;

/// @return the first sequence number, the wall-clock time in milliseconds.
///         Names of objects contain the sequence number and sort by it, and a
///         restarted process must not use a name again.
std::uint64_t
FirstSequence()
{
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<Millis>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

} // namespace

RecordWriter::RecordWriter(const GatewaySettings& aSettings,
                           ObjectPort aObjects,
                           Metrics& aMetrics)
  : mMember(aSettings.mSelf.mName)
  , mInterval(aSettings.mRecordInterval)
  , mObjects(std::move(aObjects))
  , mMetrics(aMetrics)
  , mRing(aSettings.mRecordCapacity)
  , mSequence(FirstSequence())
  , mThread([this] { Run(); })
{
}

RecordWriter::~RecordWriter()
{
  mRing.Close();
  mThread.join();
}

void
RecordWriter::Add(RequestRecord aRecord)
{
  if (mRing.TryPush(std::move(aRecord)) != PushResult::Accepted) {
    mMetrics.Count("records_dropped");
  }
}

void
RecordWriter::Run()
{
  std::vector<DecisionRecord> records;
  MonotonicTime next = std::chrono::steady_clock::now() + mInterval;
  for (;;) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    const auto left = std::chrono::duration_cast<Micros>(next - now);
    const auto record = mRing.Pop(std::max(left, Micros(0)));
    if (record) {
      records.push_back(ToDecisionRecord(*record, mMember));
    }
    const bool last = !record && mRing.Closed();
    if (!last && records.size() < kMaxRecordsPerBatch &&
        std::chrono::steady_clock::now() < next) {
      continue;
    }
    AppendBatch(records);
    records.clear();
    StoreBatches();
    if (last) {
      return;
    }
    next = std::chrono::steady_clock::now() + mInterval;
  }
}

/// Appends the records as a pending batch; drops the oldest one if there are
/// too many.
void
RecordWriter::AppendBatch(const std::vector<DecisionRecord>& aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  if (mPendingBatches.size() == kMaxPendingBatches) {
    mPendingBatches.pop_front();
    mMetrics.Count("record_batches_dropped");
  }
  mPendingBatches.push_back(
    { RecordObjectName(mMember, mSequence++), EncodeRecords(aRecords) });
}

bool
RecordWriter::StoreBatches()
{
  while (!mPendingBatches.empty()) {
    const Batch& batch = mPendingBatches.front();
    const auto stored = mObjects.mStore(batch.mName, batch.mBody);
    if (!Succeeded(stored)) {
      LogEvent(LogLevel::Warning,
               "records_not_stored",
               { { "error", ErrorOf(stored).mMessage },
                 { "batches", mPendingBatches.size() } });
      return false;
    }
    mPendingBatches.pop_front();
  }
  return true;
}

} // namespace paddle
