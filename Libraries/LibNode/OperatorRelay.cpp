#include <LibNode/OperatorRelay.h>

#include <algorithm>
#include <charconv>
#include <json/value.h>
#include <span>
#include <tuple>
#include <xxhash.h>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

/// Largest answer of a peer that is accepted. The largest answer of the store,
/// 8 MB in base64, holds as much.
constexpr std::size_t kMaxAnswerBytes = 6UL << 20;
/// Bounds of times in an answer; no process runs for longer than a month.
constexpr std::int64_t kMaxAnswerMs = 31LL * 24 * 3600 * 1000;
/// Fraction by which the clocks of two hosts may differ in rate, in percent.
constexpr std::int64_t kClockDriftPercent = 3;
/// Times in an answer are rounded, and their corrections as well.
constexpr Millis kRounding{ 2 };
constexpr std::string_view kRelayPath = "/operator-rows?after=";
constexpr std::string_view kLargeParameter = "&large=";
constexpr std::string_view kWaitParameter = "&wait_ms=";

std::uint64_t
NameHash(std::string_view aName)
{
  return XXH64(aName.data(), aName.size(), 0);
}

/// @return whether a follower asks the last reader first: half of them do, so
///         that the readers share the load
bool
AsksLastFirst(const NodeRow& aSelf)
{
  return NameHash(aSelf.mName) % 2 == 1;
}

bool
IsAvoided(const RelayState& aState,
          const std::string& aName,
          MonotonicTime aNow)
{
  const auto found = aState.mAvoidedUntil.find(aName);
  return found != aState.mAvoidedUntil.end() && aNow < found->second;
}

/// @return whether newer rows are known to be arriving, at this node or at its
///         peer
bool
IsTransferring(const RelayState& aState,
               const RelaySettings& aSettings,
               MonotonicTime aNow)
{
  if (aState.mTransferUntil && aNow < *aState.mTransferUntil) {
    return true;
  }
  return aState.mReceivingUntil && aNow < *aState.mReceivingUntil &&
         aState.mConfirmedAt &&
         aNow - *aState.mConfirmedAt < aSettings.mMaxReceivingAge;
}

/// @return the names of the nodes of this node's region that can be asked, in
///         the order of RankReaders()
std::vector<std::string>
RankNodes(const ClusterView& aView,
          const NodeRow& aSelf,
          const RelaySettings& aSettings,
          MonotonicTime aNow)
{
  using Rank = std::tuple<std::int64_t, std::uint64_t, std::string>;
  std::vector<Rank> ranks;
  const auto add = [&](const NodeRow& aNode) {
    if (!aNode.mPeerAddress.empty() && aNode.mRegion == aSelf.mRegion) {
      ranks.emplace_back(
        -aNode.mMilliCores, NameHash(aNode.mName), aNode.mName);
    }
  };
  for (const auto& [name, node] : aView.mNodes) {
    if (name != aSelf.mName &&
        aNow - node.mVersionSeenAt <= aSettings.mRowTimeout) {
      add(node.mRow);
    }
  }
  add(aSelf);
  std::sort(ranks.begin(), ranks.end());
  std::vector<std::string> names;
  names.reserve(ranks.size());
  for (Rank& rank : ranks) {
    names.push_back(std::move(std::get<2>(rank)));
  }
  return names;
}

/// @return the first @p aCount nodes that are neither avoided nor this one
std::vector<std::string>
FirstPeers(std::span<const std::string> aRanked,
           std::size_t aCount,
           const NodeRow& aSelf,
           const RelayState& aState,
           MonotonicTime aNow)
{
  std::vector<std::string> peers;
  for (const std::string& name : aRanked) {
    if (peers.size() < aCount && name != aSelf.mName &&
        !IsAvoided(aState, name, aNow)) {
      peers.push_back(name);
    }
  }
  return peers;
}

