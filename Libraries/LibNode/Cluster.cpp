#include <LibNode/Cluster.h>

#include <algorithm>
#include <cmath>
#include <json/value.h>
#include <memory>
#include <set>
#include <tuple>
#include <utility>
#include <vector>
#include <xxhash.h>

#include <LibBase/JsonReader.h>
#include <LibDispatch/FencingTokens.h>

namespace paddle {

namespace {

constexpr std::string_view kShardPrefix = "shard/";
// Members of the shard's row, see ShardRow.
constexpr const char* kCommonLeasesEnd = "common_leases_end_ms";
constexpr const char* kRunnerLeasesEnd = "runner_leases_end_ms";

std::optional<NodeRow>
ParseNodeRow(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return {};
  }
  NodeRow row;
  row.mName = (*value)["name"].asString();
  row.mDataCentre = (*value)["data_centre"].asString();
  row.mRegion = (*value)["region"].asString();
  row.mIncarnation = (*value)["incarnation"].asInt64();
  row.mMilliCores = (*value)["milli_cores"].asInt64();
  row.mLinkMbps = (*value)["link_mbps"].asInt64();
  row.mHeartbeatCount = (*value)["beat"].asUInt64();
  row.mPeerAddress = (*value)["peer_address"].asString();
  row.mKnowsParts = (*value)["parts"].asBool();
  return row;
}

/// Stores a row that was read in @p aMap. A row whose version is unchanged
/// keeps the time at which this version was first seen.
template<typename Key, typename T>
void
Observe(std::map<Key, Observed<T>>& aMap,
        const Key& aKey,
        T aRow,
        std::int64_t aVersion,
        MonotonicTime aNow)
{
  const auto found = aMap.find(aKey);
  if (found != aMap.end() && found->second.mVersion == aVersion) {
    return;
  }
  const MonotonicTime firstSeenAt =
    found != aMap.end() ? found->second.mFirstSeenAt : aNow;
  aMap.insert_or_assign(
    aKey, Observed<T>{ std::move(aRow), aVersion, aNow, firstSeenAt });
}

/// @return a hash of a shard and a node, which decides between nodes with the
///         same processor time
std::uint64_t
ShardNodeHash(std::uint32_t aShard, std::string_view aNode)
{
  return XXH64(aNode.data(), aNode.size(), aShard);
}

/// @return the processor time that a node would have for each of its shards if
///         it owned @p aShard too, in thousandths of a core
std::int64_t
MilliCoresPerShard(const ClusterView& aView,
                   std::uint32_t aShard,
                   const NodeRow& aNode)
{
  const auto owned = std::count_if(
    aView.mShardRows.begin(), aView.mShardRows.end(), [&](const auto& aEntry) {
      return aEntry.second.mRow.mOwner == aNode.mName && aEntry.first != aShard;
    });
  return aNode.mMilliCores / (owned + 1);
}

/// @return whether @p aSelf has so much less processor time than @p aOther that
///         it leaves the shard to it
bool
IsMuchSmallerThan(const ClusterView& aView,
                  std::uint32_t aShard,
                  const NodeRow& aSelf,
                  const NodeRow& aOther,
                  const ClaimSettings& aSettings)
{
  return static_cast<double>(MilliCoresPerShard(aView, aShard, aSelf)) <
         aSettings.mSmallNodeFraction *
           static_cast<double>(MilliCoresPerShard(aView, aShard, aOther));
}

/// @return whether any node that has been seen has so much more processor time
///         that @p aSelf leaves the shard to it
bool
IsSmallNode(const ClusterView& aView,
            std::uint32_t aShard,
            const NodeRow& aSelf,
            const ClaimSettings& aSettings)
{
  return std::any_of(
    aView.mNodes.begin(), aView.mNodes.end(), [&](const auto& aEntry) {
      return IsMuchSmallerThan(
        aView, aShard, aSelf, aEntry.second.mRow, aSettings);
    });
}

/// @return the names of the candidates for a shard, the best first: nodes with
///         more processor time for each shard that they would own, and among
///         equal nodes those with the lower ShardNodeHash()
std::vector<std::string>
RankCandidates(const ClusterView& aView,
               std::uint32_t aShard,
               const NodeRow& aSelf,
               const ClaimSettings& aSettings,
               MonotonicTime aNow)
{
  struct Candidate
  {
    std::int64_t mNegatedMilliCores = 0;
    std::uint64_t mNodeHash = 0;
    std::string mName;
  };
  std::vector<Candidate> candidates;
  const auto add = [&](const NodeRow& aNode) {
    candidates.push_back({ -MilliCoresPerShard(aView, aShard, aNode),
                           ShardNodeHash(aShard, aNode.mName),
                           aNode.mName });
  };
  for (const auto& [name, node] : aView.mNodes) {
    if (name != aSelf.mName &&
        aNow - node.mVersionSeenAt <= aSettings.mNodeTimeout) {
      add(node.mRow);
    }
  }
  add(aSelf);
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aFirst, const Candidate& aSecond) {
              return std::tie(aFirst.mNegatedMilliCores, aFirst.mNodeHash) <
                     std::tie(aSecond.mNegatedMilliCores, aSecond.mNodeHash);
            });
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    names.push_back(std::move(candidate.mName));
  }
  return names;
}

