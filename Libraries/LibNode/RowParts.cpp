#include <LibNode/RowParts.h>

#include <xxhash.h>

namespace paddle {

namespace {

/// 40 jobs a second fit into 16 parts even while each transaction takes 60
/// times as long; a takeover reads each part once.
constexpr std::uint32_t kJobParts = 16;

} // namespace

std::string
RowParts::OfNodes() const
{
  return mSpread ? "nodes" : "";
}

std::string
RowParts::OfShards() const
{
  return mSpread ? "shards" : "";
}

std::string
RowParts::OfProgress(std::uint32_t aShard) const
{
  return mSpread ? "shard-" + std::to_string(aShard) : "";
}

std::string
RowParts::OfJob(std::string_view aJob) const
{
  return JobPart(static_cast<std::uint32_t>(XXH64(aJob.data(), aJob.size(), 0) %
                                            JobParts()));
}

std::uint32_t
RowParts::JobParts() const
{
  return mSpread ? kJobParts : 1;
}

std::string
RowParts::JobPart(std::uint32_t aIndex) const
{
  return mSpread ? "jobs-" + std::to_string(aIndex) : "";
}

} // namespace paddle