/// @param aRanked all nodes of the region
/// @return whether this node reads from the store if the readers fail. Nodes
///         that are late count like all others: on a full link all are late,
///         and would move up together.
bool
MayReplaceReaders(std::span<const std::string> aRanked,
                  const NodeRow& aSelf,
                  const RelayState& aState,
                  const RelaySettings& aSettings,
                  MonotonicTime aNow)
{
  if (aState.mUnusableInARow >= aSettings.mMaxUnusablePeers) {
    return true;
  }
  const auto self = std::find(aRanked.begin(), aRanked.end(), aSelf.mName);
  const auto ahead = static_cast<std::size_t>(
    std::count_if(aRanked.begin(), self, [&](const std::string& aName) {
      const auto found = aState.mUnusableUntil.find(aName);
      return found == aState.mUnusableUntil.end() || aNow >= found->second;
    }));
  std::size_t limit = aSettings.mMaxStoreReaders;
  if (aState.mConfirmedAt) {
    for (auto age = aNow - *aState.mConfirmedAt;
         age >= aSettings.mStoreReaderStep && limit < aRanked.size();
         age -= aSettings.mStoreReaderStep) {
      limit *= 2;
    }
  }
  return ahead < limit;
}

} // namespace

std::vector<std::string>
RankReaders(const ClusterView& aView,
            const NodeRow& aSelf,
            const RelaySettings& aSettings,
            MonotonicTime aNow)
{
  std::vector<std::string> names = RankNodes(aView, aSelf, aSettings, aNow);
  names.resize(std::min(names.size(), aSettings.mReaders));
  return names;
}

void
RecordPeerFault(RelayState& aState,
                const RelaySettings& aSettings,
                PeerFault aFault,
                MonotonicTime aNow)
{
  const auto over = [&](const auto& aEntry) { return aEntry.second <= aNow; };
  std::erase_if(aState.mAvoidedUntil, over);
  std::erase_if(aState.mUnusableUntil, over);
  const MonotonicTime until = aNow + aSettings.mAvoidTime;
  aState.mAvoidedUntil.insert_or_assign(aState.mPeer, until);
  if (aFault == PeerFault::Unusable) {
    aState.mUnusableUntil.insert_or_assign(aState.mPeer, until);
    ++aState.mUnusableInARow;
  }
  aState.mPeer.clear();
  aState.mTransferUntil.reset();
  aState.mReceivingUntil.reset();
}

void
RecordPeerAnswer(RelayState& aState)
{
  aState.mUnusableUntil.erase(aState.mPeer);
  aState.mUnusableInARow = 0;
}

bool
ShouldGiveUpPeer(const RelayState& aState,
                 const RelaySettings& aSettings,
                 MonotonicTime aNow)
{
  if (aState.mPeer.empty() || IsTransferring(aState, aSettings, aNow)) {
    return false;
  }
  const MonotonicTime confirmedAt =
    aState.mPeerConfirmedAt.value_or(MonotonicTime{});
  return aNow - std::max(confirmedAt, aState.mPeerSince) > aSettings.mMaxAge;
}

OperatorSource
ChooseSource(const ClusterView& aView,
             const NodeRow& aSelf,
             const RelayState& aState,
             const RelaySettings& aSettings,
             MonotonicTime aNow)
{
  OperatorSource source;
  if (aState.mCopyBytes < aSettings.mLargeBytes) {
    return source;
  }
  const std::vector<std::string> ranked =
    RankNodes(aView, aSelf, aSettings, aNow);
  if (ranked.empty()) {
    source.mCause = SourceCause::NoPeer;
    return source;
  }
  const std::size_t readerCount = std::min(ranked.size(), aSettings.mReaders);
  const std::span<const std::string> readers(ranked.data(), readerCount);
  const std::span<const std::string> others =
    std::span(ranked).subspan(readerCount);
  if (std::find(readers.begin(), readers.end(), aSelf.mName) != readers.end()) {
    source.mCause = SourceCause::Reader;
    return source;
  }
  const bool stale =
    (!aState.mConfirmedAt ||
     aNow - *aState.mConfirmedAt > aSettings.mMaxAge + aSettings.mStoreDelay +
                                     StoreReadDelay(aSelf, aSettings)) &&
    !IsTransferring(aState, aSettings, aNow);
  std::vector<std::string> peers =
    FirstPeers(readers, readerCount, aSelf, aState, aNow);
  std::vector<std::string> nextPeers =
    FirstPeers(others, aSettings.mReaders, aSelf, aState, aNow);
  const bool mayReadStore =
    nextPeers.empty() ||
    MayReplaceReaders(ranked, aSelf, aState, aSettings, aNow);
  if (peers.empty() && mayReadStore) {
    source.mCause = SourceCause::PeersFailed;
    return source;
  }
  source.mStore = stale && mayReadStore;
  source.mCause = source.mStore ? SourceCause::Stale : SourceCause::Follower;
  const bool leavesPeer =
    stale && (aState.mPeer.empty() ||
              aNow - aState.mPeerSince > aSettings.mMinTimeWithPeer);
  if (!mayReadStore && (leavesPeer || peers.empty())) {
    peers = std::move(nextPeers);
    source.mCause = SourceCause::NextReader;
  }
  const bool keepsPeer =
    std::find(peers.begin(), peers.end(), aState.mPeer) != peers.end();
  source.mPeer = keepsPeer              ? aState.mPeer
                 : AsksLastFirst(aSelf) ? peers.back()
                                        : peers.front();
  source.mAddress = aView.mNodes.at(source.mPeer).mRow.mPeerAddress;
  return source;
}