/// @return the numbers of pending jobs, by queue, that fit into a number of
///         bytes: the highest, and equal ones by name
Json::Value
LargestPending(const std::map<std::string, std::uint64_t>& aPending,
               std::size_t aBytes)
{
  constexpr std::size_t kSeparatorBytes = 2;
  std::vector<std::pair<std::string_view, std::uint64_t>> sorted(
    aPending.begin(), aPending.end());
  std::stable_sort(
    sorted.begin(), sorted.end(), [](const auto& aFirst, const auto& aSecond) {
      return aFirst.second > aSecond.second;
    });
  Json::Value pending(Json::objectValue);
  for (const auto& [queue, count] : sorted) {
    const std::string name(queue);
    const std::size_t bytes =
      WriteJson(name).size() + std::to_string(count).size() + kSeparatorBytes;
    if (bytes <= aBytes) {
      aBytes -= bytes;
      pending[name] = Json::UInt64(count);
    }
  }
  return pending;
}

} // namespace

std::string
NodeKey(std::string_view aName)
{
  return kNodePrefix + std::string(aName);
}

std::string
ShardKey(std::uint32_t aShard)
{
  return std::string(kShardPrefix) + std::to_string(aShard);
}

std::string
FormatNodeRow(const NodeRow& aRow)
{
  Json::Value value(Json::objectValue);
  value["name"] = aRow.mName;
  value["data_centre"] = aRow.mDataCentre;
  value["region"] = aRow.mRegion;
  value["incarnation"] = Json::Int64(aRow.mIncarnation);
  value["milli_cores"] = Json::Int64(aRow.mMilliCores);
  if (aRow.mLinkMbps != 0) {
    value["link_mbps"] = Json::Int64(aRow.mLinkMbps);
  }
  value["beat"] = Json::UInt64(aRow.mHeartbeatCount);
  if (!aRow.mPeerAddress.empty()) {
    value["peer_address"] = aRow.mPeerAddress;
  }
  if (aRow.mKnowsParts) {
    value["parts"] = true;
  }
  return WriteJson(value);
}

