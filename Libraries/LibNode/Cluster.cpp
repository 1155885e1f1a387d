#include <LibNode/Cluster.h>

#include <algorithm>
#include <json/value.h>
#include <memory>
#include <set>
#include <tuple>
#include <xxhash.h>

#include <LibBase/JsonReader.h>

namespace paddle {

namespace {

constexpr std::string_view kShardPrefix = "shard/";

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
  row.mBeat = (*value)["beat"].asUInt64();
  return row;
}

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
  const MonotonicTime knownSince =
    found != aMap.end() ? found->second.mKnownSince : aNow;
  aMap.insert_or_assign(
    aKey, Observed<T>{ std::move(aRow), aVersion, aNow, knownSince });
}

std::uint64_t
Score(std::uint32_t aShard, std::string_view aNode)
{
  return XXH64(aNode.data(), aNode.size(), aShard);
}

/// Processor time of a node for each shard, if it owned @p aShard as well.
std::int64_t
TimePerShard(const ClusterView& aView,
             std::uint32_t aShard,
             const NodeRow& aNode)
{
  const auto owned = std::count_if(
    aView.mShardRows.begin(), aView.mShardRows.end(), [&](const auto& aEntry) {
      return aEntry.second.mRow.mOwner == aNode.mName && aEntry.first != aShard;
    });
  return aNode.mMilliCores / (owned + 1);
}

/// @return whether another node is so much larger that shards are left to it
bool
IsSmallBeside(const ClusterView& aView,
              std::uint32_t aShard,
              const NodeRow& aSelf,
              const NodeRow& aOther,
              const ClaimSettings& aSettings)
{
  return static_cast<double>(TimePerShard(aView, aShard, aSelf)) <
         aSettings.mSmallShare *
           static_cast<double>(TimePerShard(aView, aShard, aOther));
}

/// @return whether any node that has been seen is much larger
bool
IsSmall(const ClusterView& aView,
        std::uint32_t aShard,
        const NodeRow& aSelf,
        const ClaimSettings& aSettings)
{
  return std::any_of(
    aView.mNodes.begin(), aView.mNodes.end(), [&](const auto& aEntry) {
      return IsSmallBeside(aView, aShard, aSelf, aEntry.second.mRow, aSettings);
    });
}

/// Candidates in order of preference: the most processor time first, then the
/// fewest shards already owned, then a hash that differs by shard.
std::vector<std::string>
RankCandidates(const ClusterView& aView,
               std::uint32_t aShard,
               const NodeRow& aSelf,
               const ClaimSettings& aSettings,
               MonotonicTime aNow)
{
  struct Candidate
  {
    std::int64_t mCost = 0;
    std::uint64_t mScore = 0;
    std::string mName;
  };
  std::vector<Candidate> candidates;
  const auto add = [&](const NodeRow& aNode) {
    candidates.push_back({ -TimePerShard(aView, aShard, aNode),
                           Score(aShard, aNode.mName),
                           aNode.mName });
  };
  for (const auto& [name, node] : aView.mNodes) {
    if (name != aSelf.mName && aNow - node.mSeenAt <= aSettings.mNodeSilence) {
      add(node.mRow);
    }
  }
  add(aSelf);
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& aFirst, const Candidate& aSecond) {
              return std::tie(aFirst.mCost, aFirst.mScore) <
                     std::tie(aSecond.mCost, aSecond.mScore);
            });
  std::vector<std::string> names;
  names.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    names.push_back(std::move(candidate.mName));
  }
  return names;
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
  value["beat"] = Json::UInt64(aRow.mBeat);
  return WriteJson(value);
}