Millis
StoreReadDelay(const NodeRow& aSelf, const RelaySettings& aSettings)
{
  const auto steps = static_cast<std::uint64_t>(aSettings.mSpread.count()) + 1;
  return Millis(static_cast<Millis::rep>((NameHash(aSelf.mName) / 2) % steps));
}

std::optional<MonotonicTime>
ConfirmationTime(const RelayAnswer& aAnswer, MonotonicTime aSentAt)
{
  if (!aAnswer.mAge) {
    return {};
  }
  // The peer wrote the answer after it had held the request, and the request
  // can't have arrived before it was sent. The time that the answer took is not
  // known and does not count.
  return aSentAt + aAnswer.mHeld * (100 - kClockDriftPercent) / 100 -
         *aAnswer.mAge * (100 + kClockDriftPercent) / 100 - kRounding;
}

Millis
TransferTimeout(std::size_t aBytes, const RelaySettings& aSettings)
{
  return std::min(
    aSettings.mLongestTransfer,
    aSettings.mTransferTimeout +
      Millis(static_cast<Millis::rep>(aBytes / aSettings.mTransferBytesPerMs)));
}

std::string
FormatRelayRequest(const RelayRequest& aRequest)
{
  std::string text(kRelayPath);
  text += std::to_string(aRequest.mAfter);
  text += kLargeParameter;
  text += aRequest.mLargeRows ? '1' : '0';
  text += kWaitParameter;
  text += std::to_string(aRequest.mWait.count());
  return text;
}

std::optional<RelayRequest>
ParseRelayRequest(std::string_view aTarget)
{
  // Takes a number that follows a prefix from the front of the text.
  const auto take = [&aTarget](std::string_view aPrefix) {
    std::optional<std::int64_t> number;
    if (!aTarget.starts_with(aPrefix)) {
      return number;
    }
    aTarget.remove_prefix(aPrefix.size());
    std::int64_t value = 0;
    const char* const end = aTarget.data() + aTarget.size();
    const auto [rest, error] = std::from_chars(aTarget.data(), end, value);
    if (error == std::errc{} && value >= 0) {
      number = value;
      aTarget.remove_prefix(static_cast<std::size_t>(rest - aTarget.data()));
    }
    return number;
  };
  const std::optional<std::int64_t> after = take(kRelayPath);
  const std::optional<std::int64_t> large = take(kLargeParameter);
  const std::optional<std::int64_t> wait = take(kWaitParameter);
  if (!after || !large || !wait || *large > 1 || *wait > kMaxAnswerMs ||
      !aTarget.empty()) {
    return {};
  }
  return RelayRequest{ *after, *large == 1, Millis(*wait) };
}

bool
OthersRely(SourceCause aCause)
{
  return aCause == SourceCause::Reader || aCause == SourceCause::Stale ||
         aCause == SourceCause::PeersFailed;
}

std::string_view
NameOf(SourceCause aCause)
{
  switch (aCause) {
    case SourceCause::SmallCopy:
      return "small_copy";
    case SourceCause::Reader:
      return "reader";
    case SourceCause::Follower:
      return "follower";
    case SourceCause::NoPeer:
      return "no_peer";
    case SourceCause::NextReader:
      return "next_reader";
    case SourceCause::PeersFailed:
      return "peers_failed";
    case SourceCause::Stale:
      return "stale";
  }
  return "unknown";
}

