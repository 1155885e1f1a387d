#include <LibLeaseCore/Rendezvous.h>

#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace paddle {

namespace {

/// @return the candidate with the lowest rank and, among those, the highest
///         score
template<typename Rank>
const LeaseMember*
ChooseBest(std::string_view aKey,
           std::span<const LeaseMember* const> aCandidates,
           Rank aRank)
{
  const LeaseMember* best = nullptr;
  std::tuple<int, std::uint64_t> bestKey;
  for (const LeaseMember* candidate : aCandidates) {
    const std::tuple key(aRank(*candidate),
                         ~RendezvousScore(aKey, candidate->mName));
    if (!best || key < bestKey) {
      best = candidate;
      bestKey = key;
    }
  }
  return best;
}

} // namespace

std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aMember)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aMember.data(), aMember.size(), seed);
}

const LeaseMember*
ChooseOwner(const ShardPlace& aShard,
            std::span<const LeaseMember* const> aCandidates)
{
  return ChooseBest(
    aShard.mId, aCandidates, [&aShard](const LeaseMember& aMember) {
      if (aMember.mDataCentre == aShard.mDataCentre) {
        return 0;
      }
      return aMember.mRegion == aShard.mRegion ? 1 : 2;
    });
}

const LeaseMember*
ChooseSuccessor(const LeaseMember& aSelf,
                std::span<const LeaseMember* const> aCandidates)
{
  return ChooseBest(
    aSelf.mName, aCandidates, [&aSelf](const LeaseMember& aMember) {
      if (aMember.mRegion != aSelf.mRegion) {
        return 2;
      }
      return aMember.mDataCentre == aSelf.mDataCentre ? 1 : 0;
    });
}

} // namespace paddle