std::string
FormatShardRow(const ShardRow& aRow, std::size_t aMaxBytes)
{
  Json::Value value(Json::objectValue);
  value["shard"] = aRow.mShard;
  value["owner"] = aRow.mOwner;
  value["incarnation"] = Json::Int64(aRow.mOwnerIncarnation);
  value["epoch"] = Json::Int64(aRow.mEpoch);
  value["beat"] = Json::UInt64(aRow.mHeartbeatCount);
  value["free"] = Json::Int64(aRow.mFreeMilliCores);
  value["leftover"] = Json::Int64(aRow.mBestEffortMilliCores);
  value["total"] = Json::Int64(aRow.mTotalMilliCores);
  Json::Value pending(Json::objectValue);
  for (const auto& [queue, count] : aRow.mPending) {
    pending[queue] = Json::UInt64(count);
  }
  value["pending"] = pending;
  if (aRow.mStartWaitMs != 0) {
    value["start_wait_ms"] = Json::Int64(aRow.mStartWaitMs);
  }
  if (aRow.mPendingAsOfMs != 0) {
    value["pending_as_of_ms"] = Json::Int64(aRow.mPendingAsOfMs);
  }
  value["leases_end_ms"] = Json::Int64(aRow.mLeasesEndMs);
  if (aRow.mCommonLeasesEndMs != 0) {
    value[kCommonLeasesEnd] = Json::Int64(aRow.mCommonLeasesEndMs);
    for (const auto& [id, endMs] : aRow.mRunnerLeasesEndMs) {
      value[kRunnerLeasesEnd][id] = Json::Int64(endMs);
    }
  }
  value["isolated_leases_end_ms"] = Json::Int64(aRow.mIsolatedLeasesEndMs);
  value["earlier_isolated_leases_end_ms"] =
    Json::Int64(aRow.mEarlierIsolatedLeasesEndMs);
  value["records_since"] = Json::Int64(aRow.mRecordsSince);
  if (aRow.mTakesMovedJobs) {
    value["takes_moved"] = true;
  }
  std::string text = WriteJson(value);
  if (text.size() <= aMaxBytes) {
    return text;
  }
  value["pending"] = Json::Value(Json::objectValue);
  std::size_t others = WriteJson(value).size();
  if (others > aMaxBytes) {
    // The time that covers all runners holds instead.
    value.removeMember(kCommonLeasesEnd);
    value.removeMember(kRunnerLeasesEnd);
    others = WriteJson(value).size();
  }
  value["pending"] =
    LargestPending(aRow.mPending, aMaxBytes - std::min(aMaxBytes, others));
  return WriteJson(value);
}

std::optional<ShardRow>
ParseShardRow(std::string_view aText)
{
  const std::optional<Json::Value> value = ParseJsonObject(aText);
  if (!value) {
    return {};
  }
  ShardRow row;
  row.mShard = (*value)["shard"].asUInt();
  row.mOwner = (*value)["owner"].asString();
  row.mOwnerIncarnation = (*value)["incarnation"].asInt64();
  row.mEpoch = (*value)["epoch"].asInt64();
  row.mHeartbeatCount = (*value)["beat"].asUInt64();
  row.mFreeMilliCores = (*value)["free"].asInt64();
  row.mBestEffortMilliCores = (*value)["leftover"].asInt64();
  row.mTotalMilliCores = (*value)["total"].asInt64();
  const Json::Value& pending = (*value)["pending"];
  if (pending.isObject()) {
    for (const std::string& queue : pending.getMemberNames()) {
      row.mPending.emplace(queue, pending[queue].asUInt64());
    }
  }
  row.mStartWaitMs = (*value)["start_wait_ms"].asInt64();
  row.mPendingAsOfMs = (*value)["pending_as_of_ms"].asInt64();
  row.mLeasesEndMs = (*value)["leases_end_ms"].asInt64();
  row.mCommonLeasesEndMs = (*value)[kCommonLeasesEnd].asInt64();
  const Json::Value& runnerEnds = (*value)[kRunnerLeasesEnd];
  if (runnerEnds.isObject()) {
    for (const std::string& id : runnerEnds.getMemberNames()) {
      row.mRunnerLeasesEndMs.emplace(id, runnerEnds[id].asInt64());
    }
  }
  row.mIsolatedLeasesEndMs = (*value)["isolated_leases_end_ms"].asInt64();
  row.mEarlierIsolatedLeasesEndMs =
    (*value)["earlier_isolated_leases_end_ms"].asInt64();
  row.mRecordsSince = (*value)["records_since"].asInt64();
  row.mTakesMovedJobs = (*value)["takes_moved"].asBool();
  return row;
}

