#include <LibGateway/RecordWriter.h>

#include <LibBase/Log.h>

namespace paddle {

namespace {

/// Two minutes of batches; about 30 MB at 1,000 requests a second.
constexpr std::size_t kMostBatches = 120;

/// A batch is stored early at this size, to bound one store request.
constexpr std::size_t kLargestBatch = 1 << 20;

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
  : mPrefix("record/" + aSettings.mSelf.mName + "/")
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
RecordWriter::Add(DecisionRecord aRecord)
{
  if (mRing.TryPush(std::move(aRecord)) != PushResult::Accepted) {
    mMetrics.Count("records_dropped");
  }
}

void
RecordWriter::Run()
{
  std::string body;
  MonotonicTime next = std::chrono::steady_clock::now() + mInterval;
  for (;;) {
    const MonotonicTime now = std::chrono::steady_clock::now();
    const auto left = std::chrono::duration_cast<Micros>(next - now);
    const auto record = mRing.Pop(std::max(left, Micros(0)));
    if (record) {
      body += FormatRecord(*record);
      body += '\n';
    }
    const bool last = !record && mRing.Closed();
    if (!last && body.size() < kLargestBatch &&
        std::chrono::steady_clock::now() < next) {
      continue;
    }
    AppendBatch(std::move(body));
    body.clear();
    StoreBatches();
    if (last) {
      return;
    }
    next = std::chrono::steady_clock::now() + mInterval;
  }
}

void
RecordWriter::AppendBatch(std::string aBody)
{
  if (aBody.empty()) {
    return;
  }
  if (mBatches.size() == kMostBatches) {
    mBatches.pop_front();
    mMetrics.Count("record_batches_dropped");
  }
  mBatches.push_back(
    { mPrefix + std::to_string(mSequence++), std::move(aBody) });
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