std::string
FormatRelayAnswer(const RelayAnswer& aAnswer)
{
  Json::Value head(Json::objectValue);
  if (aAnswer.mAge) {
    head["age_ms"] = Json::Int64(aAnswer.mAge->count());
  }
  head["held_ms"] = Json::Int64(aAnswer.mHeld.count());
  head["receiving"] = aAnswer.mReceiving;
  head["omitted_bytes"] = Json::UInt64(aAnswer.mOmittedBytes);
  head["version"] = Json::Int64(aAnswer.mRows.mVersion);
  if (aAnswer.mRows.mListsKeys) {
    Json::Value keys(Json::arrayValue);
    for (const std::string& key : aAnswer.mRows.mKeys) {
      keys.append(key);
    }
    head["keys"] = keys;
  }
  Json::Value rows(Json::arrayValue);
  for (const StoreRow& row : aAnswer.mRows.mRows) {
    Json::Value entry(Json::objectValue);
    entry["key"] = row.mKey;
    entry["version"] = Json::Int64(row.mVersion);
    entry["removed"] = row.mRemoved;
    entry["bytes"] = Json::UInt64(row.mValue.size());
    rows.append(entry);
  }
  head["rows"] = rows;
  std::string text = WriteJson(head);
  text += '\n';
  for (const StoreRow& row : aAnswer.mRows.mRows) {
    text += row.mValue;
  }
  return text;
}

Outcome<RelayAnswer>
ParseRelayAnswer(std::string_view aBody)
{
  const auto refuse = [](const std::string& aCause) {
    return Error{ ErrorKind::InvalidInput, aCause };
  };
  if (aBody.size() > kMaxAnswerBytes) {
    return refuse("too_large");
  }
  const std::size_t end = aBody.find('\n');
  if (end == std::string_view::npos) {
    return refuse("no_header");
  }
  const std::optional<Json::Value> head = ParseJsonObject(aBody.substr(0, end));
  if (!head) {
    return refuse("unreadable_header");
  }
  aBody.remove_prefix(end + 1);
  const auto isTime = [](const Json::Value& aValue) {
    return aValue.isInt64() && aValue.asInt64() >= 0 &&
           aValue.asInt64() <= kMaxAnswerMs;
  };
  const Json::Value& age = (*head)["age_ms"];
  const Json::Value& held = (*head)["held_ms"];
  const Json::Value& receiving = (*head)["receiving"];
  const Json::Value& omitted = (*head)["omitted_bytes"];
  const Json::Value& version = (*head)["version"];
  const Json::Value& keys = (*head)["keys"];
  const Json::Value& rows = (*head)["rows"];
  if ((!age.isNull() && !isTime(age)) || !isTime(held) || !receiving.isBool() ||
      !omitted.isUInt64() || !version.isInt64() || version.asInt64() < 0 ||
      (!keys.isNull() && !keys.isArray()) || !rows.isArray()) {
    return refuse("malformed_header");
  }
  RelayAnswer answer;
  if (!age.isNull()) {
    answer.mAge = Millis(age.asInt64());
  }
  answer.mHeld = Millis(held.asInt64());
  answer.mReceiving = receiving.asBool();
  answer.mOmittedBytes = omitted.asUInt64();
  answer.mRows.mVersion = version.asInt64();
  answer.mRows.mListsKeys = keys.isArray();
  for (const Json::Value& key : keys) {
    if (!key.isString()) {
      return refuse("malformed_key");
    }
    answer.mRows.mKeys.push_back(key.asString());
  }
  for (const Json::Value& entry : rows) {
    if (!entry.isObject() || !entry["key"].isString() ||
        !entry["version"].isInt64() || entry["version"].asInt64() < 0 ||
        !entry["removed"].isBool() || !entry["bytes"].isUInt64() ||
        entry["bytes"].asUInt64() > aBody.size()) {
      return refuse("malformed_row");
    }
    StoreRow row;
    row.mKey = entry["key"].asString();
    row.mVersion = entry["version"].asInt64();
    row.mRemoved = entry["removed"].asBool();
    row.mValue = aBody.substr(0, entry["bytes"].asUInt64());
    aBody.remove_prefix(row.mValue.size());
    answer.mRows.mRows.push_back(std::move(row));
  }
  if (!aBody.empty()) {
    return refuse("excess_bytes");
  }
  return answer;
}

} // namespace paddle