void
UpdateNodes(ClusterView& aView,
            std::span<const StoreRow> aRows,
            const NodeRow& aSelf,
            const ClaimSettings& aSettings,
            MonotonicTime aNow)
{
  const auto before = aView.mNodes.find(aSelf.mName);
  const MonotonicTime ownSeenAt = before != aView.mNodes.end()
                                    ? before->second.mVersionSeenAt
                                    : MonotonicTime{};
  std::set<std::string, std::less<>> nodes;
  for (const StoreRow& row : aRows) {
    const std::string_view key = row.mKey;
    if (!key.starts_with(kNodePrefix)) {
      continue;
    }
    const std::string name(key.substr(std::string_view(kNodePrefix).size()));
    if (std::optional<NodeRow> node = ParseNodeRow(row.mValue)) {
      Observe(aView.mNodes, name, std::move(*node), row.mVersion, aNow);
    }
    nodes.insert(name);
  }
  std::erase_if(aView.mNodes, [&](const auto& aEntry) {
    return !nodes.contains(aEntry.first);
  });
  aView.mNodesRead = true;
  const auto own = aView.mNodes.find(aSelf.mName);
  if (own != aView.mNodes.end() && own->second.mVersionSeenAt != ownSeenAt &&
      aNow - ownSeenAt > aSettings.mNodeTimeout) {
    aView.mOwnHeartbeatsStoredSince = aNow;
  }
}

void
UpdateShards(ClusterView& aView,
             std::span<const StoreRow> aRows,
             MonotonicTime aNow)
{
  for (const StoreRow& row : aRows) {
    const std::string_view key = row.mKey;
    if (key == kLayoutKey) {
      const std::optional<Json::Value> value = ParseJsonObject(row.mValue);
      if (value) {
        aView.mShardCount = (*value)["shards"].asUInt();
      }
    } else if (key.starts_with(kShardPrefix)) {
      if (std::optional<ShardRow> shard = ParseShardRow(row.mValue)) {
        const std::uint32_t number = shard->mShard;
        Observe(
          aView.mShardRows, number, std::move(*shard), row.mVersion, aNow);
      }
    }
  }
  aView.mShardsReadAt = aNow;
}

bool
ShouldHandOver(const ClusterView& aView,
               std::uint32_t aShard,
               const NodeRow& aSelf,
               const ClaimSettings& aSettings,
               MonotonicTime aNow)
{
  return std::any_of(
    aView.mNodes.begin(), aView.mNodes.end(), [&](const auto& aEntry) {
      const Observed<NodeRow>& node = aEntry.second;
      return aNow - node.mVersionSeenAt <= aSettings.mNodeTimeout &&
             aNow - node.mFirstSeenAt >= aSettings.mHandOverDelay &&
             IsMuchSmallerThan(aView, aShard, aSelf, node.mRow, aSettings);
    });
}

