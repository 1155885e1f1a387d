#include <LibAsyncHttp/ConnectionBudget.h>

#include <algorithm>
#include <tuple>

namespace paddle {

namespace {

/// Part of the host's memory that connections may take.
constexpr std::size_t kMemoryDivisor = 8;
/// Part of the descriptors that connections may take.
constexpr std::size_t kDescriptorDivisor = 2;

/// @return the memory that is assumed for a request that is being handled
std::size_t
HandlingBytes(std::size_t aBodyBytes)
{
  return kConnectionBytes + kHandlingBytesPerBodyByte * aBodyBytes;
}

} // namespace

BudgetLimits
BudgetOf(std::optional<std::size_t> aMemoryBytes,
         std::optional<std::size_t> aDescriptors)
{
  BudgetLimits limits;
  if (aMemoryBytes) {
    limits.mBytes = std::max(*aMemoryBytes / kMemoryDivisor, kMinBudgetBytes);
  }
  if (aDescriptors) {
    limits.mConnections =
      std::max<std::size_t>(*aDescriptors / kDescriptorDivisor, 1);
  }
  return limits;
}

ConnectionBudget::ConnectionBudget(const BudgetLimits& aLimits)
  : mLimits(aLimits)
{
}

void
ConnectionBudget::SetLimits(const BudgetLimits& aLimits)
{
  mLimits = aLimits;
  Enforce();
}

std::optional<ConnectionBudget::Id>
ConnectionBudget::Add(MonotonicTime aNow, std::function<void()> aClose)
{
  while (mEntries.size() >= mLimits.mConnections) {
    auto oldest = mEntries.cend();
    for (auto i = mEntries.cbegin(); i != mEntries.cend(); ++i) {
      const ConnectionUse& use = i->second.mUse;
      if (use.mPhase == ConnectionPhase::Waiting &&
          (oldest == mEntries.cend() ||
           use.mWaitingSince < oldest->second.mUse.mWaitingSince)) {
        oldest = i;
      }
    }
    if (oldest == mEntries.cend()) {
      ++mCounts.mNotAccepted;
      return {};
    }
    ++mCounts.mClosedForOthers;
    Close(oldest);
  }
  const Id id = ++mLastId;
  Entry& entry = mEntries[id];
  entry.mUse.mWaitingSince = aNow;
  entry.mClose = std::move(aClose);
  Count(entry.mUse);
  Enforce();
  return id;
}

void
ConnectionBudget::Remove(Id aConnection)
{
  const auto found = mEntries.find(aConnection);
  if (found != mEntries.end()) {
    Uncount(found->second.mUse);
    mEntries.erase(found);
  }
}

void
ConnectionBudget::Update(Id aConnection, const ConnectionUse& aUse)
{
  const auto found = mEntries.find(aConnection);
  if (found == mEntries.end()) {
    return;
  }
  Uncount(found->second.mUse);
  found->second.mUse = aUse;
  Count(aUse);
  Enforce();
}

bool
ConnectionBudget::BeginHandling(std::size_t aBodyBytes)
{
  const std::size_t bytes = HandlingBytes(aBodyBytes);
  if (mHandledRequestBytes > 0 &&
      mHandledRequestBytes + bytes > mLimits.mBytes) {
    ++mCounts.mNotBegun;
    return false;
  }
  mHandledRequestBytes += bytes;
  return true;
}

void
ConnectionBudget::EndHandling(std::size_t aBodyBytes)
{
  mHandledRequestBytes -= HandlingBytes(aBodyBytes);
}

bool
ConnectionBudget::MayReadAhead() const
{
  return BufferedBytes() <= mLimits.mBytes / 2;
}

std::size_t
ConnectionBudget::BufferedBytes() const
{
  return mWaitingBytes + mReplyingBytes + mHandlingBytes;
}

std::size_t&
ConnectionBudget::BytesIn(ConnectionPhase aPhase)
{
  return aPhase == ConnectionPhase::Waiting    ? mWaitingBytes
         : aPhase == ConnectionPhase::Replying ? mReplyingBytes
                                               : mHandlingBytes;
}

void
ConnectionBudget::Count(const ConnectionUse& aUse)
{
  BytesIn(aUse.mPhase) += kConnectionBytes + aUse.mBufferedBytes;
}

void
ConnectionBudget::Uncount(const ConnectionUse& aUse)
{
  BytesIn(aUse.mPhase) -= kConnectionBytes + aUse.mBufferedBytes;
}

ConnectionBudget::Entries::const_iterator
ConnectionBudget::ChooseByBytes() const
{
  const ConnectionPhase first =
    mReplyingBytes > mLimits.mBytes / 2 && mWaitingBytes <= mLimits.mBytes / 2
      ? ConnectionPhase::Replying
      : ConnectionPhase::Waiting;
  const auto rank = [first](const ConnectionUse& aUse) {
    // The least is closed first.
    const int order = aUse.mPhase == first                       ? 0
                      : aUse.mPhase == ConnectionPhase::Handling ? 2
                                                                 : 1;
    return std::make_tuple(
      order, SIZE_MAX - aUse.mBufferedBytes, aUse.mWaitingSince);
  };
  return std::min_element(mEntries.cbegin(),
                          mEntries.cend(),
                          [&](const auto& aOne, const auto& aTwo) {
                            return rank(aOne.second.mUse) <
                                   rank(aTwo.second.mUse);
                          });
}

void
ConnectionBudget::Enforce()
{
  while (BufferedBytes() > mLimits.mBytes && !mEntries.empty()) {
    ++mCounts.mClosedForMemory;
    Close(ChooseByBytes());
  }
}

void
ConnectionBudget::Close(Entries::const_iterator aEntry)
{
  const std::function<void()> close = aEntry->second.mClose;
  Remove(aEntry->first);
  close();
}

} // namespace paddle