std::string
FormatShardRow(const ShardRow& aRow)
{
  Json::Value value(Json::objectValue);
  value["shard"] = aRow.mShard;
  value["owner"] = aRow.mOwner;
  value["incarnation"] = Json::Int64(aRow.mOwnerIncarnation);
  value["epoch"] = Json::Int64(aRow.mEpoch);
  value["beat"] = Json::UInt64(aRow.mBeat);
  value["free"] = Json::Int64(aRow.mFreeCores);
  value["leftover"] = Json::Int64(aRow.mLeftoverCores);
  value["total"] = Json::Int64(aRow.mTotalCores);
  Json::Value pending(Json::objectValue);
  for (const auto& [queue, count] : aRow.mPending) {
    pending[queue] = Json::UInt64(count);
  }
  value["pending"] = pending;
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
  row.mBeat = (*value)["beat"].asUInt64();
  row.mFreeCores = (*value)["free"].asInt64();
  row.mLeftoverCores = (*value)["leftover"].asInt64();
  row.mTotalCores = (*value)["total"].asInt64();
  const Json::Value& pending = (*value)["pending"];
  if (pending.isObject()) {
    for (const std::string& queue : pending.getMemberNames()) {
      row.mPending.emplace(queue, pending[queue].asUInt64());
    }
  }
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
  const MonotonicTime ownSeenAt =
    before != aView.mNodes.end() ? before->second.mSeenAt : MonotonicTime{};
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
  if (own != aView.mNodes.end() && own->second.mSeenAt != ownSeenAt &&
      aNow - ownSeenAt > aSettings.mNodeSilence) {
    aView.mOwnStoredSince = aNow;
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
        aView.mShards = (*value)["shards"].asUInt();
      }
    } else if (key.starts_with(kShardPrefix)) {
      if (std::optional<ShardRow> shard = ParseShardRow(row.mValue)) {
        const std::uint32_t number = shard->mShard;
        Observe(
          aView.mShardRows, number, std::move(*shard), row.mVersion, aNow);
      }
    }
  }
  aView.mReadAt = aNow;
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
      return aNow - node.mSeenAt <= aSettings.mNodeSilence &&
             aNow - node.mKnownSince >= aSettings.mHandOverAfter &&
             IsSmallBeside(aView, aShard, aSelf, node.mRow, aSettings);
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
    return claims; // Larger nodes than this one are not known yet.
  }
  const auto own = aView.mNodes.find(aSelf.mName);
  const bool served = own != aView.mNodes.end() &&
                      aNow - own->second.mSeenAt <= aSettings.mNodeSilence;
  for (std::uint32_t shard = 0; shard < aView.mShards; ++shard) {
    const auto found = aView.mShardRows.find(shard);
    Claim claim{ shard, 0, 1, false, {} };
    MonotonicTime freeSince = aView.mReadAt;
    if (found != aView.mShardRows.end()) {
      const Observed<ShardRow>& row = found->second;
      claim.mRowVersion = row.mVersion;
      claim.mEpoch = row.mRow.mEpoch + 1;
      claim.mPending = row.mRow.mPending;
      if (row.mRow.mOwner == aSelf.mName) {
        if (row.mRow.mOwnerIncarnation == aSelf.mIncarnation) {
          continue;
        }
        // Only one process of this name runs at a time, so a former one is
        // certainly gone.
        if (!IsSmall(aView, shard, aSelf, aSettings)) {
          claims.push_back(claim);
          continue;
        }
      }
      freeSince = row.mSeenAt;
      const auto owner = aView.mNodes.find(row.mRow.mOwner);
      const bool restarted =
        row.mRow.mOwner == aSelf.mName ||
        (owner != aView.mNodes.end() &&
         owner->second.mRow.mIncarnation > row.mRow.mOwnerIncarnation);
      if (!row.mRow.mOwner.empty() && !restarted) {
        // Silence counts only while the store takes this node's own heartbeats:
        // a store that takes nobody's says nothing about the owner.
        if (!served) {
          continue;
        }
        freeSince = std::max(freeSince, aView.mOwnStoredSince) +
                    aSettings.mSilence + 2 * aView.mReadingTook;
        claim.mFormerOwnerMayAct = true;
      }
    }
    if (IsSmall(aView, shard, aSelf, aSettings)) {
      freeSince += aSettings.mSmallDelay;
    }
    const std::vector<std::string> ranked =
      RankCandidates(aView, shard, aSelf, aSettings, aNow);
    const auto rank =
      std::find(ranked.begin(), ranked.end(), aSelf.mName) - ranked.begin();
    if (aNow >= freeSince + aSettings.mStagger * rank) {
      claims.push_back(claim);
    }
  }
  return claims;
}

std::uint32_t
ShardOfRunner(std::string_view aRunner, std::uint32_t aShards)
{
  return static_cast<std::uint32_t>(XXH64(aRunner.data(), aRunner.size(), 0) %
                                    std::max(1U, aShards));
}

} // namespace paddle