std::vector<Claim>
DecideClaims(const ClusterView& aView,
             const NodeRow& aSelf,
             const ClaimSettings& aSettings,
             MonotonicTime aNow)
{
  std::vector<Claim> claims;
  if (!aView.mNodesRead) {
    return claims; // It is not known yet whether there are larger nodes.
  }
  const auto own = aView.mNodes.find(aSelf.mName);
  const bool storeServesThisNode =
    own != aView.mNodes.end() &&
    aNow - own->second.mVersionSeenAt <= aSettings.mNodeTimeout;
  for (std::uint32_t shard = 0; shard < aView.mShardCount; ++shard) {
    const auto found = aView.mShardRows.find(shard);
    Claim claim;
    claim.mShard = shard;
    claim.mEpoch = 1;
    MonotonicTime claimableFrom = aView.mShardsReadAt;
    if (found != aView.mShardRows.end()) {
      const Observed<ShardRow>& row = found->second;
      claim.mRowVersion = row.mVersion;
      claim.mEpoch = dispatch::NextEpoch(row.mRow.mEpoch);
      claim.mPending = row.mRow.mPending;
      claim.mPendingAsOfMs = row.mRow.mPendingAsOfMs;
      claim.mEarlierOwner =
        row.mRow.mOwner.empty() ? EarlierOwner::Released : EarlierOwner::Ended;
      claim.mRowSeenAt = row.mVersionSeenAt;
      claim.mLeasesEndMs = row.mRow.mLeasesEndMs;
      claim.mCommonLeasesEndMs = row.mRow.mCommonLeasesEndMs;
      claim.mRunnerLeasesEndMs = row.mRow.mRunnerLeasesEndMs;
      claim.mIsolatedLeasesEndMs = row.mRow.mIsolatedLeasesEndMs;
      claim.mEarlierIsolatedLeasesEndMs = row.mRow.mEarlierIsolatedLeasesEndMs;
      claim.mRecordsSince = row.mRow.mRecordsSince;
      if (row.mRow.mOwner == aSelf.mName) {
        // Only one process of this name runs at a time, so the process that
        // owned the shard has certainly ended. If it is this process, it has
        // lost the shard, or its claim was stored without an answer.
        if (!IsSmallNode(aView, shard, aSelf, aSettings)) {
          claims.push_back(claim);
          continue;
        }
      }
      claimableFrom = row.mVersionSeenAt;
      const auto owner = aView.mNodes.find(row.mRow.mOwner);
      const bool restarted =
        row.mRow.mOwner == aSelf.mName ||
        (owner != aView.mNodes.end() &&
         owner->second.mRow.mIncarnation > row.mRow.mOwnerIncarnation);
      if (!row.mRow.mOwner.empty() && !restarted) {
        // A missing renewal counts only while the store takes this node's own
        // heartbeats: if the store takes no node's heartbeats, the owner may
        // well be alive.
        if (!storeServesThisNode) {
          continue;
        }
        claimableFrom =
          std::max(claimableFrom, aView.mOwnHeartbeatsStoredSince) +
          aSettings.mOwnerTimeout + 2 * aView.mShardReadDuration;
        claim.mEarlierOwner = EarlierOwner::MayAct;
      }
    }
    if (IsSmallNode(aView, shard, aSelf, aSettings)) {
      claimableFrom += aSettings.mSmallNodeDelay;
    }
    const std::vector<std::string> ranked =
      RankCandidates(aView, shard, aSelf, aSettings, aNow);
    const auto rank =
      std::find(ranked.begin(), ranked.end(), aSelf.mName) - ranked.begin();
    if (aNow >= claimableFrom + aSettings.mDelayPerRank * rank) {
      claims.push_back(claim);
    }
  }
  return claims;
}

std::uint32_t
ChooseShardCount(const ClusterView& aView,
                 std::size_t aRunners,
                 std::uint32_t aMaxRunners)
{
  // An owner of 490 runners used 0.29 cores, and one of 108 runners 0.8 MB a
  // second; this leaves 0.4 of its host for the other duties of a node.
  constexpr double kRunnersPerMilliCore = 1;
  constexpr double kRunnersPerMbps = 10;
  // A step that is wider than its shard runs in parts, one after the other.
  constexpr double kMinRunnersPerShard = 15;
  constexpr std::size_t kLargestHostsLost = 2;
  std::vector<double> carried; // Runners that each host carries.
  for (const auto& [name, node] : aView.mNodes) {
    const NodeRow& row = node.mRow;
    const double byCores =
      static_cast<double>(row.mMilliCores) * kRunnersPerMilliCore;
    const double byLink =
      row.mLinkMbps == 0 ? byCores
                         : static_cast<double>(row.mLinkMbps) * kRunnersPerMbps;
    carried.push_back(std::min(byCores, byLink));
  }
  std::sort(carried.rbegin(), carried.rend());
  double perShard = aMaxRunners;
  if (!carried.empty()) {
    perShard =
      std::clamp(carried[std::min(kLargestHostsLost, carried.size() - 1)],
                 std::min(kMinRunnersPerShard, perShard),
                 perShard);
  }
  const auto shards = static_cast<std::uint32_t>(
    std::lround(static_cast<double>(aRunners) / perShard));
  // More shards than hosts would only divide the runners further.
  const auto hosts = static_cast<std::uint32_t>(carried.size());
  return std::max(1U, std::min(shards, std::max(1U, hosts)));
}

std::uint32_t
ShardOfRunner(std::string_view aRunner, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(XXH64(aRunner.data(), aRunner.size(), 0) %
                                    std::max(1U, aShards));
}

} // namespace paddle
