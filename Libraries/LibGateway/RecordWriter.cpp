#include <LibGateway/RecordWriter.h>

#include <LibBase/Log.h>

namespace paddle {

namespace {

/// Two minutes of batches; about 30 MB at 1,000 requests a second.
constexpr std::size_t kMostBatches = 120;

/// A batch is stored early at this number of records, about 1 MB, to bound one
/// store request.
constexpr std::size_t kLargestBatch = 4000;

/// Object names sort by sequence, and a restarted process must not reuse one,
/// so the sequence starts with the wall clock.
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
    if (!last && records.size() < kLargestBatch &&
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

void
RecordWriter::AppendBatch(const std::vector<DecisionRecord>& aRecords)
{
  if (aRecords.empty()) {
    return;
  }
  if (mBatches.size() == kMostBatches) {
    mBatches.pop_front();
    mMetrics.Count("record_batches_dropped");
  }
  mBatches.push_back(
    { RecordObjectName(mMember, mSequence++), EncodeRecords(aRecords) });
}

bool
RecordWriter::StoreBatches()
{
  while (!mBatches.empty()) {
    const Batch& batch = mBatches.front();
    const auto stored = mObjects.mStore(batch.mName, batch.mBody);
    if (!Succeeded(stored)) {
      LogEvent(LogLevel::Warning,
               "records_not_stored",
               { { "error", ErrorOf(stored).mMessage },
                 { "batches", mBatches.size() } });
      return false;
    }
    mBatches.pop_front();
  }
  return true;
}

} // namespace paddle
