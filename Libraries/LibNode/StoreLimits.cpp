#include <LibNode/StoreLimits.h>

#include <algorithm>
#include <utility>

namespace paddle {

namespace {

/// Bytes of an entry in a message beside its names and value: the names and
/// quotes of its members, and a version of up to 20 digits.
constexpr std::size_t kEntryBytes = 80;
/// Bytes of a message beside its entries.
constexpr std::size_t kMessageOverhead = 80;

template<typename Entry>
std::size_t
NameBytes(const Entry& aEntry)
{
  return aEntry.mTable.size() + aEntry.mPartition.size() + aEntry.mKey.size();
}

/// @return the length of the value in base64
std::size_t
EncodedBytes(const std::string& aValue)
{
  return (aValue.size() + 2) / 3 * 4;
}

std::size_t
EntriesOf(const StoreTransaction& aTransaction)
{
  return aTransaction.mChecks.size() + aTransaction.mPuts.size() +
         aTransaction.mRemovals.size();
}

template<typename Entry>
std::optional<LimitViolation>
FindLongName(const std::vector<Entry>& aEntries, const StoreLimits& aLimits)
{
  for (const Entry& entry : aEntries) {
    const std::size_t longest = std::max(
      { entry.mTable.size(), entry.mPartition.size(), entry.mKey.size() });
    if (longest > aLimits.mNameBytes) {
      return LimitViolation{ "name_bytes",
                             entry.mTable + "/" + entry.mKey,
                             longest,
                             aLimits.mNameBytes };
    }
  }
  return {};
}

} // namespace

std::size_t
MessageBytes(const StoreTransaction& aTransaction)
{
  std::size_t bytes = kMessageOverhead;
  for (const StoreCheck& check : aTransaction.mChecks) {
    bytes += kEntryBytes + NameBytes(check);
  }
  for (const StoreRow& row : aTransaction.mPuts) {
    bytes += kEntryBytes + NameBytes(row) + EncodedBytes(row.mValue);
  }
  for (const StoreKey& key : aTransaction.mRemovals) {
    bytes += kEntryBytes + NameBytes(key);
  }
  return bytes;
}

std::optional<LimitViolation>
FindLimitViolation(const StoreTransaction& aTransaction,
                   const StoreLimits& aLimits)
{
  for (const StoreRow& row : aTransaction.mPuts) {
    if (row.mValue.size() > aLimits.mRowBytes) {
      return LimitViolation{ "row_bytes",
                             row.mTable + "/" + row.mKey,
                             row.mValue.size(),
                             aLimits.mRowBytes };
    }
  }
  for (const auto& longName :
       { FindLongName(aTransaction.mChecks, aLimits),
         FindLongName(aTransaction.mPuts, aLimits),
         FindLongName(aTransaction.mRemovals, aLimits) }) {
    if (longName) {
      return longName;
    }
  }
  const std::size_t entries = EntriesOf(aTransaction);
  if (entries > aLimits.mEntries) {
    return LimitViolation{ "entries", {}, entries, aLimits.mEntries };
  }
  const std::size_t bytes = MessageBytes(aTransaction);
  if (bytes > aLimits.mMessageBytes) {
    return LimitViolation{ "message_bytes", {}, bytes, aLimits.mMessageBytes };
  }
  return {};
}

bool
CountPart(TransactionSize& aSize,
          const StoreTransaction& aPart,
          const StoreLimits& aLimits)
{
  const std::size_t entries = aSize.mEntries + EntriesOf(aPart);
  const std::size_t bytes = aSize.mMessageBytes + MessageBytes(aPart);
  const bool first = aSize.mEntries == 0;
  if (!first && (entries > aLimits.mEntries || bytes > aLimits.mMessageBytes)) {
    return false;
  }
  aSize = { entries, bytes };
  return true;
}

std::string
FormatLimitViolation(const LimitViolation& aViolation)
{
  return "bound=" + aViolation.mBound +
         (aViolation.mRow.empty() ? "" : " row=" + aViolation.mRow) +
         " size=" + std::to_string(aViolation.mSize) +
         " limit=" + std::to_string(aViolation.mLimit);
}

} // namespace paddle
