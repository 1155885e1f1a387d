#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

#include <LibAsyncHttp/Deadlines.h>
#include <LibNode/ReadTimeoutBackOff.h>
#include <LibTime/Time.h>

#include <CppUTest/TestHarness.h>

using namespace paddle;

namespace {

/// First time-outs of the store's client: until the first byte of a read, and
/// between bytes.
constexpr Millis kFirstByte{ 1200 };
constexpr Millis kStall{ 1000 };
/// An answer of the store with a configuration of 4,245 routes.
constexpr std::size_t kAnswerBytes = 1'400'000;
/// Bytes that a connection carries before the receiver must have acknowledged
/// them.
constexpr std::size_t kWindowBytes = 256'000;

} // namespace

/// Nodes that start at the same time and read the same rows over one link,
/// which carries one byte after the other, also those of reads that were given
/// up.
TEST_GROUP(ReadTimeoutBackOff)
{
  struct Reader
  {
    ReadTimeoutBackOff mTimeoutFactor;
    Millis mRetryDelay{ 0 };
    std::size_t mArrived = 0;
    bool mDone = false;
  };

  Deadlines mDeadlines;
  MonotonicTime mNow{ Seconds(1000) };
  MonotonicTime mLinkFreeAt = mNow;
  std::size_t mBytesPerMs = 2500; ///< 20 Mbit/s.
  bool mGrows = true;             ///< Repeated reads wait longer.
  std::vector<Reader> mReaders;

  void At(MonotonicTime aTime, const std::function<void()>& aAction)
  {
    mDeadlines.Add(aTime, [this, aTime, aAction] {
      mNow = aTime;
      aAction();
    });
  }

  void Read(Reader & aReader)
  {
    aReader.mArrived = 0;
    SendWindow(aReader, mNow + aReader.mTimeoutFactor.mFactor * kFirstByte);
  }

  /// @param aExpiresAt when the read is given up without a further byte
  void SendWindow(Reader & aReader, MonotonicTime aExpiresAt)
  {
    const std::size_t bytes =
      std::min(kWindowBytes, kAnswerBytes - aReader.mArrived);
    const MonotonicTime begin = std::max(mNow, mLinkFreeAt);
    mLinkFreeAt = begin + Millis(static_cast<Millis::rep>(bytes / mBytesPerMs));
    if (begin > aExpiresAt) {
      At(aExpiresAt, [this, &aReader] {
        if (mGrows) {
          RecordReadEnd(aReader.mTimeoutFactor, ReadEnd::Late);
        }
        At(mNow + aReader.mRetryDelay, [this, &aReader] { Read(aReader); });
      });
      return;
    }
    At(mLinkFreeAt, [this, &aReader, bytes] {
      aReader.mArrived += bytes;
      if (aReader.mArrived == kAnswerBytes) {
        aReader.mDone = true;
        return;
      }
      SendWindow(aReader, mNow + aReader.mTimeoutFactor.mFactor * kStall);
    });
  }

  /// Lets nodes read for a while.
  /// @return how many of them have got the rows
  std::int64_t Finished(std::size_t aNodes, Millis aTime)
  {
    mDeadlines = {};
    mLinkFreeAt = mNow;
    mReaders.assign(aNodes, {});
    const MonotonicTime end = mNow + aTime;
    for (std::size_t i = 0; i < aNodes; ++i) {
      // Longest delays before the repetitions, which differ between nodes.
      mReaders[i].mRetryDelay = Millis(900 + 450 * i / aNodes);
      At(mNow, [this, i] { Read(mReaders[i]); });
    }
    mDeadlines.Expire(end);
    return std::count_if(mReaders.begin(),
                         mReaders.end(),
                         [](const Reader& aReader) { return aReader.mDone; });
  }
};

// Guards against time-outs that don't grow, grow without bound, or stay long
// when reads succeed again.
TEST(ReadTimeoutBackOff, GrowsWithLateReadsOnly)
{
  ReadTimeoutBackOff backOff;
  for (const std::uint32_t factor : { 1, 2, 4, 4 }) {
    UNSIGNED_LONGS_EQUAL(factor, backOff.mFactor);
    // A refused connection says nothing about the link.
    RecordReadEnd(backOff, ReadEnd::Broken);
    UNSIGNED_LONGS_EQUAL(factor, backOff.mFactor);
    RecordReadEnd(backOff, ReadEnd::Late);
  }
  RecordReadEnd(backOff, ReadEnd::Answered);
  UNSIGNED_LONGS_EQUAL(1, backOff.mFactor);
}

// Guards against reads that repeat themselves for ever after nodes of a region
// have started together: all of them read from the store. Without waste the
// link takes 10 s for 18 answers.
TEST(ReadTimeoutBackOff, ReadsOfARegionOverAFullLinkEnd)
{
  LONGS_EQUAL(18, Finished(18, Seconds(20)));
  // Fixed time-outs are what kept the link full.
  mGrows = false;
  CHECK_TRUE(Finished(18, Seconds(60)) < 18);
}
